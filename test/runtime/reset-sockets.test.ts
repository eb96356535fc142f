/**
 * Peers that ask for another use of their connection, or send what is no request, and reset it: no
 * server of a node may leave a socket whose errors nobody takes.
 *
 * Node leaves the socket of an upgrade to its new owner: without a listener for errors, a reset ends the
 * process.
 */
import { once } from 'node:events';
import type { Server } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { ChangeFeed } from '../../src/peers/change-feed.js';
import { createInternalServer } from '../../src/runtime/internal-server.js';
import { Metrics } from '../../src/runtime/metrics.js';
import { createReadinessServer } from '../../src/runtime/readiness-server.js';
import { DeltaCache } from '../../src/peers/delta-codec.js';
import { StoreReplica } from '../../src/store/store-replica.js';
import { openApi } from '../api/api-fixture.js';
import { TestMesh } from '../proxy/rig.js';

const HEAD = 'HTTP/1.1\r\nHost: a\r\n';
/** Connections of each kind: whether the error comes before the socket is let go differs. */
const CONNECTIONS = 20;
const SETTLE_MS = 300;

const openings = [
  { what: 'CONNECT', bytes: `CONNECT a:1 ${HEAD}\r\n` },
  { what: 'CONNECT behind a request', bytes: `GET / ${HEAD}\r\nCONNECT a:1 ${HEAD}\r\n` },
  { what: 'Upgrade', bytes: `GET / ${HEAD}Connection: Upgrade\r\nUpgrade: other\r\n\r\n` },
  { what: 'Expect', bytes: `GET / ${HEAD}Expect: other\r\n\r\n` },
  { what: 'no HTTP', bytes: 'GARBAGE\r\n\r\n' },
  { what: 'a partial head', bytes: `GET / ${HEAD}` },
] as const;

/** A server under test. */
interface Served {
  readonly port: number;
  /** Connections that are open. */
  openCount(): Promise<number>;
  close(): void;
}

function openCountOf(server: Server): Promise<number> {
  return new Promise((resolve) => server.getConnections((_err, count) => resolve(count)));
}

async function listening(server: Server): Promise<Served> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    openCount: () => openCountOf(server),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function callers(): Promise<Served> {
  const mesh = new TestMesh();
  const { callerPort: port, proxy } = await mesh.addNode('n1');
  return { port, openCount: () => openCountOf(proxy.callerServer), close: () => mesh.close() };
}

async function relay(): Promise<Served> {
  const mesh = new TestMesh();
  const { relayPort: port, proxy } = await mesh.addNode('n1');
  return { port, openCount: () => openCountOf(proxy.relayServer), close: () => mesh.close() };
}

async function admin(): Promise<Served> {
  const { server } = await openApi({});
  return { port: server.port, openCount: () => Promise.resolve(0), close: () => server.abort() };
}

function internal(): Promise<Served> {
  const replica = new StoreReplica();
  const deltas = new DeltaCache(replica);
  const feed = new ChangeFeed({ replica, deltas, freshness: () => ({ ageMs: 0 }) as never });
  const suspicions = { report: () => [], release: () => false };
  return listening(createInternalServer({ metrics: new Metrics(), deltas, feed, suspicions }));
}

const servers = [
  { name: 'callers', open: callers },
  { name: 'the relay', open: relay },
  { name: 'the admin API', open: admin },
  { name: 'readiness', open: () => listening(createReadinessServer(() => true)) },
  { name: 'metrics and peers', open: internal },
];

/** Opens a connection, sends, and resets it at `delayMs`. */
async function sendAndReset(port: number, bytes: string, delayMs: number): Promise<void> {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.write(bytes);
  await new Promise((resolve) => setTimeout(resolve, delayMs));
  socket.resetAndDestroy();
}

describe('a reset of a connection', () => {
  for (const { name, open } of servers) {
    for (const { what, bytes } of openings) {
      it(`after ${what} does no harm to the server of ${name}`, async () => {
        const uncaught: unknown[] = [];
        const take = (err: unknown): unknown => uncaught.push(err);
        const others = process.listeners('uncaughtException');
        process.removeAllListeners('uncaughtException');
        process.on('uncaughtException', take);
        const served = await open();
        try {
          const sent = Array.from({ length: CONNECTIONS }, (_, at) =>
            sendAndReset(served.port, bytes, at % 5),
          );
          await Promise.all(sent);
          await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
          expect(uncaught).to.deep.equal([]);
          expect(await served.openCount()).to.equal(0);
        } finally {
          served.close();
          process.off('uncaughtException', take);
          others.forEach((listener) => process.on('uncaughtException', listener));
        }
      });
    }
  }
});
