/**
 * The deployment of a soak: a node process and a back end on each machine, one store, and a proxy on
 * each link to a node and from a node to the store. A machine's identity is the address of the proxy
 * in front of its node, so that all that peers say to it passes there.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/control/control-event.js';
import { LifeCycle } from '../../src/runtime/life-cycle.js';
import { StoreStandIn, type StoreEntry } from '../../standins/store-platform/store-stand-in.js';
import { ChildGroup, type Child } from '../shared/child-process.js';
import type { CallingRun } from './backend-calls.js';
import type { WatchedProcess } from './core-watch.js';
import { LinkProxy, type Place } from './link-proxy.js';
import { CALLER_PORT, RELAY_PORT, settingsText, zoneOf } from './node-settings.js';
import { BACKEND_SLOTS, SoakBackend } from './soak-backend.js';
import {
  configurationOf,
  invalidConfigurationOf,
  SOAK_SERVICES,
  workOf,
  type InvalidVariant,
} from './soak-configuration.js';
import type { CallerSilence, SoakArrival, SoakCrash, SoakSilence } from './soak-record.js';

/** The program as it is compiled; the deployed one is bundled, and starts with these arguments. */
const COMPILED_PROGRAM = [new URL('../../platform/main.js', import.meta.url).pathname];
const DEPLOYED_PROGRAM = ['--no-memory-reducer', 'target/start.cjs'];
const BACKEND_PORT = 22_301;
/** Where a back end without a link comes back that moves: there, and at the first port again. */
const MOVED_BACKEND_PORT = 22_306;
const LINKED_CALLER_PORT = 22_303;
/** Of so many machines in a row, half have a link before their back end: one of each service. */
const BACKEND_LINK_CYCLE = 4;
/** What a node logs once it is up. */
const STARTED_LINE = 'node-started';
const STORE_PORT = 22_305;
/** How far behind the store reads are that may lag, in milliseconds: longer than any promise allows. */
const STALE_READ_LAG_MS = 3_000;
/** How long a back end is down that a request has ended, in milliseconds. */
const CRASHED_MS = 2_000;
/** Starts of a back end under one identity, after which it has a new one. */
const STARTS_PER_INSTANCE = 3;

/** What a fleet is started with. */
export interface SoakFleetParams {
  /** The first two numbers of its loopback network. */
  readonly network: string;
  readonly machines: number;
  /** Zones of about the same size; four machines in the first zone and one in each other when undefined. */
  readonly zones?: number | undefined;
  /** What the link from other nodes to each node passes each way; Infinity for no bound. */
  readonly linkBytesPerS: number;
  /** Whether some back ends are behind a link that can be harmed. */
  readonly hasBackendLinks: boolean;
  /** Whether callers also come through a link that can be harmed. */
  readonly hasCallerLinks: boolean;
  /** Whether the nodes run the bundle, started as it is deployed. */
  readonly isDeployed: boolean;
  /** Makes the calls of a run through the node beside the back end; tells whether all were served. */
  readonly onCalls: (machine: SoakMachine, run: CallingRun) => Promise<boolean>;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  readonly onArrival: (arrival: SoakArrival) => void;
  readonly onLogLine: (machine: number, line: string) => void;
}

/** One machine. */
export interface SoakMachine {
  readonly idx: number;
  readonly service: string;
  readonly caller: Place;
  /** Where callers come through a link that can be harmed, and that link. */
  readonly linkedCaller: Place | undefined;
  readonly callerLink: LinkProxy | undefined;
  readonly relayLink: LinkProxy;
  readonly storeLink: LinkProxy;
  /** Where the store treats this machine in its own way. */
  readonly storeEntry: StoreEntry;
  /** The link to its back end, where it can be harmed. */
  readonly backendLink: LinkProxy | undefined;
  readonly settingsPath: string;
  backend: SoakBackend;
  node: Child;
  /** Number of the node's process. */
  life: number;
  backends: number;
  backendPort: number;
}

/** The deployment. */
export class SoakFleet {
  readonly machines: SoakMachine[] = [];
  /** When each configuration was written, by its number. */
  readonly configuredAtMs = new Map<number, number>();
  readonly drainedAtMs = new Map<string, number>();
  /** Ends of back ends under requests. */
  readonly crashes: SoakCrash[] = [];
  /** Starts of back ends that are under way, by machine. */
  private readonly backendStarts = new Map<number, Promise<void>>();
  private isClosed = false;
  private readonly startedLives = new Set<string>();
  private readonly lifeCycle = new LifeCycle();
  private readonly children: ChildGroup;
  private readonly folder: string;
  /** Last value written by the operator or a back end, by key; undefined marks a removal. */
  private readonly lastWrites = new Map<string, unknown>();
  private configuration = 0;
  private fillers = 0;

  private constructor(
    readonly store: StoreStandIn,
    private readonly params: SoakFleetParams,
  ) {
    this.lifeCycle.own('store', store, (one) => one.close());
    const folder = mkdtempSync(join(tmpdir(), 'ferryspool-soak-'));
    this.folder = this.lifeCycle.own('folder', folder, (one) => rmSync(one, { recursive: true }));
    this.children = this.lifeCycle.own('processes', new ChildGroup(), (one) => one.end());
  }

  /** Starts everything; nodes may not be ready yet. */
  static async start(params: SoakFleetParams): Promise<SoakFleet> {
    const fleet = new SoakFleet(await StoreStandIn.start(), params);
    fleet.store.staleLagMs = STALE_READ_LAG_MS;
    fleet.configure();
    for (let idx = 0; idx < params.machines; idx += 1) {
      fleet.machines.push(await fleet.createMachine(idx));
    }
    return fleet;
  }

  /** What the link from other nodes to each node passes each way; Infinity for no bound. */
  get linkBytesPerS(): number {
    return this.params.linkBytesPerS;
  }

  /** Number of the newest configuration. */
  get newestConfiguration(): number {
    return this.configuration;
  }

  /** Whether the node's process has said that it is up. */
  hasStarted({ idx, life }: SoakMachine): boolean {
    return this.startedLives.has(lifeName(idx, life));
  }

  /** The process of each node. */
  processes(): WatchedProcess[] {
    return this.machines.map(({ idx, node }) => ({ machine: idx, processId: node.processId }));
  }

  /** Connections through the links that went silent for good. */
  silences(): SoakSilence[] {
    const offsetMs = this.params.nowMs() - performance.now();
    return this.machines.flatMap(({ idx, relayLink, storeLink, backendLink }) => {
      const links = {
        'relay-link': relayLink,
        'store-link': storeLink,
        'backend-link': backendLink,
      };
      return Object.entries(links).flatMap(([kind, link]) =>
        (link?.silences ?? []).map(({ sinceMs, opening, firstUseMs = 0, lastUseMs = 0 }) => ({
          link: `${kind} ${idx}`,
          opening,
          atMs: sinceMs + offsetMs,
          usedForMs: lastUseMs - firstUseMs,
        })),
      );
    });
  }

  /** Connections of callers that went silent for good. */
  callerSilences(): CallerSilence[] {
    const offsetMs = this.params.nowMs() - performance.now();
    const at = (timeMs: number | undefined): number => (timeMs ?? Infinity) + offsetMs;
    return this.machines.flatMap(({ idx, callerLink }) =>
      (callerLink?.silences ?? []).map((silence) => ({
        machine: idx,
        callerPort: silence.diallerPort,
        atMs: at(silence.sinceMs),
        callerLostAtMs: at(silence.diallerLostMs),
        nodeLostAtMs: at(silence.dialledLostMs),
        nodeSaidAtMs: at(silence.dialledSaidMs),
        callerEndedAtMs: at(silence.diallerEndedMs),
        nodeEndedAtMs: at(silence.dialledEndedMs),
      })),
    );
  }

  /** Programs that ended although nobody told them to. */
  ownEnds(): string[] {
    return this.children.endedUnasked().map(({ name, output }) => `${name}: ${output.join(' ')}`);
  }

  /** Writes the next configuration: it adds a route, drops the one added three before, and has idle ones. */
  configure(fillers = this.fillers): void {
    this.configuration += 1;
    this.fillers = fillers;
    this.write('op/config', configurationOf(this.configuration, fillers));
    this.configuredAtMs.set(this.configuration, this.params.nowMs());
  }

  /** Writes a configuration that is not valid, newer than the one before. */
  misconfigure(variant: InvalidVariant): void {
    this.store.put('op/config', invalidConfigurationOf(this.configuration, variant));
  }

  /** Starts a node again, once its process has ended. */
  restartNode(machine: SoakMachine): void {
    machine.life += 1;
    machine.node = this.startNode(machine.idx, machine.life, machine.settingsPath);
  }

  /** Starts a back end anew, mostly under the identity that it had, at the same address unless it moves. */
  restartBackend(machine: SoakMachine, moves = false): Promise<void> {
    const { idx } = machine;
    const underWay = this.backendStarts.get(idx);
    const start = underWay ?? this.startNextBackend(machine, moves);
    this.backendStarts.set(idx, start);
    return start;
  }

  /** Two faults may have ended the back end, and the other one started it again meanwhile: that one ends. */
  private async startNextBackend(machine: SoakMachine, moves: boolean): Promise<void> {
    machine.backend.close();
    machine.backends += 1;
    if (moves && !this.isBackendLinked(machine.idx)) {
      machine.backendPort =
        machine.backendPort === BACKEND_PORT ? MOVED_BACKEND_PORT : BACKEND_PORT;
    }
    const { idx, backends, backendPort } = machine;
    machine.backend = await this.startBackend(idx, backends, backendPort);
    this.backendStarts.delete(machine.idx);
    this.announce(machine, 'ready');
  }

  /** A request ends the back end, which is back after a while unless another fault has replaced it. */
  private async crash(idx: number, backend: SoakBackend, target: string): Promise<void> {
    const machine = this.machines[idx];
    if (machine === undefined || backend.hasEnded) {
      return;
    }
    backend.close();
    this.crashes.push({ target, backend: backend.id, atMs: this.params.nowMs() });
    await delay(CRASHED_MS);
    if (machine.backend === backend && !this.isClosed) {
      this.forgetBackend(machine);
      await this.restartBackend(machine);
    }
  }

  /** Writes that the back end drains. */
  drainBackend(machine: SoakMachine): void {
    this.announce(machine, 'draining');
    this.drainedAtMs.set(machine.backend.id, this.params.nowMs());
  }

  /** Removes the entry of a back end that has ended. */
  forgetBackend({ backend }: SoakMachine): void {
    this.write(`servers/${backend.instance}`, undefined);
  }

  /** Repeats the writes and removals that a restore of the store has lost. */
  rewriteLostItems(): void {
    for (const [key, value] of this.lastWrites) {
      if (!this.store.hasValue(key, value)) {
        this.write(key, value);
      }
    }
  }

  /** Ends everything that was started. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.machines.forEach(({ backend }) => backend.close());
    await this.lifeCycle.close();
  }

  /** Ends the processes without waiting. */
  killAll(): void {
    this.children.killAll();
  }

  private async createMachine(idx: number): Promise<SoakMachine> {
    const host = this.addressOf(idx, 0);
    const own = this.addressOf(idx, 1);
    const relay = { address: own, port: RELAY_PORT };
    const toStore = { address: own, port: STORE_PORT };
    const storeEntry = await this.store.openEntry();
    const storePlace = { address: '127.0.0.1', port: storeEntry.port };
    const relayLink = await LinkProxy.start({ address: host, port: RELAY_PORT }, relay);
    const storeLink = await LinkProxy.start(toStore, storePlace);
    relayLink.setBandwidth(this.params.linkBytesPerS);
    this.lifeCycle.own('relay link', relayLink, (link) => link.close());
    this.lifeCycle.own('store link', storeLink, (link) => link.close());
    const service = serviceOf(idx);
    const settingsPath = join(this.folder, `${idx}.conf`);
    const zone = this.zoneOf(idx);
    writeFileSync(settingsPath, settingsText({ idx, zone, host, relay, toStore, service }));
    const backendLink = await this.startBackendLink(idx);
    const caller = { address: host, port: CALLER_PORT };
    const linkedCaller = this.params.hasCallerLinks
      ? { address: host, port: LINKED_CALLER_PORT }
      : undefined;
    const callerLink = linkedCaller && (await LinkProxy.start(linkedCaller, caller));
    this.lifeCycle.own('caller link', callerLink, (link) => link?.close());
    const machine: SoakMachine = {
      idx,
      service,
      caller,
      linkedCaller,
      callerLink,
      relayLink,
      storeLink,
      storeEntry,
      backendLink,
      settingsPath,
      backend: await this.startBackend(idx, 1),
      node: this.startNode(idx, 1, settingsPath),
      life: 1,
      backends: 1,
      backendPort: BACKEND_PORT,
    };
    this.announce(machine, 'ready');
    return machine;
  }

  private startNode(idx: number, life: number, settingsPath: string): Child {
    const env = { FERRYSPOOL_CONFIG: settingsPath };
    const [program = '', ...args] = this.params.isDeployed ? DEPLOYED_PROGRAM : COMPILED_PROGRAM;
    const node = this.children.start(`node ${idx}, life ${life}`, program, args, env);
    node.onLine((line) => {
      if (line.includes(STARTED_LINE)) {
        this.startedLives.add(lifeName(idx, life));
      }
      this.params.onLogLine(idx, line);
    });
    return node;
  }

  /** Some back ends only: a process that is gone refuses connections, the link to one resets them. */
  private async startBackendLink(idx: number): Promise<LinkProxy | undefined> {
    if (!this.isBackendLinked(idx)) {
      return undefined;
    }
    const place = { address: this.addressOf(idx, 0), port: BACKEND_PORT };
    const link = await LinkProxy.start(place, { ...place, address: this.addressOf(idx, 1) });
    return this.lifeCycle.own('back end link', link, (one) => one.close());
  }

  private isBackendLinked(idx: number): boolean {
    return this.params.hasBackendLinks && idx % BACKEND_LINK_CYCLE >= BACKEND_LINK_CYCLE / 2;
  }

  private startBackend(idx: number, count: number, port = BACKEND_PORT): Promise<SoakBackend> {
    const { random, nowMs, onArrival } = this.params;
    const address = this.addressOf(idx, this.isBackendLinked(idx) ? 1 : 0);
    const place = { address, port };
    const id = `i-${idx}-${count}`;
    const instance = `i-${idx}-${Math.ceil(count / STARTS_PER_INSTANCE)}`;
    const onCrash = (backend: SoakBackend, target: string): void => {
      void this.crash(idx, backend, target);
    };
    const common = { id, instance, machine: idx, place, random, nowMs, onArrival };
    const onCalls = (run: CallingRun): Promise<boolean> => {
      const machine = this.machines[idx];
      return machine === undefined ? Promise.resolve(false) : this.params.onCalls(machine, run);
    };
    return SoakBackend.start({ ...common, workOf, onCrash, onCalls });
  }

  private announce({ idx, service, backend, backendPort }: SoakMachine, state: string): void {
    this.write(`servers/${backend.instance}`, {
      born: backend.bornAtMs,
      address: `${this.addressOf(idx, 0)}:${backendPort}`,
      info: { service, version: 'v1', zone: this.zoneOf(idx), slots: BACKEND_SLOTS },
      status: { state, sequence: 1, coldRemainingS: 0 },
    });
  }

  private zoneOf(idx: number): string {
    return zoneOf(idx, this.params.zones);
  }

  /** Writes an item, or removes it when `value` is undefined. */
  private write(key: string, value: unknown): void {
    this.lastWrites.set(key, value);
    if (value === undefined) {
      this.store.remove(key);
    } else {
      this.store.put(key, value);
    }
  }

  /** `side` 0 is what others know of the machine, 1 what is behind its proxies. */
  private addressOf(idx: number, side: number): string {
    return `${this.params.network}.${side}.${idx + 1}`;
  }
}

/** The service of a machine. */
export function serviceOf(idx: number): string {
  return SOAK_SERVICES[idx % SOAK_SERVICES.length] ?? SOAK_SERVICES[0];
}

function lifeName(idx: number, life: number): string {
  return `${idx}/${life}`;
}
