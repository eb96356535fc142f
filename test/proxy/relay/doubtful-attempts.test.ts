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
import { LOSS_TIMEOUT_MS } from '../../../src/proxy/relay/connection-liveness.js';
import { call, echoEndpoint, echoService, until, type TestNode } from '../rig.js';
import { UnreachableLink } from './unreachable-link.js';
import { SlowMesh } from './slow-mesh.js';

const DEADLINE_MS = 8_000;
const STALLED_MS = 900;
/** Longer than nothing is heard of a peer until what may be repeated is ended. */
const PAUSED_MS = LOSS_TIMEOUT_MS + 700;
const WORK_MS = 150;
const CONNECT_TIMEOUT_MS = 300;
/** Time in which an endpoint hears that its answer is not wanted, with room for a busy machine. */
const CANCELLED_WITHIN_MS = 1_500;

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const STREAM_PART = '4\r\npart\r\n';

describe('an attempt in doubt', () => {
  let setup: SlowMesh;
  let caller: TestNode;

  beforeEach(async () => {
    setup = await SlowMesh.start();
  });

  afterEach(() => setup.close());

  async function addCaller(method: 'GET' | 'POST', maxRetries: number): Promise<void> {
    caller = await setup.mesh.addNode('n1', { maxRetries });
    setup.configure(method === 'GET' ? 'safe' : 'unsafe', DEADLINE_MS);
  }

  it('whose answer comes second is ended, though that is a stream', async function () {
    this.timeout(10_000);
    await addCaller('GET', 2);
    const request = http.get({ port: caller.callerPort, host: '127.0.0.1', path: '/' });
    await until(() => setup.slow.heads.length === 1);
    setup.link.stallConnections(STALLED_MS);
    await until(() => setup.other.heads.length === 1);
    setup.slowSockets.forEach((socket) => socket.write(STREAM_HEAD + STREAM_PART));
    setup.otherSockets.forEach((socket) => socket.write(STREAM_HEAD + STREAM_PART));
    const [answer] = (await once(request, 'response')) as [http.IncomingMessage];
    answer.on('error', () => undefined).resume();
    await new Promise((resolve) => setTimeout(resolve, STALLED_MS + WORK_MS));
    request.destroy();
    await new Promise((resolve) => setTimeout(resolve, CANCELLED_WITHIN_MS));
    const openCount = (sockets: readonly Socket[]): number =>
      sockets.filter(({ destroyed }) => !destroyed).length;
    expect({
      slow: openCount(setup.slowSockets),
      other: openCount(setup.otherSockets),
    }).to.deep.equal({
      slow: 0,
      other: 0,
    });
  });

  it('is waited for while its peer is held up and no other attempt is left', async function () {
    this.timeout(10_000);
    await addCaller('GET', 0);
    const answer = call(caller.callerPort, { method: 'GET' });
    await until(() => setup.slow.heads.length === 1);
    setup.link.pauseTraffic(PAUSED_MS);
    setTimeout(() => setup.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });

  it('is ended once its endpoint is gone from the configuration with its peer', async function () {
    this.timeout(10_000);
    await addCaller('GET', 0);
    const answer = call(caller.callerPort, { method: 'GET' });
    await until(() => setup.slow.heads.length === 1);
    const sentAtMs = performance.now();
    setup.link.pauseTraffic(DEADLINE_MS);
    setup.mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS }),
      echoEndpoint('e2', setup.other.port, { machine: 'n3' }),
    ]);
    expect((await answer).status).to.equal(502);
    expect(performance.now() - sentAtMs).to.be.within(
      LOSS_TIMEOUT_MS,
      LOSS_TIMEOUT_MS + CANCELLED_WITHIN_MS,
    );
  });

  describe('at a machine that is dark', () => {
    const UNREACHABLE_MS = 5_000;
    let unreachableLink: UnreachableLink;

    beforeEach(async () => {
      unreachableLink = await UnreachableLink.start(setup.otherNode.relayPort);
      setup.moveOtherNode(unreachableLink.port);
    });

    afterEach(() => unreachableLink.close());

    /** A request that is at work at the dark machine, where no other attempt may follow. */
    async function callUnreachableMachine(method: 'GET' | 'POST') {
      caller = await setup.mesh.addNode('n1', {
        maxRetries: 0,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
      });
      setup.mesh.configure([
        ...echoService({ timeoutMs: DEADLINE_MS, repeatable: method === 'GET' }),
        echoEndpoint('e2', setup.other.port, { machine: 'n3' }),
      ]);
      const answer = call(caller.callerPort, { method });
      await until(() => setup.other.heads.length === 1);
      const unreachableAtMs = performance.now();
      await unreachableLink.block(UNREACHABLE_MS);
      setup.answerOther();
      return { result: await answer, responseMs: performance.now() - unreachableAtMs };
    }

    it('is ended, for its caller to ask again', async function () {
      this.timeout(10_000);
      const { result, responseMs } = await callUnreachableMachine('GET');
      expect(result.status).to.equal(502);
      expect(responseMs).to.be.below(LOSS_TIMEOUT_MS);
    });

    it('is waited for where it may run only once', async function () {
      this.timeout(10_000);
      const { result } = await callUnreachableMachine('POST');
      expect(result).to.include({ status: 200, body: 'other' });
    });
  });

  it('that may run only once is waited for while its peer is held up, though its connection was silent before', async function () {
    this.timeout(10_000);
    await addCaller('POST', 0);
    const answer = call(caller.callerPort, { method: 'POST' });
    await until(() => setup.slow.heads.length === 1);
    setup.link.stallConnections(STALLED_MS);
    setTimeout(() => setup.link.pauseTraffic(PAUSED_MS), STALLED_MS + 300);
    setTimeout(() => setup.answerSlow(), STALLED_MS + 600);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });

  it('that may run only once is waited for while its peer is held up', async function () {
    this.timeout(10_000);
    await addCaller('POST', 0);
    const answer = call(caller.callerPort, { method: 'POST' });
    await until(() => setup.slow.heads.length === 1);
    setup.link.pauseTraffic(PAUSED_MS);
    setTimeout(() => setup.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });
});
