/**
 * Suspect attempts in less common cases. Guards against three failures:
 *
 * - The later of two answers is read to its end although its caller has disconnected; a stream may never end.
 * - A pause of the peer for longer than 3.1 s ends a request that its endpoint is running, although no other attempt
 *   is left.
 * - A connection that was unresponsive once is closed while it carries requests that must not be repeated.
 */
import { once } from 'node:events';
import http from 'node:http';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { LOSS_TIMEOUT_MS } from '../../../src/proxy/relay/link-pulse.js';
import { call, echoEndpoint, echoService, until, type TestNode } from '../rig.js';
import { UnreachableLink } from './unreachable-link.js';
import { SlowMesh } from './slow-mesh.js';

const DEADLINE_MS = 8_000;
const STALLED_MS = 900;
/** Longer than the time after which a connection is lost. */
const LOSS_PAUSE_MS = LOSS_TIMEOUT_MS + 700;
const WORK_MS = 150;
const CONNECT_TIMEOUT_MS = 300;
/** Time for an endpoint to be notified that its answer was cancelled, with a margin for a busy machine. */
const CANCELLED_WITHIN_MS = 1_500;

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const STREAM_PART = '4\r\npart\r\n';

describe('a suspect attempt', () => {
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

  it('is ended if its answer comes second, even if that is a stream', async function () {
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

  it('is awaited while its peer is paused and no other attempt is left', async function () {
    this.timeout(10_000);
    await addCaller('GET', 0);
    const answer = call(caller.callerPort, { method: 'GET' });
    await until(() => setup.slow.heads.length === 1);
    setup.link.pauseTraffic(LOSS_PAUSE_MS);
    setTimeout(() => setup.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });

  it('is ended once its endpoint is delisted while its peer is unresponsive', async function () {
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

  describe('at an unreachable machine', () => {
    const UNREACHABLE_MS = 5_000;
    let unreachableLink: UnreachableLink;

    beforeEach(async () => {
      unreachableLink = await UnreachableLink.start(setup.otherNode.relayPort);
      setup.moveOtherNode(unreachableLink.port);
    });

    afterEach(() => unreachableLink.close());

    /** Sends a request that is running when its machine becomes unreachable and no other attempt is allowed. */
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

    it('is ended, so that its caller can retry', async function () {
      this.timeout(10_000);
      const { result, responseMs } = await callUnreachableMachine('GET');
      expect(result.status).to.equal(502);
      expect(responseMs).to.be.below(LOSS_TIMEOUT_MS);
    });

    it('is awaited if its request is not repeatable', async function () {
      this.timeout(10_000);
      const { result } = await callUnreachableMachine('POST');
      expect(result).to.include({ status: 200, body: 'other' });
    });
  });

  it('is awaited if not repeatable while its peer is paused after a stall of the connection', async function () {
    this.timeout(10_000);
    await addCaller('POST', 0);
    const answer = call(caller.callerPort, { method: 'POST' });
    await until(() => setup.slow.heads.length === 1);
    setup.link.stallConnections(STALLED_MS);
    setTimeout(() => setup.link.pauseTraffic(LOSS_PAUSE_MS), STALLED_MS + 300);
    setTimeout(() => setup.answerSlow(), STALLED_MS + 600);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });

  it('is awaited if not repeatable while its peer is paused', async function () {
    this.timeout(10_000);
    await addCaller('POST', 0);
    const answer = call(caller.callerPort, { method: 'POST' });
    await until(() => setup.slow.heads.length === 1);
    setup.link.pauseTraffic(LOSS_PAUSE_MS);
    setTimeout(() => setup.answerSlow(), WORK_MS);
    expect(await answer).to.include({ status: 200, body: 'slow' });
  });
});
