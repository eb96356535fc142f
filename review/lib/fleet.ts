/** A small deployment: a store, back ends, a node beside each, and clients on every machine. */
import { mkdtempSync, rmSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backend } from './backend.js';
import { Client, type RequestRecord } from './client.js';
import { NodeProcess, PORTS } from './node-process.js';
import { Store } from './store.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const HOST = 'mesh.example';
const STORE_PORT = 23_309;
const SLOTS = 9;
const TIMEOUT_S = 1.5;
const READY_TIMEOUT_MS = 20_000;
/** Time after the start until the nodes know each other, in milliseconds. */
const SETTLE_MS = 3_500;
const MS_PER_SECOND = 1_000;

export interface ServiceOptions {
  /** Also names its route. */
  readonly name: string;
  readonly kind: 'safe' | 'unsafe';
  readonly machines: number;
  readonly workMs: () => number;
  /** Time-out of its route, in seconds; 1.5 when absent. */
  readonly timeoutS?: number;
  readonly slots?: number;
  /** See {@link BackendOptions}. */
  readonly bodyBytes?: number;
  readonly sendsEarly?: boolean;
}

export class Fleet {
  readonly nodes: NodeProcess[] = [];
  readonly backends: Backend[] = [];
  private readonly clients: Client[] = [];
  readonly store: Store;
  private readonly folder = mkdtempSync(join(tmpdir(), 'ferryspool-review-'));
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(
    private readonly services: readonly ServiceOptions[],
    private readonly staleLagMs = 0,
    private readonly deadlineMs?: number,
  ) {
    this.store = new Store(staleLagMs);
  }

  async start(): Promise<void> {
    const network = await freeNetwork();
    const storeAddress = `${network}.200`;
    await this.store.listen(storeAddress, STORE_PORT);
    this.store.put('op/config', this.configuration());
    for (const service of this.services) {
      for (let copy = 0; copy < service.machines; copy += 1) {
        await this.addMachine(service, copy, network, `${storeAddress}:${STORE_PORT}`);
      }
    }
    await sleep(this.staleLagMs);
    this.nodes.forEach((node) => node.start());
    await this.whenReady();
    await sleep(SETTLE_MS);
  }

  /** Sends `ratePerS` requests a second at every machine, in turn to each service. */
  startLoad(ratePerS: number): void {
    this.clients.forEach((client, offset) => {
      let sent = offset;
      const sendNext = (): void => {
        const service = this.services[sent % this.services.length];
        sent += 1;
        if (service?.kind === 'safe') {
          client.send('GET', `/${service.name}/1`);
        } else if (service !== undefined) {
          client.send('POST', `/${service.name}/1`, 'order');
        }
      };
      this.timers.push(setInterval(sendNext, MS_PER_SECOND / ratePerS));
    });
  }

  stopLoad(): void {
    this.timers.forEach((timer) => clearInterval(timer));
  }

  get records(): RequestRecord[] {
    return this.clients.flatMap(({ records }) => records);
  }

  /** The back ends that ran each request, by its id. */
  get runners(): Map<string, string[]> {
    const runners = new Map<string, string[]>();
    for (const { options, runs } of this.backends) {
      runs.forEach(({ id }) => runners.set(id, [...(runners.get(id) ?? []), options.id]));
    }
    return runners;
  }

  /** One line for each request: what was sent, answered and run. Times are since `fromMs`. */
  describe(fromMs: number): string[] {
    const { runners } = this;
    return this.records.map((record) => {
      const { id, method, path, node, sentAtMs, endedAtMs = 0, end = 'open', status = '' } = record;
      const sent = `${sentAtMs - fromMs} ms: ${method} ${path} ${id} at ${node}`;
      const ran = runners.get(id)?.join(', ') ?? 'nobody';
      return `${sent}, ${end} ${status} after ${endedAtMs - sentAtMs} ms, run by ${ran}`;
    });
  }

  end(): void {
    this.stopLoad();
    this.nodes.forEach((node) => node.end());
    this.clients.forEach((client) => client.close());
    this.backends.forEach((backend) => backend.close());
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async addMachine(
    { name, workMs, slots = SLOTS, bodyBytes, sendsEarly }: ServiceOptions,
    copy: number,
    network: string,
    store: string,
  ): Promise<void> {
    const number = this.nodes.length + 1;
    const ip = `${network}.${number}`;
    const zone = ZONES[copy % ZONES.length] ?? '';
    const id = `i-${name}-${copy}`;
    const place = { address: ip, port: PORTS.app, zone };
    const work = { slots, workMs, bodyBytes, sendsEarly };
    const backend = new Backend({ id, service: name, ...place, ...work });
    await backend.start(this.store);
    this.backends.push(backend);
    const { folder } = this;
    const settings = { ip, zone, zones: ZONES, service: name, store, folder };
    this.nodes.push(new NodeProcess({ name: `m${number}`, ...settings }));
    this.clients.push(new Client(ip, HOST, this.deadlineMs));
  }

  private configuration(): object {
    const services = this.services.map(({ name }) => ({
      name,
      healthCheckPath: '/health',
      maxConnections: 120,
      protocol: 'h1',
      tls: false,
    }));
    const paths = this.services.map(({ name, kind, timeoutS = TIMEOUT_S }) => ({
      name: `r-${name}`,
      pathPrefix: `/${name}/`,
      kind,
      timeoutS,
      targetLatencyS: 0.5,
      priority: 1,
      service: name,
      maxAttempts: 2,
    }));
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864 };
    return {
      version: '00000005',
      services,
      limits: { ...limits, headerTimeoutS: 3, idleTimeoutS: 15 },
      baseVersion: '00000001',
      virtualHosts: [{ hostname: HOST, paths }],
    };
  }

  private async whenReady(): Promise<void> {
    const untilMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < untilMs) {
      const ready = await Promise.all(this.nodes.map((node) => node.isReady()));
      if (ready.every((isReady) => isReady)) {
        return;
      }
      await sleep(100);
    }
    throw new Error('the nodes did not get ready in time');
  }
}

/** The first three numbers of loopback addresses that are free. */
async function freeNetwork(): Promise<string> {
  for (let tries = 0; tries < 100; tries += 1) {
    const [second, third] = [20 + drawn(200), 1 + drawn(200)];
    const network = `127.${second}.${third}`;
    if (await isFree(`${network}.200`)) {
      return network;
    }
  }
  throw new Error('no loopback network is free');
}

function drawn(bound: number): number {
  return Math.floor(Math.random() * bound);
}

function isFree(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(STORE_PORT, address, () => server.close(() => resolve(true)));
  });
}
