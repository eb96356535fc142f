/**
 * A small deployment for the cases of this review: a store, back ends and nodes. The nodes are the project's own
 * program, started as separate processes with the command of the deploy file; everything listens on loopback addresses.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { StoreStandIn } from '../../standins/store-platform/store-stand-in.js';

export const HOST = 'h.example';
const GRACE_S = 6;
/** Memory of a machine. */
export const MEMORY_MB = 310;

/** One route of the configuration, as the platform's pages write it. */
export interface RouteText {
  readonly name: string;
  readonly pathPrefix: string;
  readonly kind: string;
  readonly timeoutS: number;
  readonly targetLatencyS: number;
  readonly priority: number;
  readonly maxAttempts: number;
  readonly service?: string;
  readonly weightedTargets?: readonly { readonly service: string; readonly weight: number }[];
}

/** Ports that are the same on each machine. */
export interface Ports {
  readonly inbound: number;
  readonly outbound: number;
  readonly ready: number;
  readonly app: number;
  readonly firstInternal: number;
}

/** What a client got. */
export interface ClientResult {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer arrived in full. */
  readonly isWhole: boolean;
  readonly sentAtMs: number;
  /** When the answer or the connection ended; undefined if the client left before. */
  readonly endedAtMs: number | undefined;
}

export interface ClientCall {
  readonly address: string;
  readonly path: string;
  readonly requestId: string;
  readonly deadlineMs: number;
  readonly method?: string;
  readonly body?: string | Buffer;
  readonly agent?: http.Agent;
  readonly headers?: http.OutgoingHttpHeaders;
  /** When the client leaves if it has no final answer; its deadline if absent. */
  readonly leaveAfterMs?: number;
}

/** Milliseconds of the process's own clock. */
export function nowMs(): number {
  return performance.now();
}

export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Resolves with whether the condition held within `maxMs`. */
export async function until(
  condition: () => boolean | Promise<boolean>,
  maxMs: number,
): Promise<boolean> {
  const endMs = nowMs() + maxMs;
  while (nowMs() < endMs) {
    if (await condition()) {
      return true;
    }
    await pause(20);
  }
  return false;
}

/** Writes lines to `record.txt` in the folder of the case. */
export class CaseRecord {
  private readonly startedAtMs = nowMs();

  constructor(private readonly path: string) {
    writeFileSync(path, '');
  }

  line(text: string): void {
    const seconds = ((nowMs() - this.startedAtMs) / 1_000).toFixed(3);
    appendFileSync(this.path, `${seconds} ${text}\n`);
  }
}

/** A free port on the address. */
async function freePort(address: string): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, address, resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Ports that are free on every address. */
export async function freePorts(addresses: readonly string[]): Promise<Ports> {
  for (let tries = 0; tries < 50; tries += 1) {
    const first = await freePort(addresses[0] ?? '127.0.0.1');
    const ports = Array.from({ length: 24 }, (_, index) => first + index);
    if (first < 65_000 && (await areFree(addresses, ports))) {
      return {
        inbound: first,
        outbound: first + 1,
        ready: first + 2,
        app: first + 3,
        firstInternal: first + 4,
      };
    }
  }
  throw new Error('no free ports');
}

async function areFree(addresses: readonly string[], ports: readonly number[]): Promise<boolean> {
  for (const address of addresses) {
    for (const port of ports) {
      const server = net.createServer();
      const isFree = await new Promise<boolean>((resolve) => {
        server.once('error', () => resolve(false));
        server.listen(port, address, () => resolve(true));
      });
      if (!isFree) {
        return false;
      }
      await new Promise((resolve) => server.close(resolve));
    }
  }
  return true;
}

/** The command of the deploy file's role. */
function roleCommand(): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) {
    throw new Error('the deploy file names no command');
  }
  return command.split(' ');
}

/** One machine: the address of its node and of its back end. */
export interface Machine {
  readonly address: string;
  readonly service: string;
  readonly zone: string;
}

/** The store, and the nodes that run. */
export class Fleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'ferryspool-review-'));
  private readonly processes = new Map<string, ChildProcess>();
  private version = 1;

  private constructor(
    readonly store: StoreStandIn,
    readonly ports: Ports,
    readonly record: CaseRecord,
  ) {}

  static async start(addresses: readonly string[], record: CaseRecord): Promise<Fleet> {
    const fleet = new Fleet(await StoreStandIn.start(), await freePorts(addresses), record);
    process.once('exit', () => fleet.close());
    // The case runs too long.
    process.once('SIGTERM', () => process.exit(2));
    return fleet;
  }

  /** Writes a configuration of the next version; the store's taking it is its acknowledgement. */
  configure(routes: readonly RouteText[], services: readonly string[]): void {
    this.version += 3;
    const version = this.version.toString(16).padStart(8, '0');
    this.store.put('op/config', {
      version,
      services: services.map((name) => ({
        name,
        healthCheckPath: '/health',
        maxConnections: 120,
        protocol: 'h1',
        tls: false,
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 67_108_864,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
      },
      virtualHosts: [{ hostname: HOST, paths: routes }],
    });
    this.record.line(`configuration ${version} is acknowledged`);
  }

  /** Writes a back end's entry. */
  announce(
    { address, service, zone }: Machine,
    id: string,
    slots: number,
    state = 'ready',
    sequence = 1,
  ): void {
    this.store.put(`servers/${id}`, {
      address: `${address}:${this.ports.app}`,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence, coldRemainingS: 0 },
    });
    this.record.line(`back end ${id} of ${service} at ${address} is announced as ${state}`);
  }

  /** Starts the node of a machine; `ports` differ from the fleet's only where a proxy stands before the node. */
  async startNode(machine: Machine, ports: Ports = this.ports): Promise<ChildProcess> {
    const path = join(this.folder, `${machine.address}.conf`);
    writeFileSync(path, this.settings(machine, ports));
    const [program = '', ...args] = roleCommand();
    const node = spawn(program, args, {
      env: {
        PATH: process.env.PATH ?? '',
        HOME: process.env.HOME ?? '',
        FERRYSPOOL_CONFIG: path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.processes.set(machine.address, node);
    const log = (chunk: Buffer): void => {
      for (const line of chunk.toString('utf8').trimEnd().split('\n')) {
        this.record.line(`node ${machine.address} writes ${line}`);
      }
    };
    node.stdout.on('data', log);
    node.stderr.on('data', log);
    node.once('exit', (code, signal) => {
      this.record.line(`node ${machine.address} ended: code ${code}, signal ${signal}`);
    });
    const isReady = await until(() => this.isReady(machine.address, ports.ready), 15_000);
    if (!isReady) {
      throw new Error(`node ${machine.address} does not get ready`);
    }
    return node;
  }

  isReady(address: string, port = this.ports.ready): Promise<boolean> {
    return new Promise((resolve) => {
      const request = http.get({ host: address, port, path: '/readiness', agent: false });
      request.on('error', () => resolve(false));
      request.on('response', (message) => {
        message.resume();
        resolve(message.statusCode === 200);
      });
    });
  }

  /** Ends everything that was started. */
  close(): void {
    for (const node of this.processes.values()) {
      if (node.exitCode === null && node.signalCode === null) {
        node.kill('SIGCONT');
        node.kill('SIGKILL');
      }
    }
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private settings({ address, service, zone }: Machine, ports: Ports): string {
    return [
      `self.nodeName=sidecar-${address}`,
      'self.role=sidecar',
      'self.machineClass=sidecar',
      'self.serves=sidecar',
      `self.ip=${address}`,
      `self.zone=${zone}`,
      'self.region=r1',
      'self.countsTowardTolerance=false',
      'self.isFirstStart=true',
      'self.limits.cpuShare=0.54',
      'self.limits.cpuCores=1',
      `self.limits.memoryMb=${MEMORY_MB}`,
      'self.limits.maxFds=4100',
      'self.limits.linkMbps=1000.0',
      'self.limits.diskMb=0',
      `self.appAddr=${address}:${ports.app}`,
      `self.service=${service}`,
      `network.listenAddrs.inbound=${address}:${ports.inbound}`,
      `network.listenAddrs.outbound=${address}:${ports.outbound}`,
      `network.listenAddrs.ready=${address}:${ports.ready}`,
      `network.internalPortRange=${ports.firstInternal},${ports.firstInternal + 15}`,
      'network.seeds=',
      `network.zones.${zone}=r1`,
      'platform.discovery=platform',
      'platform.entryMode=local',
      'platform.heartbeatS=1.5',
      `platform.platform.address=127.0.0.1:${this.store.port}`,
      'platform.platform.form=read',
      'platform.platform.writesPerS=400',
      'platform.platform.readsPerS=2000',
      'platform.platform.historyS=20',
      'platform.platform.valueBytes=1048576',
      'platform.platform.minTtlS=1',
      'terms.contracts=base,drain,config,cost,retry,recover,platform',
      'terms.faultTolerance.machines=1',
      'terms.faultTolerance.zones=0',
      'terms.faultTolerance.regions=0',
      'terms.bounds.seedLagS=3',
      'terms.bounds.addrReuseS=2',
      'terms.bounds.contactS=3',
      'terms.bounds.ackTimeoutS=4',
      'terms.bounds.catchUpS=4',
      'terms.bounds.drainS=2',
      `terms.bounds.graceS=${GRACE_S}`,
      'terms.bounds.lossSlackS=0.2',
      'terms.bounds.configApplyS=2',
      'terms.bounds.rollbackSlackS=0.25',
      'terms.bounds.maxSkewS=5',
      'terms.bounds.retryBudgetRatio=0.2',
      'terms.bounds.budgetWindowS=10',
      'terms.bounds.budgetMinRetries=60',
      'terms.bounds.recoveryS=15',
      '',
    ].join('\n');
  }
}

/** One request of a client to the node of its machine. */
export function callNode(fleet: Fleet, call: ClientCall): Promise<ClientResult> {
  const { address, path, requestId, deadlineMs, method = 'GET', body = '', agent } = call;
  const sentAtMs = nowMs();
  return new Promise((resolve) => {
    const request = http.request({
      host: address,
      port: fleet.ports.outbound,
      path,
      method,
      agent: agent ?? false,
      headers: {
        Host: HOST,
        'Request-Id': requestId,
        'Deadline-Ms': String(deadlineMs),
        ...(method !== 'GET' && { 'Content-Length': Buffer.byteLength(body) }),
        ...call.headers,
      },
    });
    const unended = { status: 0, headers: {}, body: '', isWhole: false, sentAtMs };
    let hasLeft = false;
    const leave = setTimeout(() => {
      hasLeft = true;
      request.destroy();
    }, call.leaveAfterMs ?? deadlineMs);
    const settle = (result: Omit<ClientResult, 'endedAtMs'>): void => {
      clearTimeout(leave);
      resolve({ ...result, endedAtMs: hasLeft ? undefined : nowMs() });
    };
    request.on('error', () => settle(unended));
    request.on('response', (message) => {
      const chunks: Buffer[] = [];
      message.on('data', (chunk: Buffer) => chunks.push(chunk));
      message.on('error', () => undefined);
      message.on('close', () => {
        settle({
          status: message.statusCode ?? 0,
          headers: message.headers,
          body: Buffer.concat(chunks).toString('latin1'),
          isWhole: message.complete,
          sentAtMs,
        });
      });
    });
    request.end(body);
  });
}

/** Runs a case and ends the process with its exit code; 2 if it could not run. */
export function runCase(play: () => Promise<number>): void {
  process.once('uncaughtException', endUnplayed);
  play().then((code) => process.exit(code), endUnplayed);
}

function endUnplayed(error: unknown): void {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
  process.exit(2);
}
