/** Fault table at the endpoint interface: what the caller is told, and what runs a second time. */
import { expect } from 'chai';
import type { ProxyLimits } from '../../src/proxy/proxy-limits.js';
import {
  call,
  closedPort,
  echoEndpoint,
  echoService,
  rawAnswer,
  rawRefusal,
  startRawEndpoint,
  TestMesh,
  until,
  type CallerResult,
  type RawEndpoint,
  type RawHandler,
} from './rig.js';

interface FaultRow {
  readonly fault: string;
  readonly handle: RawHandler;
  /**
   * What the caller of a request that may be repeated gets, with a healthy endpoint besides:
   * `retried`, `broken`, or status, code and verdict.
   */
  readonly get: string;
  /** What the caller of a request that may not be repeated gets. */
  readonly post: string;
  readonly cancelOutcome?: string | undefined;
  readonly deadlineMs?: number;
  readonly limits?: Partial<ProxyLimits>;
}

const LOST = '502 CONNECTION_LOST may-have-run';
const MALFORMED = '502 MALFORMED_ANSWER may-have-run';
const TRUNCATED = '502 TRUNCATED_ANSWER may-have-run';
const big = 'x'.repeat(50_000);
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Sends `text`, then closes the connection. */
function endingWith(text: string): RawHandler {
  return (socket) => socket.end(text);
}

/** Cancels after a tenth of the time, so that the confirmation has the rest, however busy it is. */
const EARLY_CANCELLATION = { cancelLeadShare: 0.9, maxCancelLeadMs: 10_000 };

const faults: readonly FaultRow[] = [
  {
    fault: 'reset before the answer',
    handle: (socket) => socket.resetAndDestroy(),
    get: 'retried',
    post: LOST,
  },
  { fault: 'close before the answer', handle: endingWith(''), get: 'retried', post: LOST },
  {
    fault: 'close before the answer, and proof that nothing started',
    handle: endingWith(''),
    cancelOutcome: 'not-started',
    get: 'retried',
    post: 'retried',
  },
  {
    fault: 'close in the head',
    handle: endingWith('HTTP/1.1 200 OK\r\nContent-Le'),
    get: 'retried',
    post: LOST,
  },
  {
    fault: 'short body',
    handle: endingWith('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345'),
    get: 'retried',
    post: TRUNCATED,
  },
  {
    fault: 'short body, too large to hold',
    handle: endingWith(`HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n${big}`),
    get: 'broken',
    post: 'broken',
  },
  {
    fault: 'chunks without an end',
    handle: endingWith(`${chunkedHead}5\r\nfirst\r\n`),
    get: 'broken',
    post: 'broken',
  },
  { fault: 'no chunk at all', handle: endingWith(chunkedHead), get: 'retried', post: TRUNCATED },
  {
    fault: 'malformed chunk',
    handle: endingWith(`${chunkedHead}zz\r\n`),
    get: 'retried',
    post: TRUNCATED,
  },
  {
    fault: 'an end that is the end of the connection',
    handle: endingWith('HTTP/1.1 200 OK\r\n\r\ntext'),
    get: 'retried',
    post: MALFORMED,
  },
  {
    fault: 'bytes that are not HTTP',
    handle: endingWith('SMTP ready\r\n\r\n'),
    get: 'retried',
    post: MALFORMED,
  },
  {
    fault: 'two lengths',
    handle: endingWith('HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12'),
    get: 'retried',
    post: MALFORMED,
  },
  {
    fault: 'length and chunks',
    handle: endingWith(
      'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
    ),
    get: 'retried',
    post: MALFORMED,
  },
  {
    fault: 'oversized head',
    handle: endingWith(rawAnswer('', `A: ${big}\r\n`)),
    get: 'retried',
    post: MALFORMED,
  },
  {
    fault: "another request's answer",
    handle: (socket) => socket.write(rawAnswer('crossed', 'x-request-id: other\r\n')),
    get: 'retried',
    post: MALFORMED,
  },
  {
    fault: 'a switch of protocols',
    handle: (socket) =>
      socket.write('HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'),
    get: 'retried',
    post: MALFORMED,
  },
  {
    fault: 'refusal before the start',
    handle: (socket) => socket.write(rawRefusal()),
    get: 'retried',
    post: 'retried',
  },
  {
    fault: 'refusal because of a drain',
    handle: (socket) => socket.write(rawRefusal('x-draining: 1\r\n')),
    get: 'retried',
    post: 'retried',
  },
  {
    fault: 'a 503 that is an answer',
    handle: (socket) => socket.write(rawAnswer('busy', '', '503 Service Unavailable')),
    get: '503 busy ran',
    post: '503 busy ran',
  },
  {
    fault: 'information before the answer',
    handle: (socket) => {
      socket.write('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n');
      socket.write(rawAnswer('late'));
    },
    get: '200 late ran',
    post: '200 late ran',
  },
  {
    fault: 'extra bytes after the answer',
    handle: (socket) =>
      socket.write(`${rawAnswer('own')}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz`),
    get: '200 own ran',
    post: '200 own ran',
  },
  {
    fault: 'a body that comes slowly',
    handle: (socket) => {
      const parts = ['HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n', 's', 'l', 'o', 'w'];
      parts.forEach((part, index) => setTimeout(() => socket.write(part), index * 40));
    },
    deadlineMs: 120,
    get: '200 slow ran',
    post: '200 slow ran',
  },
  ...['not-started', 'cancelled'].map((cancelOutcome) => ({
    fault: `no answer; cancelled: ${cancelOutcome}`,
    handle: () => undefined,
    cancelOutcome,
    deadlineMs: 3_000,
    limits: EARLY_CANCELLATION,
    get: '504 CANCELLED not-run',
    post: '504 CANCELLED not-run',
  })),
  ...['finished', 'unknown', 'nonsense', undefined].map((cancelOutcome) => ({
    fault: `no answer; cancelled: ${cancelOutcome ?? 'no confirmation'}`,
    handle: () => undefined,
    cancelOutcome,
    deadlineMs: 100,
    get: '504 TIMED_OUT may-have-run',
    post: '504 TIMED_OUT may-have-run',
  })),
];

describe('faults at the endpoint interface', () => {
  let mesh: TestMesh;
  const endpoints: RawEndpoint[] = [];

  beforeEach(() => {
    mesh = new TestMesh();
  });

  afterEach(() => {
    mesh.close();
    endpoints.splice(0).forEach((endpoint) => endpoint.close());
  });

  async function endpoint(...options: Parameters<typeof startRawEndpoint>): Promise<RawEndpoint> {
    const started = await startRawEndpoint(...options);
    endpoints.push(started);
    return started;
  }

  /** The faulty endpoint is beside n1 and in its zone, so it is tried first. */
  async function meshOf(
    faultyPort: number,
    machine: string,
    limits: Partial<ProxyLimits> = {},
  ): Promise<number> {
    const healthy = await endpoint((socket) => socket.write(rawAnswer('healthy')));
    mesh.configure([
      ...echoService(),
      echoEndpoint('faulty', faultyPort, { machine }),
      echoEndpoint('healthy', healthy.port, { machine, zone: 'z9' }),
    ]);
    const { callerPort } = await mesh.addNode('n1', limits);
    await mesh.addNode('n2', limits);
    return callerPort;
  }

  for (const machine of ['n1', 'n2']) {
    for (const row of faults) {
      for (const method of ['GET', 'POST'] as const) {
        it(`${row.fault}: ${method}, endpoint beside ${machine}`, async () => {
          const outcome = 'cancelOutcome' in row ? row.cancelOutcome : 'unknown';
          const faulty = await endpoint(row.handle, () => outcome);
          const port = await meshOf(faulty.port, machine, row.limits);
          const headers = row.deadlineMs === undefined ? {} : { 'x-deadline-ms': row.deadlineMs };
          const result = await call(port, { method, headers });
          expect(summaryOf(result)).to.equal(method === 'GET' ? row.get : row.post);
          expect(faulty.heads).to.have.length(1);
        });
      }
    }
  }

  for (const machine of ['n1', 'n2']) {
    it(`sends elsewhere what could not be sent, endpoint beside ${machine}`, async () => {
      const port = await meshOf(await closedPort(), machine);
      expect(summaryOf(await call(port, { method: 'POST' }))).to.equal('retried');
    });
  }

  it('says not-run and when to come back when every endpoint refuses', async () => {
    const busy = await endpoint((socket) => socket.write(rawRefusal('Retry-After: 7\r\n')));
    mesh.configure([...echoService(), echoEndpoint('busy', busy.port, { machine: 'n2' })]);
    const { callerPort } = await mesh.addNode('n1');
    await mesh.addNode('n2');
    const result = await call(callerPort, { method: 'POST' });
    expect(summaryOf(result)).to.equal('503 ENDPOINT_REFUSED not-run');
    expect(result.headers['retry-after']).to.equal('7');
  });

  it('never takes a late answer for the answer to a later request', async () => {
    let spoiled: unknown;
    const target = await endpoint(
      (socket, head, index) => {
        const path = head.split(' ')[1] ?? '';
        if (index === 1) {
          setTimeout(() => socket.write(rawAnswer('late')), 1_030);
          return;
        }
        // A late answer whose first part comes while the connection is idle.
        socket.write(socket === spoiled ? 'nt-Length: 4\r\n\r\nlate' : '');
        socket.write(rawAnswer(path));
        if (index === 2) {
          spoiled = socket;
          setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nConte'), 5);
        }
      },
      () => 'cancelled',
    );
    mesh.configure([...echoService(), echoEndpoint('only', target.port, { machine: 'n1' })]);
    const { callerPort } = await mesh.addNode('n1');
    const first = await call(callerPort, { path: '/1', headers: { 'x-deadline-ms': 1_000 } });
    expect(summaryOf(first)).to.equal('504 CANCELLED not-run');
    for (const path of ['/2', '/3', '/4']) {
      const result = await call(callerPort, { path });
      expect(result.body).to.equal(path);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  });

  it('holds the slot of a request that the endpoint may still run', async () => {
    let cancelOutcome: string | undefined = 'unknown';
    const target = await endpoint(
      (socket, _head, index) => {
        if (index === 1) {
          socket.destroy();
        } else {
          socket.write(rawAnswer('free'));
        }
      },
      () => cancelOutcome,
    );
    mesh.configure([
      ...echoService(),
      echoEndpoint('only', target.port, { machine: 'n1', slots: 1 }),
    ]);
    const { callerPort } = await mesh.addNode('n1');
    cancelOutcome = undefined;
    const headers = { 'x-deadline-ms': 150 };
    expect(summaryOf(await call(callerPort, { method: 'POST', headers }))).to.equal(LOST);
    const second = await call(callerPort, { method: 'POST', headers });
    expect(summaryOf(second)).to.equal('503 CANNOT_FINISH_IN_TIME not-run');
    expect(target.heads).to.have.length(1);
  });

  it('cancels at the endpoint when the caller leaves', async () => {
    const target = await endpoint(() => undefined);
    mesh.configure([...echoService(), echoEndpoint('only', target.port, { machine: 'n2' })]);
    const { callerPort } = await mesh.addNode('n1');
    await mesh.addNode('n2');
    const leaving = new AbortController();
    const gone = fetch(`http://127.0.0.1:${callerPort}/`, { signal: leaving.signal }).catch(
      () => undefined,
    );
    await until(() => target.heads.length === 1);
    leaving.abort();
    await gone;
    await until(() => target.cancelled.length === 1);
    expect(target.heads[0]).to.include(target.cancelled[0]);
  });
});

function summaryOf(result: CallerResult): string {
  if (!result.isWhole) {
    return 'broken';
  }
  if (result.body === 'healthy') {
    return 'retried';
  }
  const verdict = String(result.headers['ferryspool-verdict']);
  const isError = result.body.startsWith('{');
  const text = isError ? (JSON.parse(result.body) as { code: string }).code : result.body;
  return `${result.status} ${text} ${verdict}`;
}
