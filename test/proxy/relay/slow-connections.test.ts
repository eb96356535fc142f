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
import {
  call,
  closedPort,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type TestNode,
} from '../rig.js';
import { SilentLink } from './silent-link.js';

const DEADLINE_MS = 6_000;
/** Longer than a connection may say nothing until it is taken for silent. */
const STALLED_MS = 900;
/** Longer than one that is taken for silent was kept. */
const LONG_STALLED_MS = 1_900;
/** An endpoint is at work for so long after its connection has stalled. */
const WORK_MS = 150;

type Kind = 'safe' | 'unsafe';

describe('an attempt over a connection between nodes that is slow', () => {
  const mesh = new TestMesh();
  let link: SilentLink;
  let near: TestNode;
  let slow: RawEndpoint;
  let other: RawEndpoint;
  let answerSlow: (() => void)[] = [];
  let answerOther: (() => void)[] = [];

  beforeEach(async () => {
    answerSlow = [];
    answerOther = [];
    slow = await startRawEndpoint((socket) => {
      answerSlow.push(() => socket.write(rawAnswer('slow')));
    });
    other = await startRawEndpoint((socket) => {
      answerOther.push(() => socket.write(rawAnswer('other')));
    });
    const beside = await mesh.addNode('n2');
    link = await SilentLink.start(beside.relayPort);
    mesh.nodes[0] = { ...beside, relayPort: link.port };
    await mesh.addNode('n3');
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    link.close();
    slow.close();
    other.close();
  });

  /** An endpoint behind the slow connection, and one beside another node, which is the second choice. */
  function configure(kind: Kind): void {
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: kind === 'safe' }),
      echoEndpoint('e1', slow.port, { machine: 'n2' }),
      echoEndpoint('e2', other.port, { machine: 'n3', zone: 'z9', region: 'r9' }),
    ]);
  }

  /** Nobody answers at the node beside the second endpoint. */
  async function takeOtherNodeAway(): Promise<void> {
    const node = mesh.nodes[1] as TestNode;
    mesh.nodes[1] = { ...node, relayPort: await closedPort() };
  }

  for (const isStopping of [false, true]) {
    describe(isStopping ? 'to a node that stops' : 'to a node that goes on', () => {
      /** A request that is at work at the first endpoint when its connection stalls. */
      async function begin(kind: Kind, stalledMs: number, maxRetries: number) {
        near = await mesh.addNode('n1', { maxRetries, stopTimeoutMs: DEADLINE_MS });
        configure(kind);
        const method = kind === 'safe' ? 'GET' : 'POST';
        const answer = call(near.callerPort, { method });
        await until(() => slow.heads.length === 1);
        link.stall(stalledMs);
        const stopped = isStopping ? near.proxy.stop() : Promise.resolve();
        setTimeout(() => answerSlow.forEach((answerNow) => answerNow()), WORK_MS);
        return { answer, stopped };
      }

      it('is waited for where no other attempt is left', async () => {
        const { answer, stopped } = await begin('safe', STALLED_MS, 0);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(slow.cancelled).to.deep.equal([]);
      });

      it('is waited for when another attempt reaches nobody', async () => {
        await takeOtherNodeAway();
        const { answer, stopped } = await begin('safe', STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(slow.cancelled).to.deep.equal([]);
      });

      it('is waited for by a request that may run only once', async () => {
        const { answer, stopped } = await begin('unsafe', LONG_STALLED_MS, 2);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await stopped;
        expect(slow.cancelled).to.deep.equal([]);
        expect(other.heads).to.deep.equal([]);
      });

      it('brings the answer when it comes before that of another attempt, which is cancelled', async () => {
        const { answer, stopped } = await begin('safe', STALLED_MS, 2);
        await until(() => other.heads.length === 1);
        expect(await answer).to.include({ status: 200, body: 'slow' });
        await until(() => other.cancelled.length === 1);
        await stopped;
      });

      it('is cancelled once another attempt is answered', async () => {
        const { answer, stopped } = await begin('safe', LONG_STALLED_MS, 2);
        answerSlow.length = 0;
        await until(() => other.heads.length === 1);
        answerOther.forEach((answerNow) => answerNow());
        expect(await answer).to.include({ status: 200, body: 'other' });
        await until(() => slow.cancelled.length === 1);
        await stopped;
      });
    });
  }

  it('is waited for when the peer itself seems silent and another attempt reaches nobody', async () => {
    near = await mesh.addNode('n1', { maxRetries: 2 });
    configure('safe');
    await takeOtherNodeAway();
    const answer = call(near.callerPort);
    await until(() => slow.heads.length === 1);
    near.proxy.machineIsSilent('n2');
    setTimeout(() => answerSlow.forEach((answerNow) => answerNow()), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
    expect(slow.cancelled).to.deep.equal([]);
  });
});
