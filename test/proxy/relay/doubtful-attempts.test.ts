/**
 * What becomes of attempts that are in doubt, beside the plain cases: an answer that came second, a peer of
 * which nothing is heard for longer than a slow connection takes, and a connection that was silent before.
 *
 * The answer that came second was read to its end, which a stream may never have, though its caller had
 * left. A peer that was held up for longer than 3.1 s ended what its endpoint was at work on, although no
 * other attempt was left; and a connection that had been silent once was closed under requests that may not
 * be repeated.
 */
import { once } from 'node:events';
import http from 'node:http';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { LOSS_MS } from '../../../src/proxy/relay/link-pulse.js';
import { call, echoEndpoint, echoService, until, type TestNode } from '../rig.js';
import { DarkLink } from './dark-link.js';
import { SlowMesh } from './slow-mesh.js';

const DEADLINE_MS = 8_000;
const STALLED_MS = 900;
/** Longer than nothing is heard of a peer until what may be repeated is ended. */
const HELD_MS = LOSS_MS + 700;
const WORK_MS = 150;
const CONNECT_TIMEOUT_MS = 300;
/** Time in which an endpoint hears that its answer is not wanted, with room for a busy machine. */
const ENDED_WITHIN_MS = 1_500;

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const STREAM_PART = '4\r\npart\r\n';

describe('an attempt in doubt', () => {
  let world: SlowMesh;
  let near: TestNode;

  beforeEach(async () => {
    world = await SlowMesh.start();
  });

  afterEach(() => world.close());

  async function begin(method: 'GET' | 'POST', maxRetries: number): Promise<void> {
    near = await world.mesh.addNode('n1', { maxRetries });
    world.configure(method === 'GET' ? 'safe' : 'unsafe', DEADLINE_MS);
  }

  it('whose answer comes second is ended, though that is a stream', async function () {
    this.timeout(10_000);
    await begin('GET', 2);
    const request = http.get({ port: near.callerPort, host: '127.0.0.1', path: '/' });
    await until(() => world.slow.heads.length === 1);
    world.link.stall(STALLED_MS);
    await until(() => world.other.heads.length === 1);
    world.slowSockets.forEach((socket) => socket.write(STREAM_HEAD + STREAM_PART));
    world.otherSockets.forEach((socket) => socket.write(STREAM_HEAD + STREAM_PART));
    const [answer] = (await once(request, 'response')) as [http.IncomingMessage];
    answer.on('error', () => undefined).resume();
    await new Promise((resolve) => setTimeout(resolve, STALLED_MS + WORK_MS));
    request.destroy();
    await new Promise((resolve) => setTimeout(resolve, ENDED_WITHIN_MS));
    const leftOpen = (sockets: readonly Socket[]): number =>
      sockets.filter(({ destroyed }) => !destroyed).length;
    expect({
      slow: leftOpen(world.slowSockets),
      other: leftOpen(world.otherSockets),
    }).to.deep.equal({
      slow: 0,
      other: 0,
    });
  });

  it('is waited for while its peer is held up and no other attempt is left', async function () {
    this.timeout(10_000);
    await begin('GET', 0);
    const answer = call(near.callerPort, { method: 'GET' });
    await until(() => world.slow.heads.length === 1);
    world.link.hold(HELD_MS);
    setTimeout(() => world.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });

  it('is ended once its endpoint is gone from the configuration with its peer', async function () {
    this.timeout(10_000);
    await begin('GET', 0);
    const answer = call(near.callerPort, { method: 'GET' });
    await until(() => world.slow.heads.length === 1);
    const sentAtMs = performance.now();
    world.link.hold(DEADLINE_MS);
    world.mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS }),
      echoEndpoint('e2', world.other.port, { machine: 'n3' }),
    ]);
    expect((await answer).status).to.equal(502);
    expect(performance.now() - sentAtMs).to.be.within(LOSS_MS, LOSS_MS + ENDED_WITHIN_MS);
  });

  describe('at a machine that is dark', () => {
    const DARK_MS = 5_000;
    let dark: DarkLink;

    beforeEach(async () => {
      dark = await DarkLink.start(world.otherNode.relayPort);
      world.moveOtherNode(dark.port);
    });

    afterEach(() => dark.close());

    /** A request that is at work at the dark machine, where no other attempt may follow. */
    async function beginInTheDark(method: 'GET' | 'POST') {
      near = await world.mesh.addNode('n1', {
        maxRetries: 0,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
      });
      world.mesh.configure([
        ...echoService({ timeoutMs: DEADLINE_MS, repeatable: method === 'GET' }),
        echoEndpoint('e2', world.other.port, { machine: 'n3' }),
      ]);
      const answer = call(near.callerPort, { method });
      await until(() => world.other.heads.length === 1);
      const darkAtMs = performance.now();
      await dark.goDark(DARK_MS);
      world.answerOther();
      return { result: await answer, tookMs: performance.now() - darkAtMs };
    }

    it('is ended, for its caller to ask again', async function () {
      this.timeout(10_000);
      const { result, tookMs } = await beginInTheDark('GET');
      expect(result.status).to.equal(502);
      expect(tookMs).to.be.below(LOSS_MS);
    });

    it('is waited for where it may run only once', async function () {
      this.timeout(10_000);
      const { result } = await beginInTheDark('POST');
      expect(result).to.include({ status: 200, body: 'other' });
    });
  });

  it('that may run only once is waited for while its peer is held up, though its connection was silent before', async function () {
    this.timeout(10_000);
    await begin('POST', 0);
    const answer = call(near.callerPort, { method: 'POST' });
    await until(() => world.slow.heads.length === 1);
    world.link.stall(STALLED_MS);
    setTimeout(() => world.link.hold(HELD_MS), STALLED_MS + 300);
    setTimeout(() => world.answerSlow(), STALLED_MS + 600);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });

  it('that may run only once is waited for while its peer is held up', async function () {
    this.timeout(10_000);
    await begin('POST', 0);
    const answer = call(near.callerPort, { method: 'POST' });
    await until(() => world.slow.heads.length === 1);
    world.link.hold(HELD_MS);
    setTimeout(() => world.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });
});
