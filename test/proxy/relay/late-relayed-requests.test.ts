/**
 * Guards against requests that another node starts although their callers have left: the cancellation is in a later
 * read, or behind the request on a connection that delivers both late.
 */
import { setTimeout as delay } from 'node:timers/promises';
import net from 'node:net';
import { expect } from 'chai';
import { encodeRelayFrame } from '../../../src/proxy/relay/relay-frame.js';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type TestNode,
} from '../rig.js';
import { openRelay } from '../relay-sender.js';
import { DelayedLink } from './delayed-link.js';

const LEAVE_AFTER_MS = 90;
/** Delay of the link in milliseconds: a caller that leaves then has left for half a second as its request arrives. */
const TRANSIT_MS = 700;
/** Bytes between a request and its cancellation; more than one read. */
const BETWEEN_BYTES = 200_000;
const LEFT_PATH = '/left';

describe('a request that reaches the node of its endpoint late', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let owner: TestNode;
  let link: DelayedLink | undefined;

  beforeEach(async () => {
    mesh = new TestMesh();
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n2' })]);
    owner = await mesh.addNode('n2');
  });

  afterEach(() => {
    mesh.close();
    link?.close();
    target.close();
  });

  /** Adds a node that reaches the owner over a link; `delayOf` gives the delay of each chunk by its number. */
  async function addCallerNode(delayOf: (chunkIdx: number) => number): Promise<TestNode> {
    link = await DelayedLink.start(owner.relayPort, delayOf);
    mesh.nodes[0] = { ...owner, relayPort: link.port };
    return mesh.addNode('n1');
  }

  function sendAndLeave({ callerPort }: TestNode): void {
    const socket = net.connect(callerPort, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(`GET ${LEFT_PATH} HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 5000\r\n\r\n`);
    setTimeout(() => socket.destroy(), LEAVE_AFTER_MS);
  }

  function leftCount(): number {
    return target.heads.filter((head) => head.includes(LEFT_PATH)).length;
  }

  it('is not run if its cancellation was read later, by an event loop that was blocked for 300 ms', async () => {
    const opened = await openRelay(owner.relayPort, mesh.tokenOf('n1'));
    if (opened.kind !== 'open') {
      throw new Error('refused');
    }
    const { sender } = opened;
    await sender.outcome(sender.request());
    const streamId = sender.request({ target: LEFT_PATH });
    setImmediate(() => {
      const bytes = Buffer.alloc(BETWEEN_BYTES);
      const between = { kind: 'body', streamId: 99, isLast: false, bytes } as const;
      sender.socket.write(encodeRelayFrame(between));
      sender.socket.write(encodeRelayFrame({ kind: 'cancel', streamId }));
      const freeAtMs = performance.now() + 300;
      while (performance.now() < freeAtMs);
    });
    await delay(10);
    await sender.outcome(sender.request());
    expect([leftCount(), target.heads.length]).to.deep.equal([0, 2]);
    sender.destroy();
  });

  it('is not run if its connection delivers it late and its caller has left meanwhile', async () => {
    let transitMs = 0;
    const node = await addCallerNode(() => transitMs);
    await call(node.callerPort);
    transitMs = TRANSIT_MS;
    sendAndLeave(node);
    await delay(3 * TRANSIT_MS);
    expect(leftCount()).to.equal(0);
  });

  it('is not run if it is the first one on its connection', async () => {
    const node = await addCallerNode((chunkIdx) => (chunkIdx === 0 ? 0 : TRANSIT_MS));
    sendAndLeave(node);
    await delay(3 * TRANSIT_MS);
    expect(leftCount()).to.equal(0);
  });

  /** Guards against wanted requests that are held although the connection delivers in time again. */
  it('is run at once if its sender confirms that it is still wanted', async () => {
    let transitMs = 0;
    const node = await addCallerNode(() => transitMs);
    await call(node.callerPort);
    transitMs = TRANSIT_MS;
    setTimeout(() => (transitMs = 0), LEAVE_AFTER_MS);
    const sentAtMs = performance.now();
    const { status } = await call(node.callerPort, { headers: { 'x-deadline-ms': '5000' } });
    expect(status).to.equal(200);
    expect(performance.now() - sentAtMs).to.be.below(TRANSIT_MS + 150);
  });

  it('is run although its sender can not confirm it in time', async () => {
    let transitMs = 0;
    const node = await addCallerNode(() => transitMs);
    await call(node.callerPort);
    transitMs = TRANSIT_MS;
    const { status } = await call(node.callerPort, { headers: { 'x-deadline-ms': '5000' } });
    expect(status).to.equal(200);
    await until(() => target.heads.length === 2);
  });
});
