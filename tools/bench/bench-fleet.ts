/**
 * Three nodes as real processes of the bundled program, and a store that lists a fleet of any size: the
 * other machines are entries alone, in zones of their own, so that no node waits for any of them.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { LifeCycle } from '../../src/runtime/life-cycle.js';
import { answer, BackendStandIn } from '../../standins/store-platform/backend-stand-in.js';
import { StoreStandIn } from '../../standins/store-platform/store-stand-in.js';
import { threadTimesMs } from './processor-time.js';

/** Nodes that are processes. */
export const REAL_NODES = 3;
/** The node whose callers are served, and the one beside the back end. */
export const SENDER = 0;
export const RECEIVER = 1;
const PORTS = { relay: 21_900, ready: 21_902, caller: 21_904, backend: 21_901, internal: 21_920 };
const HOST = 'bench.example';
const ZONES = 6;
const SLOTS = 8;
const DEADLINE_MS = 2_000;
const POLL_MS = 20;
const OK_STATUS = 200;
/** What the deployment starts: the engine's flags stand between the two. */
const DEPLOY_FILE = 'deploy/system.toml';
const RUN_LINE = /^run = "node (.*) target\/start\.cjs"$/m;

/** What the store lists. */
export interface FleetSize {
  readonly endpoints: number;
  readonly routes: number;
}

/** The fleet; `close` ends all that was started. */
export class BenchFleet {
  private readonly lifeCycle = new LifeCycle();
  private readonly nodes: ChildProcess[] = [];
  private readonly agent = new http.Agent({ keepAlive: true });
  private readonly folder = mkdtempSync(join(tmpdir(), 'ferryspool-bench-'));
  private version = 0;
  private sequence = 0;
  private requests = 0;

  private constructor(
    private readonly store: StoreStandIn,
    private readonly network: string,
    private readonly program: string,
    private readonly size: FleetSize,
  ) {
    this.lifeCycle.own('folder', this.folder, (one) => rmSync(one, { recursive: true }));
    this.lifeCycle.own('store', store, (one) => one.close());
    this.lifeCycle.own('nodes', this.nodes, (nodes) => nodes.forEach((one) => one.kill('SIGKILL')));
    this.lifeCycle.own('callers', this.agent, (one) => one.destroy());
  }

  /** `program` is the bundle's first file; resolves once a relayed request was served. */
  static async start(network: string, program: string, size: FleetSize): Promise<BenchFleet> {
    const store = await StoreStandIn.start(`${network}.250`);
    const fleet = new BenchFleet(store, network, program, size);
    try {
      await fleet.open();
    } catch (err) {
      await fleet.close();
      throw err;
    }
    return fleet;
  }

  close(): Promise<void> {
    return this.lifeCycle.close();
  }

  /** Processor time of each node so far, in milliseconds. */
  processorMs(): number[] {
    return this.nodes.map(({ pid }) => threadTimesMs(pid ?? 0));
  }

  /** One endpoint that is an entry alone is written anew. */
  changeEndpoint(): void {
    this.sequence += 1;
    this.putEndpoint(REAL_NODES + (this.sequence % (this.size.endpoints - REAL_NODES)));
  }

  /** A configuration that differs in one route. */
  changeConfiguration(): void {
    this.version += 2;
    const paths = Array.from({ length: this.size.routes }, (_, idx) => ({
      name: `r${idx}`,
      pathPrefix: idx === 0 ? '/p/' : `/bench/path/${idx === 1 ? this.version : idx}/`,
      kind: 'safe',
      timeoutS: 2,
      targetLatencyS: 0.5,
      priority: 1,
      maxAttempts: 2,
      service: idx % 2 === 0 ? 'a' : 'b',
    }));
    this.store.put('op/config', {
      version: this.version.toString(16).padStart(8, '0'),
      services: [{ name: 'a' }, { name: 'b' }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutS: 3, idleTimeoutS: 15 },
      virtualHosts: [{ hostname: HOST, paths }],
    });
  }

  /** One request of a caller at the sender, for the back end at the receiver; its status, 0 for none. */
  request(): Promise<number> {
    this.requests += 1;
    return new Promise((resolve) => {
      const request = http.get({
        host: this.addressOf(SENDER),
        port: PORTS.caller,
        path: `/p/${this.requests}`,
        agent: this.agent,
        headers: {
          Host: HOST,
          'Request-Id': `c${this.requests}`,
          'Deadline-Ms': String(DEADLINE_MS),
        },
      });
      request.on('error', () => resolve(0));
      request.on('response', (message) => {
        message.resume();
        message.on('end', () => resolve(message.statusCode ?? 0));
      });
    });
  }

  /** Processor time from the start of a node until it has the configuration, in milliseconds. */
  async measureStart(): Promise<number> {
    const idx = REAL_NODES - 1;
    this.nodes[idx]?.kill('SIGKILL');
    await delay(POLL_MS);
    await this.startNode(idx);
    return this.processorMs()[idx] ?? 0;
  }

  private async open(): Promise<void> {
    this.changeConfiguration();
    for (let idx = 0; idx < this.size.endpoints; idx += 1) {
      this.putEndpoint(idx);
    }
    const backend = await BackendStandIn.start('s1', this.addressOf(RECEIVER), PORTS.backend);
    backend.behaviour = (_request, response, { requestId }) => answer(response, requestId);
    this.lifeCycle.own('back end', backend, (one) => one.close());
    for (let idx = 0; idx < REAL_NODES; idx += 1) {
      await this.startNode(idx);
    }
    while ((await this.request()) !== OK_STATUS) {
      await delay(POLL_MS);
    }
  }

  /** Resolves once the node's log says that a configuration is in force. */
  private startNode(idx: number): Promise<void> {
    const path = join(this.folder, `node-${idx}.conf`);
    writeFileSync(path, this.settingsOf(idx));
    const child = spawn(process.execPath, [...deployedFlags(), this.program], {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, FERRYSPOOL_CONFIG: path },
    });
    this.nodes[idx] = child;
    return new Promise((resolve, reject) => {
      child.stdout.on('data', (chunk: Buffer) => {
        if (chunk.includes('configuration-in-force')) {
          resolve();
        }
      });
      child.once('exit', (code) => reject(new Error(`node ${idx} ended (${code ?? 'signal'})`)));
    });
  }

  private settingsOf(idx: number): string {
    const address = this.addressOf(idx);
    return [
      `self.nodeName=bench-${idx}`,
      `self.ip=${address}`,
      'self.zone=z0',
      'self.region=r1',
      `self.service=${serviceOf(idx)}`,
      `network.listenAddrs.inbound=${address}:${PORTS.relay}`,
      `network.listenAddrs.outbound=${address}:${PORTS.caller}`,
      `network.listenAddrs.ready=${address}:${PORTS.ready}`,
      `network.internalPortRange=${PORTS.internal},${PORTS.internal + 9}`,
      'network.zones.z0=r1',
      `platform.platform.address=${this.network}.250:${this.store.port}`,
      'terms.bounds.graceS=6',
      'terms.bounds.retryBudgetRatio=0.2',
      'terms.bounds.budgetMinRetries=60',
    ].join('\n');
  }

  private putEndpoint(idx: number): void {
    const zone = idx < REAL_NODES ? 0 : 1 + (idx % (ZONES - 1));
    this.store.put(`servers/s${idx}`, {
      address: `${this.addressOf(idx)}:${PORTS.backend}`,
      info: { service: serviceOf(idx), version: 'v1', zone: `z${zone}`, slots: SLOTS },
      status: { state: 'ready', sequence: this.sequence, coldRemainingS: 0 },
    });
  }

  private addressOf(idx: number): string {
    return `${this.network}.${idx + 1}`;
  }
}

function deployedFlags(): readonly string[] {
  const [, flags = ''] = RUN_LINE.exec(readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
  return flags.split(' ').filter((flag) => flag !== '');
}

/** The receiver's back end is the only one of its service. */
function serviceOf(idx: number): string {
  return idx === RECEIVER ? 'a' : 'b';
}
