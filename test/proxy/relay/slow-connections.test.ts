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
  let world: SlowMesh;
  let near: TestNode;

  beforeEach(async () => {
    world = await SlowMesh.start();
  });

  afterEach(() => world.close());

  async function takeOtherNodeAway(): Promise<void> {
    world.moveOtherNode(await closedPort());
  }

  for (const isStopping of [false, true]) {
    describe(isStopping ? 'to a node that stops' : 'to a node that goes on', () => {
      /** A request that is at work at the first endpoint when its connection stalls. */
      async function begin(kind: RequestKind, stalledMs: number, maxRetries: number) {
        near = await world.mesh.addNode('n1', { maxRetries, stopTimeoutMs: DEADLINE_MS });
        world.configure(kind, DEADLINE_MS);
        const method = kind === 'safe' ? 'GET' : 'POST';
        const answer = call(near.callerPort, { method });
        await until(() => world.slow.heads.length === 1);
        world.link.stall(stalledMs);
        const stopped = isStopping ? near.proxy.stop() : Promise.resolve();
        setTimeout(() => world.answerSlow(), WORK_MS);
        return { answer, stopped };
      }

      it('is waited for where no other attempt is left', async () => {
        const { answer, stopped } = await begin('safe', STALLED_MS, 0);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(world.slow.cancelled).to.deep.equal([]);
      });

      it('is waited for when another attempt reaches nobody', async () => {
        await takeOtherNodeAway();
        const { answer, stopped } = await begin('safe', STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(world.slow.cancelled).to.deep.equal([]);
      });

      it('is waited for by a request that may run only once', async () => {
        const { answer, stopped } = await begin('unsafe', LONG_STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(world.slow.cancelled).to.deep.equal([]);
        expect(world.other.heads).to.deep.equal([]);
      });

      it('brings the answer when it comes before that of another attempt, which is cancelled', async () => {
        const { answer, stopped } = await begin('safe', STALLED_MS, 2);
        await until(() => world.other.heads.length === 1);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await until(() => world.other.cancelled.length === 1);
        await stopped;
      });

      it('is cancelled once another attempt is answered', async () => {
        const { answer, stopped } = await begin('safe', LONG_STALLED_MS, 2);
        world.slowSockets.length = 0;
        await until(() => world.other.heads.length === 1);
        world.answerOther();
        expect(await answer).to.include({ status: 200, body: 'other' });
        await until(() => world.slow.cancelled.length === 1);
        await stopped;
      });
    });
  }

  it('is waited for when the peer itself seems silent and another attempt reaches nobody', async () => {
    near = await world.mesh.addNode('n1', { maxRetries: 2 });
    world.configure('safe', DEADLINE_MS);
    await takeOtherNodeAway();
    const answer = call(near.callerPort);
    await until(() => world.slow.heads.length === 1);
    near.proxy.machineUnresponsive('n2');
    setTimeout(() => world.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
    expect(world.slow.cancelled).to.deep.equal([]);
  });
});
