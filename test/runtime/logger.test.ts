import { expect } from 'chai';
import { createLogger } from '../../src/runtime/logger.js';

function capture(level: 'error' | 'info' | 'debug') {
  const lines: string[] = [];
  const logger = createLogger(level, { node: 'm1' }, { write: (line) => lines.push(line) });
  return { logger, parsed: () => lines.map((line) => JSON.parse(line) as Record<string, unknown>) };
}

describe('createLogger', () => {
  it('writes one JSON line per event with level, time, base fields and event fields', () => {
    const { logger, parsed } = capture('info');
    logger.info('node-started', { ports: { caller: 1 } });
    logger.warn('source-stale', { heldNumber: 4 });
    const [first, second] = parsed();
    expect(first).to.include({ node: 'm1', level: 'info', event: 'node-started' });
    expect(first?.['ports']).to.deep.equal({ caller: 1 });
    expect(first?.['time']).to.match(/^\d{4}-.*Z$/);
    expect(second).to.include({ level: 'warn', event: 'source-stale', heldNumber: 4 });
  });

  it('omits lines below its level and does not merge repeated lines', () => {
    const { logger, parsed } = capture('error');
    logger.info('quiet');
    logger.error('loud');
    logger.error('loud');
    expect(parsed().map((line) => line['event'])).to.deep.equal(['loud', 'loud']);
  });

  it('does not let fields replace time, level or event', () => {
    const { logger, parsed } = capture('debug');
    logger.debug('real', { event: 'other', level: 'other', time: 'other', message: 'kept' });
    expect(parsed()[0]).to.include({ event: 'real', level: 'debug', message: 'kept' });
  });
});
