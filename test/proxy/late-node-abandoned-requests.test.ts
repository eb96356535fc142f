/**
 * Guards against back ends that run requests of callers that had already disconnected: a node whose event loop was
 * late reads a request before the end of the connection behind it.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { LeavingCallers, type LeavingCallersParams } from '../support/leaving-callers.js';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  rawRefusal,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
} from './rig.js';

const CALLERS = 20;
const LEAVE_AFTER_MS = 90;
const SETTLE_MS = 150;
/** Work of the requests that open the connections to the endpoint, in milliseconds. */
const WARM_UP_MS = 50;
const LEFT_PATH = '/left';

/** Requests of callers that leave. */
function requestsOf(count: number, method = 'GET', body = ''): string[] {
  const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
  return Array.from(
    { length: count },
    (_, idx) =>
      `${method} ${LEFT_PATH}/${idx} HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 5000\r\n${length}\r\n${body}`,
  );
}

/** Requests that are answered without being sent on; Node accepts one connection in each iteration of its loop. */
const REFUSED_REQUESTS = Array.from(
  { length: CALLERS },
  () => 'GET /refused HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 0\r\n\r\n',
);

const FIRST = 'GET /first HTTP/1.1\r\nHost: a\r\n\r\n';

describe('a request whose caller disconnected while its node was late', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;

  beforeEach(() => {
    mesh = new TestMesh();
  });

  afterEach(() => {
    mesh.close();
    target.close();
  });

  function leftCount(): number {
    return target.heads.filter((head) => head.includes(LEFT_PATH)).length;
  }

  async function startMesh(
    machine: string,
    endpoint: Record<string, unknown> = {},
  ): Promise<number> {
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine, ...endpoint })]);
    const { callerPort } = await mesh.addNode('n1');
    await mesh.addNode('n2');
    return callerPort;
  }

  interface Variant extends Partial<LeavingCallersParams> {
    readonly name: string;
    /** Machine of the back end; the callers' node is n1. */
    readonly machine: 'n1' | 'n2';
    /** Times for which the event loop is blocked, one after the other, in milliseconds. */
    readonly blocksMs: readonly number[];
  }

  const kept = { first: FIRST };
  const inPieces = [342, 342, 342];
  const variants: readonly Variant[] = [
    { name: 'own back end', machine: 'n1', blocksMs: [1_000], ...kept },
    { name: 'own back end, 350 ms', machine: 'n1', blocksMs: [350], ...kept },
    { name: 'own back end, in pieces', machine: 'n1', blocksMs: inPieces, ...kept },
    { name: 'own back end, reset', machine: 'n1', blocksMs: [350], leave: 'reset', ...kept },
    { name: 'own back end, new connections', machine: 'n1', blocksMs: [350] },
    {
      name: 'own back end, new connections behind others that are refused',
      machine: 'n1',
      blocksMs: [350],
      requests: [...REFUSED_REQUESTS, ...requestsOf(CALLERS)],
    },
    {
      name: 'own back end, small bodies',
      machine: 'n1',
      blocksMs: [350],
      requests: requestsOf(CALLERS, 'POST', 'x'.repeat(3_000)),
      ...kept,
    },
    {
      name: 'own back end, large bodies',
      machine: 'n1',
      blocksMs: [1_000],
      requests: requestsOf(CALLERS, 'POST', 'x'.repeat(100_000)),
      ...kept,
    },
    {
      name: 'own back end, pipelined',
      machine: 'n1',
      blocksMs: [350],
      first: 'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n',
      awaitsFirst: false,
    },
    { name: 'back end of another node', machine: 'n2', blocksMs: [1_000], ...kept },
    { name: 'back end of another node, 350 ms', machine: 'n2', blocksMs: [350], ...kept },
    {
      name: 'back end of another node, reset',
      machine: 'n2',
      blocksMs: [350],
      leave: 'reset',
      ...kept,
    },
    { name: 'back end of another node, new connections', machine: 'n2', blocksMs: [350] },
  ];

  async function countSent({ machine, blocksMs, ...params }: Variant): Promise<number> {
    target = await startRawEndpoint((socket, head) => {
      if (head.includes('/warm-up')) {
        setTimeout(() => socket.write(rawAnswer('done')), WARM_UP_MS);
      } else if (!head.includes('/slow')) {
        socket.write(rawAnswer('done'));
      }
    });
    const port = await startMesh(machine, { slots: 2 * CALLERS });
    // Leaves idle connections to the endpoint, so that no request waits for a new one.
    await Promise.all(Array.from({ length: CALLERS }, () => call(port, { path: '/warm-up' })));
    const callers = await LeavingCallers.start({
      port,
      requests: requestsOf(CALLERS),
      leaveAfterMs: LEAVE_AFTER_MS,
      leave: 'end',
      ...params,
    });
    await delay(SETTLE_MS);
    callers.send();
    for (const blockMs of blocksMs) {
      callers.block(blockMs);
      await delay(0);
    }
    await delay(SETTLE_MS);
    const count = leftCount();
    await callers.close();
    mesh.close();
    mesh.nodes.length = 0;
    target.close();
    return count;
  }

  it('is not sent on, whatever its connection and whoever owns the back end', async function () {
    this.timeout(60_000);
    const sent: Record<string, number> = {};
    for (const variant of variants) {
      sent[variant.name] = await countSent(variant);
    }
    expect(sent).to.deep.equal(Object.fromEntries(variants.map(({ name }) => [name, 0])));
  });

  /** Guards against a slot, a retry or a connection that is given to a request whose caller has left. */
  it('is not sent on if what it waited for came in the same delay', async function () {
    this.timeout(20_000);
    const sent = {
      slot: await countAfterSlot(),
      backOff: await countAfterBackOff(),
      connection: await countAfterConnect(),
    };
    expect(sent).to.deep.equal({ slot: 0, backOff: 0, connection: 0 });
  });

  async function startCallers(port: number): Promise<LeavingCallers> {
    const callers = await LeavingCallers.start({
      port,
      requests: requestsOf(1),
      first: FIRST,
      leaveAfterMs: LEAVE_AFTER_MS,
      leave: 'end',
    });
    await delay(SETTLE_MS);
    return callers;
  }

  async function endRun(callers: LeavingCallers): Promise<number> {
    await delay(SETTLE_MS);
    await callers.close();
    mesh.close();
    mesh.nodes.length = 0;
    target.close();
    return leftCount();
  }

  async function countAfterSlot(): Promise<number> {
    let finish = (): void => undefined;
    target = await startRawEndpoint((socket, head) => {
      if (head.includes('/busy')) {
        finish = () => socket.write(rawAnswer('done'));
      } else {
        socket.write(rawAnswer('done'));
      }
    });
    const port = await startMesh('n1', { slots: 1 });
    const callers = await startCallers(port);
    const busy = await LeavingCallers.start({
      port,
      requests: ['GET /busy HTTP/1.1\r\nHost: a\r\n\r\n'],
      leaveAfterMs: 10_000,
      leave: 'end',
    });
    busy.send();
    await until(() => target.heads.some((head) => head.includes('/busy')));
    callers.send();
    await delay(LEAVE_AFTER_MS / 3);
    finish();
    callers.block(350);
    const count = await endRun(callers);
    await busy.close();
    return count;
  }

  /** Blocks the event loop as soon as a counter of the callers' node rises. */
  async function blockOnceCounted(callers: LeavingCallers, counter: string): Promise<void> {
    const [node] = mesh.nodes;
    const count = (): number => node?.counters.get(counter) ?? 0;
    const before = count();
    callers.send();
    while (count() === before) {
      await new Promise(setImmediate);
    }
    callers.block(350);
  }

  async function countAfterBackOff(): Promise<number> {
    target = await startRawEndpoint((socket, head) => {
      socket.write(head.includes(LEFT_PATH) ? rawRefusal() : rawAnswer('done'));
    });
    const endpoints = ['e1', 'e2'].map((name) =>
      echoEndpoint(name, target.port, { machine: 'n1' }),
    );
    mesh.configure([...echoService({}, { retryBudgetPercent: 100 }), ...endpoints]);
    const { callerPort } = await mesh.addNode('n1');
    const callers = await startCallers(callerPort);
    await blockOnceCounted(callers, 'ferryspool_retries_total');
    return (await endRun(callers)) - 1;
  }

  async function countAfterConnect(): Promise<number> {
    target = await startRawEndpoint((socket) => {
      socket.write(rawAnswer('done', 'Connection: close\r\n'));
    });
    const port = await startMesh('n1');
    const callers = await startCallers(port);
    await blockOnceCounted(callers, 'ferryspool_endpoint_dispatches_total');
    return endRun(callers);
  }
});
