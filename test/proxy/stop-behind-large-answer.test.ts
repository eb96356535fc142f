/** Guards against complete answers that are cut off at the end of a stop behind a large, slowly forwarded one. */
import net, { type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type TestNode,
} from './rig.js';
import { DelayedLink } from './relay/delayed-link.js';

const LARGE_BYTES = 400_000;
/** One-way delay between the nodes, in milliseconds. */
const LINK_DELAY_MS = 150;
/** The stop lasts several times as long as two round trips, one of them for the request itself; in milliseconds. */
const LIMITS = {
  stopNoticeMs: 100,
  stopAcceptMs: 700,
  stopTimeoutMs: 1_400,
  stopAnswerMs: 250,
  stopQuietMs: 30,
};
/** Delay before a slow caller reads, in milliseconds; it ends within the stop. */
const READ_DELAY_MS = 1_000;
const REQUESTS = ['/large', '/small', '/small']
  .map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`)
  .join('');

/** A complete answer with chunked transfer coding. */
function chunkedAnswer(body: string): string {
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
  return `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}`;
}

describe('answers behind a large one at a stopping node', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let link: DelayedLink;
  let node: TestNode;
  let socket: Socket;
  let text: string;
  let isChunked: boolean;

  beforeEach(async () => {
    isChunked = false;
    text = '';
    mesh = new TestMesh();
    target = await startRawEndpoint((endpoint, head) => {
      const large = '.'.repeat(LARGE_BYTES);
      if (!head.includes('/large')) {
        endpoint.write(rawAnswer('small'));
      } else {
        endpoint.write(isChunked ? chunkedAnswer(large) : rawAnswer(large));
      }
    });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n2' })]);
    const owner = await mesh.addNode('n2');
    link = await DelayedLink.start(owner.relayPort, LINK_DELAY_MS);
    mesh.nodes[0] = { ...owner, relayPort: link.port };
    node = await mesh.addNode('n1', LIMITS);
    socket = connect();
  });

  afterEach(() => {
    socket.destroy();
    link.close();
    mesh.close();
    target.close();
  });

  function connect(): Socket {
    const connection = net.connect({ port: node.callerPort, host: '127.0.0.1' });
    connection.on('error', () => undefined);
    return connection;
  }

  function read(): void {
    socket.on('data', (chunk) => (text += chunk.toString('latin1')));
  }

  /** Body bytes received of the large answer, and the number of small answers behind it. */
  function received(): { large: number; small: number } {
    return {
      large: text.split('.').length - 1 - dotsInHeads(),
      small: text.split('small').length - 1,
    };
  }

  function dotsInHeads(): number {
    return text.split('HTTP/1.1').length - 1;
  }

  const complete = { large: LARGE_BYTES, small: 2 };

  it('are complete if the large one is being forwarded when the stop begins', async () => {
    node = await mesh.addNode('n1', { ...LIMITS, stopTimeoutMs: 700 });
    socket.destroy();
    socket = connect();
    read();
    socket.write(REQUESTS);
    await until(() => text.includes('..'));
    await node.proxy.stop();
    expect(received()).to.deep.equal(complete);
  });

  for (const [framing, chunked] of [
    ['with a length', false],
    ['without a length', true],
  ] as const) {
    it(`are complete if the requests arrive after the stop has begun, ${framing}`, async () => {
      isChunked = chunked;
      read();
      const stopped = node.proxy.stop();
      socket.write(REQUESTS);
      await stopped;
      expect(received()).to.deep.equal(complete);
    });
  }

  it('are complete for a caller that reads nothing for most of the stop', async () => {
    socket.write(REQUESTS);
    await until(() => target.heads.length === 3);
    const stopped = node.proxy.stop();
    await delay(READ_DELAY_MS);
    read();
    await stopped;
    expect(received()).to.deep.equal(complete);
  });
});
