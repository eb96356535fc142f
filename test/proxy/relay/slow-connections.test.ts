/**
 * A connection between two nodes that is only slow looks like one that has gone silent for good: nothing
 * arrives on it, while a new one works at once.
 *
 * Nodes ended attempts on that sign and counted on another attempt, and only then looked for one. Where it
 * reached nobody, or none was left, the caller was told 502 long before its deadline, though its endpoint
 * had been at work: the run was cut, 0.40 s and 0.87 s before the callers' nodes gave up. The nodes were
 * about to stop, but nothing of it depends on that.
 */
import { expect } from 'chai';
import { call, closedPort, until, type TestNode } from '../rig.js';
import { SlowMesh, type RequestKind } from './slow-mesh.js';

const DEADLINE_MS = 6_000;
/** Longer than a connection may say nothing until it is taken for silent. */
const STALLED_MS = 900;
/** Longer than one that is taken for silent was kept. */
const LONG_STALLED_MS = 1_900;
/** An endpoint is at work for so long after its connection has stalled. */
const WORK_MS = 150;

describe('an attempt over a connection between nodes that is slow', () => {
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
    describe(isStopping ? 'to a node that stops' : 'to a node that goes on', () => {
      /** A request that is at work at the first endpoint when its connection stalls. */
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

      it('is waited for where no other attempt is left', async () => {
        const { answer, stopped } = await begin('safe', STALLED_MS, 0);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(setup.slow.cancelled).to.deep.equal([]);
      });

      it('is waited for when another attempt reaches nobody', async () => {
        await makeOtherNodeUnreachable();
        const { answer, stopped } = await begin('safe', STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(setup.slow.cancelled).to.deep.equal([]);
      });

      it('is waited for by a request that may run only once', async () => {
        const { answer, stopped } = await begin('unsafe', LONG_STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(setup.slow.cancelled).to.deep.equal([]);
        expect(setup.other.heads).to.deep.equal([]);
      });

      it('brings the answer when it comes before that of another attempt, which is cancelled', async () => {
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

  it('is waited for when the peer itself seems silent and another attempt reaches nobody', async () => {
    caller = await setup.mesh.addNode('n1', { maxRetries: 2 });
    setup.configure('safe', DEADLINE_MS);
    await makeOtherNodeUnreachable();
    const answer = call(caller.callerPort);
    await until(() => setup.slow.heads.length === 1);
    caller.proxy.machineIsSilent('n2');
    setTimeout(() => setup.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
    expect(setup.slow.cancelled).to.deep.equal([]);
  });
});
