/** Nodes, endpoints and callers on loopback sockets for tests of the request path. */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import type { Resource } from '../../src/model/resource.js';
import { resourceSchema } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import type { IdempotencyClaims } from '../../src/proxy/idempotency-claims.js';
import type { ProxyLimits } from '../../src/proxy/proxy-limits.js';
import { RelayTokenIssuer } from '../../src/proxy/relay/relay-token.js';
import type { RequestLog } from '../../src/proxy/request-log.js';
import type { RequestProxy } from '../../src/proxy/request-path.js';
import { createRequestProxy } from '../../src/proxy/request-proxy.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { MemberStatus } from '../../src/wire/message.js';

const HOST = '127.0.0.1';
export const FLEET_KEY = Buffer.from('a key of at least thirty-two bytes');

/** Responds to one raw request; `index` is the one-based number of the request at this endpoint. */
export type RawHandler = (socket: Socket, head: string, index: number) => void;

/** An endpoint that reads and writes raw HTTP messages. */
export interface RawEndpoint {
  readonly port: number;
  /** Request heads in order, without cancellations. */
  readonly heads: string[];
  /** IDs of the requests that were cancelled. */
  readonly cancelled: string[];
  /** Complete requests in order, without cancellations. */
  readonly received: string[];
  close(): void;
}

/**
 * Starts an endpoint that answers cancellations with `cancelOutcome()` after `cancelMs`, or not at all if that is
 * undefined.
 */
export async function startRawEndpoint(
  handle: RawHandler,
  cancelOutcome: () => string | undefined = () => 'unknown',
  cancelMs = 0,
): Promise<RawEndpoint> {
  const heads: string[] = [];
  const cancelled: string[] = [];
  const received: string[] = [];
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
    let pending = '';
    socket.on('data', (chunk) => {
      pending += chunk.toString('latin1');
      for (let end = pending.indexOf('\r\n\r\n'); end >= 0; end = pending.indexOf('\r\n\r\n')) {
        const head = pending.slice(0, end);
        const requestBytes = requestLength(pending, head);
        if (requestBytes === undefined || pending.length < requestBytes) {
          break;
        }
        const cancel = /^POST \/cancel\/(\S+)/.exec(head);
        const request = pending.slice(0, requestBytes);
        pending = pending.slice(requestBytes);
        if (cancel) {
          cancelled.push(cancel[1] ?? '');
          if (cancelMs > 0) {
            setTimeout(() => answerCancel(socket, cancelOutcome()), cancelMs);
          } else {
            answerCancel(socket, cancelOutcome());
          }
        } else {
          received.push(request);
          heads.push(head);
          handle(socket, head, heads.length);
        }
      }
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const close = (): void => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };
  return { port: (server.address() as AddressInfo).port, heads, cancelled, received, close };
}

/** A complete answer with a Content-Length. */
export function rawAnswer(body: string, headers = '', status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`;
}

/** An answer that refuses a request before it has started. */
export function rawRefusal(headers = ''): string {
  return rawAnswer('', `x-not-started: 1\r\n${headers}`, '503 Service Unavailable');
}

/** Length of the first request in `text`, or undefined if its last chunk is missing. */
function requestLength(text: string, head: string): number | undefined {
  if (/transfer-encoding: chunked/i.test(head)) {
    const end = text.indexOf('\r\n0\r\n\r\n', head.length);
    return end < 0 ? undefined : end + 7;
  }
  return head.length + 4 + Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
}

function answerCancel(socket: Socket, outcome: string | undefined): void {
  if (outcome !== undefined) {
    socket.write(rawAnswer(JSON.stringify({ outcome })));
  }
}

export interface TestNode {
  readonly id: string;
  readonly proxy: RequestProxy;
  readonly callerPort: number;
  readonly relayPort: number;
  readonly counters: Map<string, number>;
}

/** Nodes that share one configuration. */
export class TestMesh {
  readonly nodes: TestNode[] = [];
  readonly statuses = new Map<string, MemberStatus>();
  snapshot: Snapshot | undefined;

  configure(resources: readonly unknown[]): void {
    const parsed: Resource[] = resources.map((resource) => resourceSchema.parse(resource));
    this.snapshot = buildSnapshot(NO_SNAPSHOT_VERSION, parsed);
  }

  async addNode(
    id: string,
    limits: Partial<ProxyLimits> = {},
    claims?: IdempotencyClaims,
    requestLog?: RequestLog,
  ): Promise<TestNode> {
    const counters = new Map<string, number>();
    const proxy = createRequestProxy({
      identity: identityOf(id),
      snapshots: { current: () => this.snapshot },
      members: {
        status: (machineId) => this.statuses.get(machineId) ?? 'alive',
        relayAddress: (machineId) => this.relayAddressOf(machineId),
        count: () => this.nodes.length,
        machineIds: () => this.nodes.map((node) => node.id),
      },
      counters: { add: (name, by = 1) => counters.set(name, (counters.get(name) ?? 0) + by) },
      random: seededRandom(7),
      limits: { stopQuietMs: 30, ...limits },
      fleetKey: FLEET_KEY,
      ...(claims && { claims }),
      ...(requestLog && { requestLog }),
      logStateChange: () => undefined,
    });
    const callerPort = await listen(proxy.callerServer);
    const relayPort = await listen(proxy.relayServer);
    const node = { id, proxy, callerPort, relayPort, counters };
    this.nodes.push(node);
    return node;
  }

  /** Issues a valid relay token for the machine. */
  tokenOf(machineId: string): string {
    return new RelayTokenIssuer(FLEET_KEY, machineId).current(Date.now());
  }

  close(): void {
    this.nodes.forEach((node) => node.proxy.abort());
  }

  private relayAddressOf(machineId: string): { address: string; port: number } | undefined {
    const node = this.nodes.find(({ id }) => id === machineId);
    return node && { address: HOST, port: node.relayPort };
  }
}

/** A service `echo` with one route for all paths. */
export function echoService(
  route: Record<string, unknown> = {},
  service: Record<string, unknown> = {},
): unknown[] {
  return [
    { kind: 'service', name: 'echo', spec: service },
    { kind: 'route', name: 'all', spec: { pathPrefix: '/', service: 'echo', ...route } },
  ];
}

/** An endpoint of the service `echo`. */
export function echoEndpoint(
  name: string,
  port: number,
  spec: Record<string, unknown> = {},
): unknown {
  const base = { service: 'echo', address: HOST, port, zone: 'z1', region: 'r1' };
  return {
    kind: 'endpoint',
    name,
    spec: { ...base, slots: 20, maxConnections: 130, ...spec },
  };
}

/** The answer that a caller received. */
export interface CallerResult {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** False if the connection closed before the end of the answer. */
  readonly isWhole: boolean;
}

/** Options of {@link call}. */
export interface CallOptions {
  readonly method?: string;
  readonly path?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  readonly agent?: http.Agent;
}

/** Sends one request. A connection that fails before the response head gives status 0. */
export function call(port: number, options: CallOptions = {}): Promise<CallerResult> {
  return new Promise((resolve) => {
    const request = http.request({
      host: HOST,
      port,
      method: options.method ?? 'GET',
      path: options.path ?? '/',
      headers: options.headers ?? {},
      agent: options.agent ?? false,
    });
    request.on('error', () => resolve({ status: 0, headers: {}, body: '', isWhole: false }));
    request.on('response', (answer) => {
      let body = '';
      answer.setEncoding('latin1');
      answer.on('data', (chunk: string) => {
        body += chunk;
      });
      answer.on('error', () => undefined);
      answer.on('close', () => {
        const { statusCode: status = 0, headers, complete: isWhole } = answer;
        resolve({ status, headers, body, isWhole });
      });
    });
    request.end(options.body);
  });
}

/** Sends raw bytes and resolves with all received data once the connection has closed. */
export function callRaw(port: number, bytes: string, endAfterMs?: number): Promise<string> {
  return new Promise((resolve) => {
    const socket = net.connect(port, HOST);
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
    socket.write(bytes);
    if (endAfterMs !== undefined) {
      setTimeout(() => socket.end(), endAfterMs);
    }
  });
}

/** Returns a port without a listener. */
export async function closedPort(): Promise<number> {
  const server = net.createServer();
  const port = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Polls until `condition` holds, without a limit other than the timeout of the test. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

/** Creates a seeded generator of uniform numbers in [0, 1) (mulberry32). */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

async function listen(server: net.Server): Promise<number> {
  server.listen(0, HOST);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

function identityOf(id: string): PeerIdentity {
  return {
    id,
    incarnation: 1,
    address: HOST,
    controlPort: 1,
    relayPort: 1,
    zone: 'z1',
    region: 'r1',
  };
}
