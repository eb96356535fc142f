/** The proxy of a soak: passes bytes, delays them, holds them back one way or both, resets. */
import { once } from 'node:events';
import net, { type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { LinkProxy } from '../../tools/soak/link-proxy.js';

const PLACE = { address: '127.0.9.1', port: 23_100 };
const SHORT_MS = 60;
/** Time after which bytes are taken for lost. */
const PATIENCE_MS = 1_000;

/** Resolves once the socket is closed, by an error or not. */
function closed(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    if (socket.closed) {
      resolve();
    } else {
      socket.once('close', () => resolve());
    }
  });
}

describe('the proxy of a link', () => {
  let server: Server;
  let proxy: LinkProxy;
  let client: Socket;
  let received = '';

  beforeEach(async () => {
    received = '';
    server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.pipe(socket);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    proxy = await LinkProxy.start(PLACE, { address: '127.0.0.1', port });
    client = await connect();
  });

  afterEach(() => {
    client.destroy();
    proxy.close();
    server.close();
  });

  function dial(): Socket {
    const socket = net.connect(PLACE.port, PLACE.address);
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    return socket;
  }

  async function connect(): Promise<Socket> {
    const socket = dial();
    await once(socket, 'connect');
    return socket;
  }

  async function untilReceived(text: string): Promise<void> {
    const untilMs = performance.now() + PATIENCE_MS;
    while (received !== text && performance.now() < untilMs) {
      await delay(1);
    }
    expect(received).to.equal(text);
  }

  it('passes bytes both ways', async () => {
    client.write('a');
    await untilReceived('a');
  });

  it('passes them late when it delays', async () => {
    proxy.set('delay', SHORT_MS);
    const sentAtMs = performance.now();
    client.write('a');
    await untilReceived('a');
    expect(performance.now() - sentAtMs).to.be.at.least(2 * SHORT_MS - 5);
  });

  for (const state of ['silence', 'one-way'] as const) {
    it(`holds bytes back in ${state}, and passes them once it is healed`, async () => {
      client.write('a');
      await untilReceived('a');
      proxy.set(state);
      client.write('b');
      await delay(SHORT_MS);
      expect(received).to.equal('a');
      proxy.set('open');
      await untilReceived('ab');
    });
  }

  it('resets connections and new ones when it refuses', async () => {
    proxy.set('refuse');
    await closed(client);
    await closed(dial());
    proxy.set('open');
    client = await connect();
    client.write('c');
    await untilReceived('c');
  });
});
