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

  for (const state of ['open-silence', 'open-one-way'] as const) {
    it(`silences open connections for good in ${state}, and lets new ones work`, async () => {
      const silent = client;
      proxy.set(state);
      client.write('a');
      client = await connect();
      client.write('b');
      await untilReceived('b');
      proxy.set('open');
      silent.write('c');
      await delay(SHORT_MS);
      expect(received).to.equal('b');
      expect(proxy.silences).to.have.length(1);
      const { sinceMs, firstUseMs = 0, lastUseMs = 0 } = proxy.silences[0] ?? { sinceMs: 0 };
      expect(firstUseMs).to.be.at.least(sinceMs);
      expect(lastUseMs).to.be.greaterThan(firstUseMs);
      silent.destroy();
    });
  }

  it('lets bytes of the dialling side pass in open-one-way', async () => {
    const heard: string[] = [];
    server.on('connection', (socket) => socket.on('data', (bytes) => heard.push(String(bytes))));
    client = await connect();
    proxy.set('open-one-way');
    client.write('a');
    await delay(SHORT_MS);
    expect(heard).to.deep.equal(['a']);
    expect(received).to.equal('');
  });

  it('lets bytes of the dialled side pass in open-other-way, and loses the others', async () => {
    const heard: string[] = [];
    const accepted: Socket[] = [];
    server.on('connection', (socket) => {
      accepted.push(socket);
      socket.on('data', (bytes) => heard.push(String(bytes)));
    });
    client = await connect();
    client.write('a');
    await untilReceived('a');
    proxy.set('open-other-way');
    client.write('b');
    accepted.at(-1)?.write('c');
    await untilReceived('ac');
    await delay(SHORT_MS);
    expect(heard).to.deep.equal(['a']);
  });

  it('tells of a silence which sides are lost, what the dialled side said, and who ended it', async () => {
    const accepted: Socket[] = [];
    server.on('connection', (socket) => accepted.push(socket));
    client = await connect();
    client.write('a');
    await untilReceived('a');
    proxy.set('open-one-way');
    const silence = proxy.silences.find(({ diallerPort }) => diallerPort === client.localPort);
    expect(silence).to.include.keys('sinceMs', 'dialledLostMs');
    expect(silence?.opening).to.equal('a');
    expect(silence).to.not.have.any.keys('diallerLostMs', 'dialledSaidMs', 'dialledEndedMs');
    proxy.set('open-silence');
    expect(silence?.diallerLostMs).to.be.at.least(silence?.dialledLostMs ?? Infinity);
    accepted.at(-1)?.end('d');
    await delay(SHORT_MS);
    expect(silence).to.include.keys('dialledSaidMs', 'dialledEndedMs');
    expect(silence).to.not.have.any.keys('diallerEndedMs');
    client.destroy();
    await delay(SHORT_MS);
    expect(silence).to.include.keys('diallerEndedMs');
    expect(received).to.equal('a');
  });

  for (const way of ['there', 'back', 'both'] as const) {
    it(`holds one connection back (${way}) while others work, and loses nothing`, async () => {
      const slow = client;
      slow.write('a');
      await untilReceived('a');
      const end = proxy.stall({ way, delayMs: Infinity }, 0);
      slow.write('b');
      client = await connect();
      client.write('c');
      await untilReceived('ac');
      await delay(SHORT_MS);
      expect(received).to.equal('ac');
      end?.();
      await untilReceived('acb');
      slow.destroy();
    });
  }

  it('delays one connection, and keeps its bytes in order when that ends', async () => {
    client.write('a');
    await untilReceived('a');
    const sentAtMs = performance.now();
    const end = proxy.stall({ way: 'both', delayMs: SHORT_MS }, 0);
    client.write('b');
    await delay(1);
    end?.();
    client.write('c');
    await untilReceived('abc');
    expect(performance.now() - sentAtMs).to.be.at.least(SHORT_MS - 5);
  });

  it('slows down no connection twice, and none that is closed', async () => {
    const used = client;
    used.write('a');
    await untilReceived('a');
    const end = proxy.stall({ way: 'both', delayMs: Infinity }, 0.99);
    expect(proxy.stall({ way: 'both', delayMs: Infinity }, 0)).to.equal(undefined);
    end?.();
    expect(proxy.stall({ way: 'both', delayMs: Infinity }, 0)).to.not.equal(undefined);
    used.destroy();
    await closed(used);
    await delay(SHORT_MS);
    expect(proxy.stall({ way: 'both', delayMs: Infinity }, 0)).to.equal(undefined);
  });

  it('stays slow when another fault of the link is over', async () => {
    client.write('a');
    await untilReceived('a');
    const end = proxy.stall({ way: 'back', delayMs: Infinity }, 0);
    proxy.set('silence');
    client.write('b');
    proxy.set('open');
    await delay(SHORT_MS);
    expect(received).to.equal('a');
    end?.();
    await untilReceived('ab');
  });

  it('passes so many bytes a second, of all connections together', async () => {
    proxy.setBandwidth(1_000_000);
    const other = await connect();
    const sentAtMs = performance.now();
    client.write('a'.repeat(100_000));
    other.write('b'.repeat(100_000));
    while (received.length < 200_000) {
      await delay(1);
    }
    expect(performance.now() - sentAtMs).to.be.at.least(195);
    other.destroy();
  });

  it('keeps bytes in order when it is healed and when its bound changes', async () => {
    const text = Array.from({ length: 20_000 }, (_, idx) => `${idx},`).join('');
    const third = Math.ceil(text.length / 3);
    proxy.set('delay', SHORT_MS);
    client.write(text.slice(0, third));
    await delay(SHORT_MS / 2);
    proxy.set('open');
    proxy.setBandwidth(1_000_000);
    client.write(text.slice(third, 2 * third));
    await delay(SHORT_MS / 2);
    proxy.setBandwidth(Infinity);
    client.write(text.slice(2 * third));
    await untilReceived(text);
  });

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
