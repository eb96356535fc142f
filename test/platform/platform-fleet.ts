/** Nodes on the platform, each beside its back end on a loopback address of its own, and one store. */
import http from 'node:http';
import { connect, type Socket } from 'node:net';
import { createCallerProtocol } from '../../platform/caller-protocol.js';
import { ENDPOINT_PROTOCOL } from '../../platform/endpoint-protocol.js';
import { createRecordReader } from '../../platform/records.js';
import { StoreClient } from '../../platform/store-client.js';
import { createLogger } from '../../src/runtime/logger.js';
import { StoreNode } from '../../src/runtime/store-node.js';
import { BackendStandIn } from '../../standins/store-platform/backend-stand-in.js';
import { StoreStandIn } from '../../standins/store-platform/store-stand-in.js';

export const CALLER_PORT = 21_304;
const RELAY_PORT = 21_300;
const READY_PORT = 21_302;
const BACKEND_PORT = 21_301;
const FIRST_INTERNAL_PORT = 21_320;
const HOST = 'h.example';
/** The grace time of a planned stop, in milliseconds. */
export const DRAIN_TIMEOUT_MS = 6_000;
/** Requests that a back end of the fleet runs at once. */
export const SLOTS = 4;
/** Requests that a cold back end may get in any second: its own rate times the factor, and some more. */
export const COLD_BOUND = { factor: 1.5, extraRequests: 4 };
/** Test files run in several processes at once: each has a loopback network of its own. */
const NETWORK = `127.${1 + ((process.pid >> 8) % 200)}.${process.pid % 256}`;

/** The loopback address of a machine, by its number from 1. */
export function addressOf(machine: number): string {
  return `${NETWORK}.${machine}`;
}

/** What a route of the tests says besides its name, path and service. */
export interface RouteFields {
  readonly kind?: 'safe' | 'unsafe';
  readonly timeoutS?: number;
  readonly targetLatencyS?: number;
  readonly maxAttempts?: number;
  readonly service?: string;
  readonly pathPrefix?: string;
}

/** One machine. */
export interface FleetMachine {
  readonly address: string;
  readonly zone: string;
  readonly node: StoreNode;
  /** The back end of the moment; see {@link PlatformFleet.restartBackend}. */
  backend: BackendStandIn;
  /** Lines of the node's log. */
  readonly log: string[];
}

/** What a client got. */
export interface ClientResult {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly isWhole: boolean;
}

/** A client's request. */
export interface ClientCall {
  readonly path?: string;
  readonly method?: string;
  readonly deadlineMs?: number;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
  readonly agent?: http.Agent;
  readonly signal?: AbortSignal;
}

/** The machines of one test. */
export class PlatformFleet {
  readonly machines: FleetMachine[] = [];
  private version = 1;
  private requests = 0;
  private restarts = 0;
  /** When the process of each back end's identity was born, in Unix milliseconds. */
  private readonly births = new Map<string, number>();

  private constructor(readonly store: StoreStandIn) {}

  private readonly nodes: StoreNode[] = [];
  /** What services say of back ends that have just started; nothing when absent. */
  coldStart: { readonly coldStartS: number; readonly coldPerS: number } | undefined;

  /** Starts a store with a configuration of one route `/p/` to the service `a`. */
  static async start(route: RouteFields = {}): Promise<PlatformFleet> {
    const fleet = new PlatformFleet(await StoreStandIn.start());
    fleet.configure([route]);
    return fleet;
  }

  /** Writes a configuration with these routes, of the next version. */
  configure(routes: readonly RouteFields[], version = this.version): void {
    this.version = version + 2;
    const paths = routes.map((route, index) => ({
      name: `r${index}`,
      pathPrefix: index === 0 ? '/p/' : `/p${index}/`,
      kind: 'safe',
      timeoutS: 2,
      targetLatencyS: 0.5,
      priority: 1,
      maxAttempts: 2,
      service: 'a',
      ...route,
    }));
    this.store.put('op/config', {
      version: version.toString(16).padStart(8, '0'),
      services: ['a', 'b'].map((name) => ({ name, ...this.coldStart })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutS: 3, idleTimeoutS: 15 },
      virtualHosts: [{ hostname: HOST, paths }],
    });
  }

  /** Starts a machine with a back end of `service`; waits until its node is ready. */
  async addMachine(service = 'a', zone = 'z1'): Promise<FleetMachine> {
    const address = addressOf(this.machines.length + 1);
    const id = `i-${this.machines.length + 1}`;
    const backend = await BackendStandIn.start(id, address, BACKEND_PORT);
    const log: string[] = [];
    const node = this.createNode(address, service, log, zone);
    const machine = { address, zone, node, backend, log };
    this.machines.push(machine);
    await node.open();
    this.announce(machine, service, 'ready');
    return machine;
  }

  /** Starts the machine's back end anew, under an identity of its own, at the same address. */
  async restartBackend(machine: FleetMachine, service = 'a', coldRemainingS = 0): Promise<void> {
    const { id, behaviour } = machine.backend;
    this.restarts += 1;
    machine.backend = await BackendStandIn.start(
      `${id.split('.')[0]}.${this.restarts}`,
      machine.address,
      BACKEND_PORT,
    );
    machine.backend.behaviour = behaviour;
    this.store.remove(`servers/${id}`);
    this.announce(machine, service, 'ready', coldRemainingS);
  }

  /** Starts the machine's back end again under its identity, at its address or at that of `place`. */
  async rebearBackend(machine: FleetMachine, place = machine, service = 'a'): Promise<void> {
    const { id, behaviour } = machine.backend;
    const backend = await BackendStandIn.start(id, place.address, BACKEND_PORT);
    backend.behaviour = behaviour;
    place.backend = backend;
    this.births.set(id, Math.max(Date.now(), (this.births.get(id) ?? 0) + 1));
    this.announce(place, service, 'ready');
  }

  /** A node for a machine that is there; not opened. */
  createNode(address: string, service: string, log: string[], zone = 'z1'): StoreNode {
    const node = new StoreNode({
      settings: {
        machine: { name: address, address, zone, region: 'r1' },
        caller: { address, port: CALLER_PORT },
        relay: { address, port: RELAY_PORT },
        readiness: { address, port: READY_PORT },
        internalPorts: { first: FIRST_INTERNAL_PORT, last: FIRST_INTERNAL_PORT + 5 },
        drainTimeoutMs: DRAIN_TIMEOUT_MS,
        retry: { percent: 20, fleetBurst: 60, windowMs: 10_000 },
      },
      store: new StoreClient({ address: '127.0.0.1', port: this.store.port }),
      readRecord: createRecordReader({
        retryBudgetPercent: 20,
        regionOfZone: () => 'r1',
        coldBound: COLD_BOUND,
      }),
      callerProtocol: createCallerProtocol(service),
      endpointProtocol: ENDPOINT_PROTOCOL,
      logger: createLogger('info', {}, { write: (line) => log.push(line) }),
    });
    this.nodes.push(node);
    return node;
  }

  /** Writes a back end's entry. */
  announce(
    { address, zone, backend }: FleetMachine,
    service: string,
    state: string,
    coldRemainingS = 0,
  ): void {
    const born = this.births.get(backend.id) ?? Date.now();
    this.births.set(backend.id, born);
    this.store.put(`servers/${backend.id}`, {
      born,
      address: `${address}:${BACKEND_PORT}`,
      info: { service, version: 'v1', zone, slots: SLOTS },
      status: { state, sequence: 1, coldRemainingS },
    });
  }

  /** One request of a client on the machine. */
  call({ address }: FleetMachine, options: ClientCall = {}): Promise<ClientResult> {
    this.requests += 1;
    const {
      path = '/p/x',
      method = 'GET',
      deadlineMs = 2_000,
      headers = {},
      body = '',
      agent,
      signal,
    } = options;
    return new Promise((resolve) => {
      const request = http.request({
        host: address,
        port: CALLER_PORT,
        path,
        method,
        headers: {
          Host: HOST,
          'Request-Id': `c${this.requests}`,
          'Deadline-Ms': String(deadlineMs),
          ...(body !== '' && { 'Content-Length': body.length }),
          ...headers,
        },
        agent: agent ?? false,
        ...(signal !== undefined && { signal }),
      });
      request.on('error', () => resolve({ status: 0, headers: {}, body: '', isWhole: false }));
      request.on('response', (message) => {
        let received = '';
        message.on('data', (chunk: Buffer) => {
          received += chunk.toString('latin1');
        });
        message.on('error', () => undefined);
        message.on('close', () => {
          const { statusCode: status = 0, complete: isWhole } = message;
          resolve({ status, headers: message.headers, body: received, isWhole });
        });
      });
      request.end(body);
    });
  }

  /** A client that has sent the head of an upload of `bodyBytes`, and `sentBytes` of its body. */
  beginUpload(machine: FleetMachine, bodyBytes: number, sentBytes: number): Socket {
    const socket = this.connect(machine);
    this.sendUpload(socket, bodyBytes, sentBytes);
    return socket;
  }

  /** The client sends another one, behind those before. */
  sendUpload(socket: Socket, bodyBytes: number, sentBytes: number): void {
    socket.write(this.uploadText(bodyBytes, sentBytes));
  }

  /** The bytes of an upload of `bodyBytes`, of whose body `sentBytes` are there. */
  uploadText(bodyBytes: number, sentBytes: number): string {
    this.requests += 1;
    return (
      `POST /p/x HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: c${this.requests}\r\n` +
      `Deadline-Ms: 9000\r\nContent-Length: ${bodyBytes}\r\n\r\n${'x'.repeat(sentBytes)}`
    );
  }

  /** A client that has sent nothing yet. */
  connect({ address }: FleetMachine): Socket {
    const socket = connect({ host: address, port: CALLER_PORT });
    socket.on('error', () => undefined);
    return socket;
  }

  /** The metrics of the machine's node. */
  async metrics({ address }: FleetMachine): Promise<string> {
    const response = await fetch(`http://${address}:${FIRST_INTERNAL_PORT + 1}/metrics`);
    return response.text();
  }

  /** What the readiness address of the machine answers; 0 when it does not. */
  readiness({ address }: FleetMachine): Promise<number> {
    return new Promise((resolve) => {
      const request = http.get({ host: address, port: READY_PORT, path: '/', agent: false });
      request.on('error', () => resolve(0));
      request.on('response', (message) => {
        message.resume();
        resolve(message.statusCode ?? 0);
      });
    });
  }

  /** Resolves once requests to the path are answered with the status; the test's timeout bounds it. */
  async untilStatus(machine: FleetMachine, status: number, path = '/p/x'): Promise<void> {
    while ((await this.call(machine, { path })).status !== status) {
      await pause(10);
    }
  }

  close(): void {
    this.store.close();
    this.nodes.forEach((node) => node.abort());
    this.machines.forEach(({ backend }) => backend.close());
  }
}

/** Resolves after `delayMs`. */
export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Resolves once the machine's back end has got so many requests; the test's timeout bounds it. */
export async function untilArrivals({ backend }: FleetMachine, count: number): Promise<void> {
  while (backend.arrivals.length < count) {
    await pause(5);
  }
}

/** Everything that the socket receives until it is closed or breaks. */
export async function readWhole(socket: Socket): Promise<string> {
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  await new Promise((resolve) => socket.once('close', resolve));
  return text;
}
