/** Guards against requests that count as cut by a node though their caller closed the connection. */
import { once } from 'node:events';
import net, { type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { PipelinedConnection } from '../../tools/soak/pipelined-connection.js';
import type { SoakCall } from '../../tools/soak/soak-record.js';

const DEADLINE_MS = 100;
const LATER_DEADLINE_MS = 60_000;
const COMMON = { machine: 0, life: 1, addedBy: undefined, timeoutMs: 60_000, host: 'h' };

describe('a caller whose oldest request is not answered in time', () => {
  let server: Server;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    server = net.createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart'));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  it('gives up those behind it itself', async () => {
    const calls: SoakCall[] = [];
    const connection = new PipelinedConnection({
      place: { address: '127.0.0.1', port: (server.address() as AddressInfo).port },
      pace: { pauseMs: 0 },
      nowMs: () => performance.now(),
      onCall: (call) => calls.push(call),
    });
    connection.send({ ...COMMON, id: 'oldest', target: '/1', deadlineMs: DEADLINE_MS });
    connection.send({ ...COMMON, id: 'behind', target: '/2', deadlineMs: LATER_DEADLINE_MS });
    while (calls.length < 2) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    const ends = calls.map(({ id, status, isGivenUp }) => ({ id, status, isGivenUp }));
    expect(ends).to.deep.equal([
      { id: 'oldest', status: 200, isGivenUp: false },
      { id: 'behind', status: 0, isGivenUp: true },
    ]);
    expect(connection.isUsable).to.equal(false);
  });
});
