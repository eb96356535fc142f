/** Guards against finished answers that are cut at the end of a stop behind a large one that is fetched slowly. */
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
/** Each way between the nodes, in milliseconds. */
const LINK_DELAY_MS = 150;
/** A round trip, and one more for the request itself, fit into the stop several times, in milliseconds. */
const LIMITS = {
  stopNoticeMs: 100,
  stopAcceptMs: 700,
  stopTimeoutMs: 1_400,
  stopAnswerMs: 250,
  stopQuietMs: 30,
};
/** A caller that reads late begins within the stop, in milliseconds. */
const READS_LATE_MS = 1_000;
const REQUESTS = ['/large', '/small', '/small']
  .map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`)
  .join('');

/** An answer whose end is told by its last chunk. */
function chunkedAnswer(body: string): string {
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
  return `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}`;
}

describe('answers behind a large one, at a node that stops', () => {
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
    const beside = await mesh.addNode('n2');
    link = await DelayedLink.start(beside.relayPort, LINK_DELAY_MS);
    mesh.nodes[0] = { ...beside, relayPort: link.port };
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

  /** Bytes of the large answer, without the sizes of its chunks, and the small ones behind it. */
  function received(): { large: number; small: number } {
    return {
      large: text.split('.').length - 1 - dotsOfHeads(),
      small: text.split('small').length - 1,
    };
  }

  function dotsOfHeads(): number {
    return text.split('HTTP/1.1').length - 1;
  }

  const whole = { large: LARGE_BYTES, small: 2 };

  it('come whole where the large one is on its way as the stop begins', async () => {
    node = await mesh.addNode('n1', { ...LIMITS, stopTimeoutMs: 700 });
    socket.destroy();
    socket = connect();
    read();
    socket.write(REQUESTS);
    await until(() => text.includes('..'));
    await node.proxy.stop();
    expect(received()).to.deep.equal(whole);
  });

  for (const [framing, chunked] of [
    ['with a length', false],
    ['without a length', true],
  ] as const) {
    it(`come whole where the requests come after the stop began, ${framing}`, async () => {
      isChunked = chunked;
      read();
      const stopped = node.proxy.stop();
      socket.write(REQUESTS);
      await stopped;
      expect(received()).to.deep.equal(whole);
    });
  }

  it('come whole to a caller that reads nothing for most of the stop', async () => {
    socket.write(REQUESTS);
    await until(() => target.heads.length === 3);
    const stopped = node.proxy.stop();
    await delay(READS_LATE_MS);
    read();
    await stopped;
    expect(received()).to.deep.equal(whole);
  });
});
