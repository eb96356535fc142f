/**
 * A connection between two nodes that is only slow looks like a permanently unresponsive one: nothing arrives on it
 * while a new connection works immediately.
 *
 * Guards against ending an attempt in that state before another one has succeeded. If the other attempt cannot
 * connect, or none is left, the caller receives 502 long before its deadline although its endpoint is running the
 * request: the run is cancelled, for example 0.40 s and 0.87 s before the callers' nodes gave up. The failure
 * occurs whether or not the nodes are about to stop.
 */
import { expect } from 'chai';
import { call, closedPort, until, type TestNode } from '../rig.js';
import { SlowMesh, type RequestKind } from './slow-mesh.js';

const DEADLINE_MS = 6_000;
/** Longer than until a connection is considered unresponsive. */
const STALLED_MS = 900;
/** Long enough to detect that an unresponsive connection is closed too early. */
const LONG_STALLED_MS = 1_900;
/** Time for which an endpoint keeps working after its connection stalls. */
const WORK_MS = 150;

describe('an attempt over a slow connection between nodes', () => {
  let setup: SlowMesh;
  let caller: TestNode;

  beforeEach(async () => {
    setup = await SlowMesh.start();
  });

  afterEach(() => setup.close());

  async function makeOtherNodeUnreachable(): Promise<void> {
    setup.moveOtherNode(await closedPort());
  }

  for (const isStopping of [false, true]) {
    describe(isStopping ? 'to a stopping node' : 'to a running node', () => {
      /** Stalls the connection of a request that is running at the first endpoint. */
      async function begin(kind: RequestKind, stalledMs: number, maxRetries: number) {
        caller = await setup.mesh.addNode('n1', { maxRetries, stopTimeoutMs: DEADLINE_MS });
        setup.configure(kind, DEADLINE_MS);
        const method = kind === 'safe' ? 'GET' : 'POST';
        const answer = call(caller.callerPort, { method });
        await until(() => setup.slow.heads.length === 1);
        setup.link.stallConnections(stalledMs);
        const stopped = isStopping ? caller.proxy.stop() : Promise.resolve();
        setTimeout(() => setup.answerSlow(), WORK_MS);
        return { answer, stopped };
      }

      it('is awaited if no other attempt is left', async () => {
        const { answer, stopped } = await begin('safe', STALLED_MS, 0);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(setup.slow.cancelled).to.deep.equal([]);
      });

      it('is awaited if another attempt cannot connect', async () => {
        await makeOtherNodeUnreachable();
        const { answer, stopped } = await begin('safe', STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(setup.slow.cancelled).to.deep.equal([]);
      });

      it('is awaited if the request is not repeatable', async () => {
        const { answer, stopped } = await begin('unsafe', LONG_STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(setup.slow.cancelled).to.deep.equal([]);
        expect(setup.other.heads).to.deep.equal([]);
      });

      it('provides the answer if it answers before another attempt, which is cancelled', async () => {
        const { answer, stopped } = await begin('safe', STALLED_MS, 2);
        await until(() => setup.other.heads.length === 1);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await until(() => setup.other.cancelled.length === 1);
        await stopped;
      });

      it('is cancelled once another attempt is answered', async () => {
        const { answer, stopped } = await begin('safe', LONG_STALLED_MS, 2);
        setup.slowSockets.length = 0;
        await until(() => setup.other.heads.length === 1);
        setup.answerOther();
        expect(await answer).to.include({ status: 200, body: 'other' });
        await until(() => setup.slow.cancelled.length === 1);
        await stopped;
      });
    });
  }

  it('is awaited if the peer itself seems unresponsive and another attempt cannot connect', async () => {
    caller = await setup.mesh.addNode('n1', { maxRetries: 2 });
    setup.configure('safe', DEADLINE_MS);
    await makeOtherNodeUnreachable();
    const answer = call(caller.callerPort);
    await until(() => setup.slow.heads.length === 1);
    caller.proxy.machineUnresponsive('n2');
    setTimeout(() => setup.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
    expect(setup.slow.cancelled).to.deep.equal([]);
  });
});
