/** An admin server with a configuration set by the test, and a client for it. */
import { Containment } from '../../src/containment/containment.js';
import { request, type IncomingHttpHeaders } from 'node:http';
import { connect } from 'node:net';
import { AdminServer } from '../../src/api/admin-server.js';
import type { ConfigurationView, SnapshotListener } from '../../src/api/configuration-view.js';
import type { ListenerTimeouts } from '../../src/api/listener-limits.js';
import type { NodeStatus } from '../../src/api/node-status.js';
import type { WriteOutcome, WriteRequest } from '../../src/api/write-port.js';
import { resourceSchema, type Resource } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import { NO_VERSION } from '../../src/model/version.js';
import { createLogger } from '../../src/runtime/logger.js';
import { Metrics } from '../../src/runtime/metrics.js';
import { parseSettings } from '../../src/settings/load-settings.js';

export const FLEET_KEY = '0123456789abcdef';
export const ADMIN_TOKEN = 'token-token-token';
export const SECRET_VALUE = 'hunter2-hunter2';

export const serviceOf = (name: string, requestTimeoutMs = 1_000): Resource =>
  resourceSchema.parse({ kind: 'service', name, spec: { requestTimeoutMs } });
export const secretOf = (name: string, value = SECRET_VALUE): Resource =>
  resourceSchema.parse({ kind: 'secret', name, spec: { value } });
export const routeOf = (name: string, service: string): Resource =>
  resourceSchema.parse({ kind: 'route', name, spec: { pathPrefix: '/', service } });

/** A snapshot with source version `number`. */
export function snapshotOf(number: number, resources: readonly Resource[]): Snapshot {
  const source = { number, digest: number.toString(16).padStart(32, '0') };
  return buildSnapshot({ source, operator: NO_VERSION }, resources);
}

/** A view whose snapshot is set by the test. */
export class SettableView implements ConfigurationView {
  private snapshot = buildSnapshot(NO_SNAPSHOT_VERSION, []);
  private readonly listeners = new Set<SnapshotListener>();

  current(): Snapshot {
    return this.snapshot;
  }

  subscribe(listener: SnapshotListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Sets a snapshot with source version `number`. */
  set(number: number, ...resources: Resource[]): void {
    this.snapshot = snapshotOf(number, resources);
    this.listeners.forEach((listener) => listener(this.snapshot));
  }
}

/** Digest of every version in {@link STATUS}. */
export const STATUS_DIGEST = 'e'.repeat(32);
const HELD = { number: 4, digest: STATUS_DIGEST };

export const STATUS: NodeStatus = {
  node: {
    id: 'm1',
    incarnation: 1,
    address: '127.0.0.1',
    controlPort: 1,
    relayPort: 2,
    zone: 'a',
    region: 'r',
  },
  uptimeMs: 1,
  held: { source: HELD, operator: NO_VERSION, machines: HELD },
  source: {
    isReader: false,
    isStale: false,
    rejected: { version: { number: 9, digest: STATUS_DIGEST }, reason: 'route/r: dangling' },
  },
  suspended: [],
  members: [
    {
      member: {
        ...{ id: 'm2', incarnation: 1, address: '127.0.0.2', controlPort: 1, relayPort: 2 },
        ...{ zone: 'a', region: 'r' },
      },
      status: 'alive',
      held: { source: HELD, operator: NO_VERSION, machines: HELD },
    },
  ],
  endpoints: [
    {
      ...{ name: 'e1', service: 'tiles', state: 'ready', inFlight: 1, queued: 2 },
      rateLimit: { maxRatePerS: 3.3, recentlySent: 12, refused: 30 },
    },
  ],
  convergence: { neighbours: 0, neighboursAtHeldVersions: 0 },
};

/** An open admin server and the parts that the test controls. */
export interface ApiFixture {
  readonly server: AdminServer;
  readonly view: SettableView;
  readonly metrics: Metrics;
  readonly logLines: string[];
  /** Writes submitted to the port; `answer` returns their outcomes. */
  readonly writes: WriteRequest[];
  readonly suspicions: Containment;
  answer: (request: WriteRequest) => Promise<WriteOutcome>;
}

function createContainment(): Containment {
  return new Containment({
    nodeName: 'm1',
    callerHeader: undefined,
    nowMs: () => 1_000,
    counters: { add: () => undefined },
    logStateChange: () => undefined,
  });
}

/** Opens a server on a free port of the loopback address. */
export async function openApi(options: {
  readonly adminToken?: string;
  readonly api?: Record<string, number>;
  readonly timeouts?: Partial<ListenerTimeouts>;
}): Promise<ApiFixture> {
  const { timeouts = {}, ...overrides } = options;
  const settings = parseSettings('test', {
    machine: { id: 'm1', address: '127.0.0.1', zone: 'a', region: 'r' },
    ports: { admin: 0 },
    fleetKey: FLEET_KEY,
    ...overrides,
  });
  const view = new SettableView();
  const metrics = new Metrics();
  const logLines: string[] = [];
  const writes: WriteRequest[] = [];
  const suspicions = createContainment();
  const fixture: Omit<ApiFixture, 'server'> = {
    view,
    metrics,
    logLines,
    writes,
    suspicions,
    answer: () => Promise.resolve({ outcome: 'accepted', operatorRevision: 1 }),
  };
  const server = await AdminServer.open({
    settings,
    view,
    status: () => STATUS,
    suspicions,
    metrics,
    timeouts,
    logger: createLogger('info', {}, { write: (line) => logLines.push(line) }),
    writePort: {
      submitWrite: (write) => {
        writes.push(write);
        return fixture.answer(write);
      },
    },
  });
  return Object.assign(fixture, { server });
}

export interface ApiAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly body: Record<string, unknown>;
}

/** Sends one request on its own connection. */
export function call(
  { server }: ApiFixture,
  method: string,
  path: string,
  headers: Record<string, string> = {},
  body?: string,
): Promise<ApiAnswer> {
  const target = { host: '127.0.0.1', port: server.port, method, path, headers, agent: false };
  return new Promise((resolve, reject) => {
    const clientRequest = request(target, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('error', reject);
      response.on('end', () => {
        const isJson = response.headers['content-type']?.startsWith('application/json') ?? false;
        const parsed = isJson && text !== '' ? (JSON.parse(text) as ApiAnswer['body']) : {};
        const { statusCode: status = 0, headers: received } = response;
        resolve({ status, headers: received, text, body: parsed });
      });
    });
    clientRequest.on('error', reject);
    clientRequest.end(body);
  });
}

/** Sends raw bytes, and ends the connection if `ends`; resolves with all data received. */
export function callRaw({ server }: ApiFixture, bytes: string, ends = false): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(server.port, '127.0.0.1', () => {
      socket.write(bytes);
      if (ends) {
        socket.end();
      }
    });
    socket.setEncoding('utf8');
    socket.on('data', (chunk: string) => (text += chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
  });
}
