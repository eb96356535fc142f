/**
 * Uploads and calls that go to the same machine.
 *
 * What happened: on a calm day callers of one service were told 500, for the calls that its endpoints
 * made to another service failed; under load half of them did. The endpoints that the calls went to had
 * free slots, their nodes' processors were idle.
 *
 * Sequence: nodes sent uploads of 60 KB to the nodes beside these endpoints, each with the first frame,
 * before the endpoint's node had admitted it; what it refused was sent again in whole to the next one.
 * Seven such links of 7 Mbit/s were offered 5.3 Mbit/s before any upload was repeated. Calls, handshakes
 * and refusals queued behind the bodies: in the median 87 ms, in the worst tenth 955 ms, at calls with a
 * target latency of 232 ms and a deadline of 695 ms. Connections between nodes did not open in 300 ms.
 *
 * Cause: bodies were pushed by their senders, each within a window of its own connection, and nobody
 * bounded what all of them together had on the way to one machine.
 */
import { expect } from 'chai';
import type { Endpoint } from '../../../src/model/resource.js';
import type { Answer, Call } from '../../../src/proxy/call.js';
import { RelayClient } from '../../../src/proxy/relay/relay-client.js';
import type { UnresponsiveConnection } from '../../../src/proxy/relay/relay-link.js';
import { EMPTY_BODY, HeldBody } from '../../../src/proxy/request-body.js';
import type { RequestError } from '../../../src/proxy/request-error.js';
import { MACHINE_TIME } from '../../../src/proxy/scheduler.js';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
} from '../rig.js';
import { NarrowLink } from './narrow-link.js';

/** 7 Mbit/s. */
const LINK_BYTES_PER_MS = 875;
const UPLOAD_BYTES = 60_000;
const CALL_TARGET_MS = 232;

describe('uploads between nodes', () => {
  const mesh = new TestMesh();
  const clients: RelayClient[] = [];
  let link: NarrowLink;
  let target: RawEndpoint;
  let count = 0;
  let openedCount = 0;
  const unresponsiveConnections: UnresponsiveConnection[] = [];

  beforeEach(async () => {
    openedCount = 0;
    unresponsiveConnections.length = 0;
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    const { relayPort } = await mesh.addNode('n2');
    link = await NarrowLink.start(relayPort, LINK_BYTES_PER_MS);
  });

  afterEach(() => {
    clients.splice(0).forEach((client) => client.close());
    link.close();
    mesh.close();
    mesh.nodes.length = 0;
    target.close();
  });

  function configure(endpointSpec: Record<string, unknown> = {}): Endpoint {
    mesh.configure([
      ...echoService(),
      echoEndpoint('e1', target.port, { machine: 'n2', ...endpointSpec }),
    ]);
    const [endpoint] = mesh.snapshot?.endpointsByService.get('echo') ?? [];
    if (endpoint === undefined) {
      throw new Error('no endpoint');
    }
    return endpoint;
  }

  /** A peer of its own, over the narrow link. */
  function addPeer(name: string): RelayClient {
    const client = new RelayClient({
      connectTimeoutMs: 2_000,
      onConnect: () => {
        openedCount += 1;
      },
      onUnresponsive: (_address, silence) => unresponsiveConnections.push(silence),
      scheduler: MACHINE_TIME,
      token: () => mesh.tokenOf(name),
      addressOf: () => ({ address: '127.0.0.1', port: link.port }),
    });
    clients.push(client);
    return client;
  }

  function submit(client: RelayClient, endpoint: Endpoint, body: Buffer | undefined) {
    count += 1;
    const call: Call = {
      requestId: `r${count}`,
      method: body === undefined ? 'GET' : 'POST',
      target: '/',
      headers: ['Host', 'a'],
      body: body === undefined ? EMPTY_BODY : new HeldBody(body),
      deadlineAtMs: performance.now() + 8_000,
      callerNode: 'n1',
      retriesLeft: 0,
      priority: body === undefined ? 0 : 1,
      workClass: body === undefined ? 'call' : 'upload',
    };
    return new Promise<Answer | RequestError>((resolve) => {
      client.submit(endpoint, call, { answered: resolve, failed: resolve });
    });
  }

  it('do not send the body of what the endpoint’s node refuses', async () => {
    const endpoint = configure({ state: 'draining' });
    const outcome = await submit(addPeer('n1'), endpoint, Buffer.alloc(UPLOAD_BYTES));
    expect(outcome).to.have.property('verdict', 'not-run');
    expect(link.carriedBytes).to.be.lessThan(4_096);
  });

  it('do not let the connection that they fill be taken for silent', async () => {
    const endpoint = configure();
    const peers = Array.from({ length: 4 }, (_none, index) => addPeer(`p${index}`));
    const checkTimer = setInterval(() => peers.forEach((peer) => peer.checkLiveness()), 20);
    await Promise.all(peers.map((peer) => submit(peer, endpoint, undefined)));
    const body = Buffer.alloc(600_000, 'u');
    const ends = await Promise.all(peers.map((peer) => submit(peer, endpoint, body)));
    clearInterval(checkTimer);
    expect(ends.every((answer) => 'body' in answer && answer.status === 200)).to.equal(true);
    expect(unresponsiveConnections).to.deep.equal([]);
    expect(openedCount).to.equal(peers.length);
  });

  it('leave room on a narrow link for calls that come while many of them are under way', async () => {
    const endpoint = configure();
    const peers = Array.from({ length: 10 }, (_none, index) => addPeer(`p${index}`));
    await Promise.all(peers.map((peer) => submit(peer, endpoint, undefined)));
    const body = Buffer.alloc(UPLOAD_BYTES, 'u');
    const uploads = peers.map((peer) => submit(peer, endpoint, body));
    await new Promise((resolve) => setTimeout(resolve, 30));
    const sentAtMs = performance.now();
    const answers = await Promise.all(peers.map((peer) => submit(peer, endpoint, undefined)));
    const responseMs = performance.now() - sentAtMs;
    expect(answers.map((answer) => 'status' in answer && answer.status)).to.not.include(false);
    expect(responseMs).to.be.lessThan(CALL_TARGET_MS);
    const ends = await Promise.all(uploads);
    expect(ends.every((answer) => 'body' in answer && answer.status === 200)).to.equal(true);
    expect(target.received.filter((text) => text.endsWith(body.toString()))).to.have.length(10);
  });
});
