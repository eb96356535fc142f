/** Guards against a store that sends bytes without end that are no answer. */
import { once } from 'node:events';
import net, { type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { StoreClient } from '../../platform/store-client.js';
import { drip, ENDLESS_FORMS, flood } from '../support/endless-sender.js';

/** Exceeds the time for a whole answer, in milliseconds. */
const MAX_MS = 6_500;
/** Buffers of two loopback sockets, and what is read before a connection is closed, in bytes. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;

describe('an answer of the store without end', function () {
  this.timeout(MAX_MS + 1_000);
  let server: Server;
  let client: StoreClient;
  let sockets: Socket[];
  let send: (socket: Socket) => void;

  beforeEach(async () => {
    sockets = [];
    server = net.createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => socket.destroy());
      socket.once('data', () => send(socket));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    client = new StoreClient({ address: '127.0.0.1', port });
  });

  afterEach(() => {
    client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  async function expectUnavailable(): Promise<void> {
    const startedAtMs = performance.now();
    expect((await client.watch(1, 500, 'current')).outcome).to.equal('unavailable');
    expect(performance.now() - startedAtMs).to.be.lessThan(MAX_MS);
    const sentBytes = sockets.map((socket) => socket.bytesWritten - socket.writableLength);
    expect(sentBytes.reduce((sum, bytes) => sum + bytes, 0)).to.be.lessThan(MAX_SENT_BYTES);
  }

  for (const { form, first, unit } of ENDLESS_FORMS) {
    it(`fails the call, sent fast: ${form}`, async () => {
      send = (socket) => flood(socket, first, unit);
      await expectUnavailable();
    });
  }

  for (const { form, first, unit } of ENDLESS_FORMS) {
    it(`fails the call, sent slowly: ${form}`, async () => {
      send = (socket) => drip(socket, first, unit);
      await expectUnavailable();
    });
  }
});
