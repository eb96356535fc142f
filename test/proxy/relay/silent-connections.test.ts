/**
 * Connections between two nodes that become permanently unresponsive, without a reset, while new ones work.
 *
 * Datagrams between the two machines still arrive, so neither machine is considered unresponsive. Without detection,
 * each request on the connection would wait until its deadline, and later requests would use the same connection.
 */
import http from 'node:http';
import { expect } from 'chai';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type CallerResult,
  type RawEndpoint,
  type TestNode,
} from '../rig.js';
import { LOSS_TIMEOUT_MS, MAX_PING_TIMEOUT_MS } from '../../../src/proxy/relay/link-pulse.js';
import { openRelay, type RelaySender } from '../relay-sender.js';
import { FaultyLink, type DropDirection } from './faulty-link.js';

/** Time until repeatable requests are retried elsewhere, with a margin for a busy machine. */
const RETRIED_WITHIN_MS = 1_000;
/** Time until other requests fail, with a margin; not before an answer on a slow connection would have arrived. */
const FAILED_WITHIN_MS = LOSS_TIMEOUT_MS + 800;
/** Time until the endpoint's node releases the requests of the peer, with a margin for a busy machine. */
const RELEASED_WITHIN_MS = LOSS_TIMEOUT_MS + 1_500;
/** The same if the peer opens no new connection: its machine may only be paused. */
const RELEASED_UNCONFIRMED_WITHIN_MS = 6_500;
const DEADLINE_MS = 8_000;
/** Time for which no new connection works: longer than until a connection without a new one is lost. */
const NO_NEW_CONNECTION_MS = LOSS_TIMEOUT_MS + 700;
/** Time from a working new connection until requests on the unresponsive one fail, with the same margin. */
const FAILED_AFTER_RECONNECT_WITHIN_MS = MAX_PING_TIMEOUT_MS + 800;
/** Short enough that no liveness check finds the connection idle yet. */
const ABORT_AFTER_MS = 30;

const DROP_DIRECTIONS: readonly DropDirection[] = ['both', 'towards', 'from'];

describe('a connection between two nodes that becomes unresponsive', () => {
  const mesh = new TestMesh();
  let link: FaultyLink;
  let target: RawEndpoint;
  let caller: TestNode;
  let owner: TestNode;
  /** While set, answers of the endpoint are delayed. */
  let isAnswerDelayed = false;
  /** While set, answers of the endpoint start but do not end. */
  let isStreamed = false;
  const delayedAnswers: (() => void)[] = [];

  beforeEach(async () => {
    isAnswerDelayed = false;
    isStreamed = false;
    delayedAnswers.length = 0;
    target = await startRawEndpoint((socket) => {
      const answer = (): unknown => socket.write(rawAnswer('ran'));
      if (isStreamed) {
        socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n');
      } else if (isAnswerDelayed) {
        delayedAnswers.push(answer);
      } else {
        answer();
      }
    });
    owner = await mesh.addNode('n2');
    link = await FaultyLink.start(owner.relayPort);
    mesh.nodes[0] = { ...owner, relayPort: link.port };
    caller = await mesh.addNode('n1');
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    link.close();
    target.close();
  });

  function configure(kind: 'safe' | 'unsafe'): void {
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: kind === 'safe' }),
      echoEndpoint('e1', target.port, { machine: 'n2' }),
      echoEndpoint('e2', target.port, { machine: 'n2' }),
    ]);
  }

  function send(kind: 'safe' | 'unsafe'): Promise<CallerResult> {
    return call(caller.callerPort, { method: kind === 'safe' ? 'GET' : 'POST' });
  }

  /** Drops the traffic of a connection while a request runs at the endpoint; measures the time to its answer. */
  async function interrupt(kind: 'safe' | 'unsafe', direction: DropDirection) {
    configure(kind);
    expect((await send(kind)).status).to.equal(200);
    isAnswerDelayed = true;
    const before = target.heads.length;
    const answer = send(kind);
    await until(() => target.heads.length > before);
    isAnswerDelayed = false;
    link.dropTraffic(direction);
    const silentFromMs = performance.now();
    delayedAnswers.splice(0).forEach((answerNow) => answerNow());
    const result = await answer;
    return {
      result,
      responseMs: performance.now() - silentFromMs,
      runs: target.heads.length - before,
    };
  }

  /**
   * A stopping node accepts no new connections until the next process at its address does. Without a working new
   * connection the peer may only be paused. Guards against not checking the old connection again once a new one works:
   * its requests then wait until their deadlines. In a soak run with that failure, a connection to a node that was told
   * to stop 2.8 s before is used for 6.3 s after it becomes unresponsive.
   */
  it('fails its requests soon after new connections work again', async () => {
    configure('unsafe');
    expect((await send('unsafe')).status).to.equal(200);
    isAnswerDelayed = true;
    const before = target.heads.length;
    const answer = send('unsafe');
    await until(() => target.heads.length > before);
    isAnswerDelayed = false;
    link.dropTraffic('both');
    link.pauseTraffic(NO_NEW_CONNECTION_MS);
    await new Promise((resolve) => setTimeout(resolve, NO_NEW_CONNECTION_MS));
    expect((await send('unsafe')).status).to.equal(200);
    const reconnectedAtMs = performance.now();
    expect((await answer).status).to.equal(502);
    expect(performance.now() - reconnectedAtMs).to.be.below(FAILED_AFTER_RECONNECT_WITHIN_MS);
  }).timeout(2 * DEADLINE_MS);

  it('loses no repeatable request, and serves later ones immediately', async () => {
    for (const direction of DROP_DIRECTIONS) {
      const { result, responseMs } = await interrupt('safe', direction);
      expect(result, direction).to.include({ status: 200, body: 'ran' });
      expect(responseMs, direction).to.be.below(RETRIED_WITHIN_MS);
      // If answers still arrive, it is this request that detects the failure.
      const nextAtMs = performance.now();
      expect((await send('safe')).status, direction).to.equal(200);
      expect(performance.now() - nextAtMs, direction).to.be.below(RETRIED_WITHIN_MS);
      const laterAtMs = performance.now();
      expect((await send('safe')).status, direction).to.equal(200);
      expect(performance.now() - laterAtMs, direction).to.be.below(300);
    }
    expect(link.openedCount).to.equal(1 + DROP_DIRECTIONS.length);
  });

  it('fails requests long before their deadlines if they may have run, and runs them once', async () => {
    for (const direction of ['both', 'from'] as const) {
      const { result, responseMs, runs } = await interrupt('unsafe', direction);
      expect(result.status, direction).to.equal(502);
      expect(responseMs, direction).to.be.below(FAILED_WITHIN_MS);
      expect(runs, direction).to.equal(1);
    }
    const before = target.heads.length;
    link.dropTraffic('towards');
    const sentAtMs = performance.now();
    expect((await send('unsafe')).status).to.equal(502);
    expect(performance.now() - sentAtMs).to.be.below(FAILED_WITHIN_MS);
    expect(target.heads).to.have.length(before);
    await expectAnswerInProgressTruncated();
  });

  async function expectAnswerInProgressTruncated(): Promise<void> {
    isStreamed = true;
    const answer = send('unsafe');
    const before = target.heads.length;
    await until(() => target.heads.length > before);
    await new Promise((resolve) => setTimeout(resolve, 100));
    link.dropTraffic('from');
    const silentFromMs = performance.now();
    const result = await answer;
    expect(result).to.include({ status: 200, body: 'half', isWhole: false });
    expect(performance.now() - silentFromMs).to.be.below(FAILED_WITHIN_MS);
  }

  /** Sends a request whose caller disconnects before any answer. */
  async function sendAndAbort(): Promise<void> {
    const { callerPort: port } = caller;
    const request = http.request({ host: '127.0.0.1', port, method: 'POST', agent: false });
    request.on('error', () => undefined);
    request.end();
    await new Promise((resolve) => setTimeout(resolve, ABORT_AFTER_MS));
    request.destroy();
  }

  for (const direction of DROP_DIRECTIONS) {
    it(`is detected by a request whose caller disconnected, dropping ${direction}, before the next one`, async () => {
      configure('unsafe');
      expect((await send('unsafe')).status).to.equal(200);
      link.dropTraffic(direction);
      await sendAndAbort();
      await until(() => link.openedCount === 2);
      const sentAtMs = performance.now();
      expect((await send('unsafe')).status).to.equal(200);
      expect(performance.now() - sentAtMs).to.be.below(300);
    });
  }

  for (const pausedMs of [200, 600]) {
    it(`is not detected if the peer is paused for ${pausedMs} ms`, async () => {
      configure('safe');
      for (let round = 0; round < 3; round += 1) {
        isAnswerDelayed = true;
        const before = target.heads.length;
        const answer = send('safe');
        await until(() => target.heads.length > before);
        await new Promise((resolve) => setTimeout(resolve, 70 * round));
        link.pauseTraffic(pausedMs);
        await new Promise((resolve) => setTimeout(resolve, pausedMs + 300));
        isAnswerDelayed = false;
        delayedAnswers.splice(0).forEach((answerNow) => answerNow());
        expect((await answer).status).to.equal(200);
        expect(target.heads).to.have.length(before + 1);
      }
      expect(caller.counters.get('ferryspool_relay_silent_total')).to.equal(undefined);
      expect(owner.counters.get('ferryspool_relay_silent_total')).to.equal(undefined);
    });
  }

  /** Drops the traffic of a peer with one request at the endpoint and one body in flight. */
  async function beginThenDropTraffic(): Promise<RelaySender> {
    configure('unsafe');
    const sender = await openSender();
    isAnswerDelayed = true;
    sender.request({ remainingMs: DEADLINE_MS });
    sender.request({ remainingMs: DEADLINE_MS, bodyForm: 'sized', bodyBytes: 60_000 });
    await until(() => target.heads.length === 1);
    link.dropTraffic('both');
    return sender;
  }

  async function openSender(): Promise<RelaySender> {
    const opening = await openRelay(link.port, mesh.tokenOf('n3'));
    if (opening.kind !== 'open') {
      throw new Error('refused');
    }
    return opening.sender;
  }

  async function msUntilReleased(): Promise<number> {
    const silentFromMs = performance.now();
    await until(() => target.cancelled.length === 1);
    expect(owner.counters.get('ferryspool_relay_silent_total')).to.equal(1);
    return performance.now() - silentFromMs;
  }

  it('releases the partial body and the slot of its requests', async () => {
    const senders = [await beginThenDropTraffic()];
    const releaseMs = msUntilReleased();
    await new Promise((resolve) => setTimeout(resolve, 400));
    senders.push(await openSender());
    expect(await releaseMs).to.be.below(RELEASED_WITHIN_MS);
    senders.forEach((sender) => sender.destroy());
  });

  it('releases them later if the peer opens no new connection', async () => {
    const sender = await beginThenDropTraffic();
    const releaseMs = await msUntilReleased();
    expect(releaseMs).to.be.within(RELEASED_WITHIN_MS, RELEASED_UNCONFIRMED_WITHIN_MS);
    sender.destroy();
  });
});
