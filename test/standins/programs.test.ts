import { expect } from 'chai';
import { LedgerJournal } from '../../tools/demo/ledger-journal.js';
import { CallClient } from '../../tools/shared/call-client.js';
import { ChildFailedError, ChildGroup, parseJsonLine } from '../../tools/shared/child-process.js';
import { getJson } from '../../tools/shared/json-client.js';

const PROGRAMS = {
  platform: { file: 'dist/standins/platform/main.js', args: ['--reader-bound', '1'] },
  'back end': { file: 'dist/standins/backend/main.js', args: ['--slots', '1', '--drain-ms', '0'] },
};

describe('stand-in programs', () => {
  const children = new ChildGroup();

  after(() => children.end());

  for (const [name, { file, args }] of Object.entries(PROGRAMS)) {
    it(`${name}: prints its ports once it listens, and stops on SIGTERM`, async () => {
      const child = children.start(name, file, args);
      const ports = await child.waitForLine(parseJsonLine);
      expect(ports).to.have.all.keys('port', 'controlPort');
      const control = { host: '127.0.0.1', port: Number(ports.controlPort) };
      expect(await getJson(control, '/counters')).to.be.an('object');
      child.signal('SIGTERM');
      expect(await child.exited).to.deep.equal({ code: 0, signal: null });
    });

    it(`${name}: refuses an unknown flag`, async () => {
      const child = children.start(name, file, ['--no-such-flag']);
      const failure: unknown = await child
        .waitForLine(parseJsonLine)
        .catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(ChildFailedError);
      expect((await child.exited).code).to.not.equal(0);
    });
  }

  it('back end: prints an execution before it answers, so that a kill does not lose it', async () => {
    const { file, args } = PROGRAMS['back end'];
    const child = children.start('back end', file, [...args, '--print-ledger']);
    const journal = new LedgerJournal(child);
    const { port } = await child.waitForLine(parseJsonLine);
    const client = new CallClient(1);
    const call = { callId: 'a', method: 'GET', path: '/', bodyBytes: 0, answerBytes: 100 } as const;
    const times = { workMs: 1, deadlineMs: 10_000, giveUpMs: 15_000 };
    const target = { host: '127.0.0.1', port: Number(port) };
    const { end } = await client.send(target, { ...call, ...times });
    child.signal('SIGKILL');
    await journal.settle();
    client.close();
    expect(end).to.include({ type: 'answered', status: 200 });
    const outcomes = journal.executions().map(({ callId, outcome }) => [callId, outcome]);
    expect(outcomes).to.deep.equal([['a', 'finished']]);
  });

  it('are killed, each by its id, when their group ends', async () => {
    const group = new ChildGroup();
    const child = group.start('platform', PROGRAMS.platform.file, []);
    await child.waitForLine(parseJsonLine);
    await group.end();
    expect(await child.exited).to.deep.equal({ code: null, signal: 'SIGKILL' });
  });
});
