/** Tracing a request through logs that are interleaved or truncated and whose clocks are skewed. */
import { expect } from 'chai';
import { explainCommand } from '../../src/cli/commands/explain.js';
import { ExitCode } from '../../src/cli/exit-code.js';
import { parseLog } from '../../src/explain/log-entry.js';
import { traceRequest } from '../../src/explain/request-trace.js';
import { formatTrace } from '../../src/explain/trace-text.js';
import { runCommand, temporaryFiles } from '../cli/cli-fixture.js';

function logLine(machine: string, time: string, event: string, fields: object = {}): string {
  return JSON.stringify({
    machine,
    ...fields,
    time: `2026-01-01T00:00:${time}Z`,
    level: 'info',
    event,
  });
}

/** The clock of the caller's node is five seconds ahead of the endpoint's. */
const CALLER_LOG = [
  logLine('caller', '05.000', 'configuration-in-force', { number: 7 }),
  logLine('caller', '05.100', 'attempt-failed', { request: 'id1', attempt: 1, code: 'OVERLOADED' }),
  logLine('caller', '05.150', 'store-lost', { reason: 'status 503' }),
  logLine('caller', '05.200', 'peer-silent', { peer: '10.0.0.9' }),
  logLine('caller', '05.300', 'attempt-failed', {
    request: 'id1',
    attempt: 2,
    code: 'CONNECTION_LOST',
  }),
  logLine('caller', '05.301', 'request-failed', { request: 'id1', code: 'CONNECTION_LOST' }),
  logLine('caller', '05.302', 'request-failed', { request: 'id10', code: 'ROUTE_NOT_FOUND' }),
];
const ENDPOINT_LOG = [
  logLine('endpoint', '00.090', 'attempt-refused', { request: 'id1/m-1.1', code: 'queue-full' }),
  logLine('endpoint', '00.290', 'endpoint-failed', {
    request: 'id1/m-1.2',
    code: 'CONNECTION_LOST',
  }),
];

function eventsOf(text: string, requestId = 'id1'): string[] {
  return traceRequest(parseLog(text).entries, requestId).map(({ entry }) => entry.event);
}

const EXPECTED = [
  'attempt-refused',
  'attempt-failed',
  'endpoint-failed',
  'attempt-failed',
  'request-failed',
];

describe('explain', () => {
  const lineOrders = {
    'caller log first': [...CALLER_LOG, ...ENDPOINT_LOG],
    'endpoint log first': [...ENDPOINT_LOG, ...CALLER_LOG],
    interleaved: CALLER_LOG.flatMap((text, index) => [
      text,
      ...ENDPOINT_LOG.slice(index, index + 1),
    ]),
  };
  for (const [name, lines] of Object.entries(lineOrders)) {
    it(`sorts the steps: ${name}`, () => {
      expect(eventsOf(lines.join('\n'))).to.deep.equal(EXPECTED);
    });
  }

  it('shows why an attempt was suspected, for how long, the next action and the cause of its end', () => {
    const caller = [
      logLine('caller', '05.400', 'attempt-suspected', {
        request: 'id2',
        attempt: 1,
        silent: 'connection',
        quietMs: 338,
        next: 'hedge',
      }),
      logLine('caller', '05.410', 'attempt-failed', {
        request: 'id2',
        attempt: 2,
        code: 'UNREACHABLE',
      }),
      logLine('caller', '05.900', 'attempt-cancelled', { request: 'id2', attempt: 1 }),
      logLine('caller', '05.901', 'request-failed', { request: 'id2', code: 'TIMED_OUT' }),
    ];
    const endpoint = logLine('endpoint', '00.905', 'attempt-abandoned', {
      request: 'id2/m-1.1',
      cause: 'cancelled',
    });
    const text = [...caller, endpoint].join('\n');
    expect(eventsOf(text, 'id2')).to.deep.equal([
      'attempt-abandoned',
      'attempt-suspected',
      'attempt-cancelled',
      'attempt-failed',
      'request-failed',
    ]);
    const trace = formatTrace('id2', traceRequest(parseLog(text).entries, 'id2'), 0);
    expect(trace).to.include('silent=connection quietMs=338 next=hedge');
    expect(trace).to.include('cause=cancelled');
  });

  it('counts and skips lines that cannot be parsed', () => {
    const truncatedLine = (CALLER_LOG[1] ?? '').slice(0, 40);
    const { entries, skippedLines } = parseLog(
      ['noise', truncatedLine, ...ENDPOINT_LOG, '{"a":1}'].join('\n'),
    );
    expect(skippedLines).to.equal(3);
    expect(entries).to.have.length(2);
  });

  it('ignores a prefix added by a log collector', () => {
    const collected = ENDPOINT_LOG.map((text) => `  3.01 endpoint ${text}`).join('\n');
    expect(parseLog(collected).entries).to.have.length(2);
  });

  it('includes the state of the node at the time', () => {
    const steps = traceRequest(parseLog(CALLER_LOG.join('\n')).entries, 'id1');
    expect(steps[0]?.state).to.deep.include({ configuration: 7, isStoreReachable: true });
    expect(steps[2]?.state).to.deep.include({
      isStoreReachable: false,
      unresponsivePeers: ['10.0.0.9'],
    });
  });

  it('includes the evacuated zones known to the node', () => {
    const evacuated = (event: string, zone: string): string =>
      (CALLER_LOG[0] ?? '').replace(/"event":"[^"]*"/, `"event":"${event}","zone":"${zone}"`);
    const lines = [
      evacuated('zone-evacuated', 'z1'),
      evacuated('zone-evacuated', 'z2'),
      evacuated('zone-taken-back', 'z1'),
      ...CALLER_LOG,
    ];
    const steps = traceRequest(parseLog(lines.join('\n')).entries, 'id1');
    expect(steps[0]?.state.evacuatedZones).to.deep.equal(['z2']);
    expect(formatTrace('id1', steps, 0)).to.include('evacuated zones z2');
  });

  it('prints a trace from files and reports a request without entries', async () => {
    const files = temporaryFiles({
      'a.log': CALLER_LOG.join('\n'),
      'b.log': ENDPOINT_LOG.join('\n'),
    });
    const commands = new Map([['explain', explainCommand]]);
    const paths = [files.path('a.log'), files.path('b.log')];
    const found = await runCommand(commands, ['explain', 'id1', ...paths]);
    const missing = await runCommand(commands, ['explain', 'none', ...paths]);
    const unreadable = await runCommand(commands, ['explain', 'id1', files.path('c.log')]);
    files.remove();
    expect(found.output).to.include('endpoint attempt-refused').and.include('code=queue-full');
    expect([found.exitCode, missing.exitCode, unreadable.exitCode]).to.deep.equal([
      ExitCode.Success,
      ExitCode.NotFound,
      ExitCode.Usage,
    ]);
  });
});
