/** Callers, nodes and endpoints under a virtual clock, run with the product's own request code. */
import { Containment } from '../../../src/containment/containment.js';
import type { RandomSource } from '../../../src/control/control-event.js';
import type { Verdict } from '../../../src/model/verdict.js';
import type { Suspicion } from '../../../src/containment/suspicion.js';
import type { Snapshot } from '../../../src/model/snapshot.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION } from '../../../src/model/snapshot.js';
import { resourceSchema } from '../../../src/model/resource.js';
import type { Answer, Call } from '../../../src/proxy/call.js';
import type { AnswerObserver } from '../../../src/proxy/answer-forwarding.js';
import { EndpointGateway } from '../../../src/proxy/endpoint-gateway.js';
import { DEFAULT_PROXY_LIMITS } from '../../../src/proxy/proxy-limits.js';
import { EMPTY_BODY } from '../../../src/proxy/request-body.js';
import type { RequestError } from '../../../src/proxy/request-error.js';
import type { CallerReply } from '../../../src/proxy/request-context.js';
import { RequestRunner } from '../../../src/proxy/request-runner.js';
import { RequestServices } from '../../../src/proxy/request-services.js';
import { RouteTable } from '../../../src/routing/route-table.js';
import type { MemberStatus } from '../../../src/wire/message.js';
import { VirtualScheduler } from '../../../tools/emulator/virtual-scheduler.js';
import { echoEndpoint, echoService } from '../rig.js';
import { VirtualEndpoint, type EndpointFaults, type Execution } from './virtual-endpoint.js';
import { onceWhole, VirtualEndpointPort, VirtualRelay } from './virtual-paths.js';
import { VirtualConnection, VirtualProcess } from '../../../tools/emulator/virtual-process.js';
import { VIRTUAL_RELAY, virtualIdentity } from '../virtual-identity.js';

/** The request that ends each endpoint which runs it; all others differ from each other. */
export const CRASHING_TARGET = '/crash';
/** How long an endpoint is down that a request has ended, in milliseconds: longer than a loss is on its way. */
const CRASHED_MS = 1_000;
/** Ends of endpoints after which the request is known, and the time by when it is, in milliseconds. */
const ENDS_TO_KNOW = 3;
const KNOWN_AFTER_MS = 700;
/** Slots of each endpoint. */
export const SLOTS = 2;
const NODE_NAMES = ['n0', 'n1', 'n2'];
/** The first node has no endpoint beside it. */
const ENDPOINT_NAMES = ['e1', 'e2'];
const UPKEEP_INTERVAL_MS = 250;
/** Time after which every node that runs must know of a drain, in milliseconds. */
const DRAIN_GRACE_MS = 300;
/** Time from the birth of an endpoint's process to when the nodes' configuration tells of it. */
const BIRTH_NEWS_MS = 200;

/** What a caller was told. */
export type Told =
  | { readonly kind: 'answer'; readonly content: string }
  | { readonly kind: 'error'; readonly verdict: Verdict; readonly code: string }
  | { readonly kind: 'broken' }
  /** The caller left, or its node died. */
  | { readonly kind: 'nothing' };

/** One caller's request. */
export interface CallRecord {
  readonly id: string;
  readonly isCrashing: boolean;
  readonly repeatable: boolean;
  readonly deadlineAtMs: number;
  readonly node: VirtualNode;
  readonly generation: number;
  readonly told: Told[];
  readonly close: (isWhole: boolean) => void;
  giveUp: () => void;
}

/** One node; it gets a new life after each death. */
export class VirtualNode {
  readonly process: VirtualProcess;
  containment!: Containment;
  gateway!: EndpointGateway;
  services!: RequestServices;

  constructor(
    readonly name: string,
    private readonly world: RequestWorld,
  ) {
    this.process = new VirtualProcess(world.clock);
    this.start();
  }

  /** Name and life, as endpoints see their senders. */
  get identity(): string {
    return `${this.name}/${this.process.generation}`;
  }

  /** Begins a new life: nothing of the last one is kept. */
  start(): void {
    this.process.revive();
    const { world, process: scheduler } = this;
    const counters = { add: () => undefined };
    this.containment = new Containment({
      nodeName: this.identity,
      callerHeader: undefined,
      nowMs: () => scheduler.now(),
      counters,
      logStateChange: () => undefined,
    });
    this.containment.subscribe((changed) => world.tell(this, changed));
    this.gateway = new EndpointGateway({
      containment: this.containment,
      client: new VirtualEndpointPort(world, this),
      counters,
      scheduler,
      maxQueuedPerEndpoint: 64,
      cancelLead: DEFAULT_PROXY_LIMITS,
      logStateChange: () => undefined,
      snapshot: () => world.snapshot,
      slotsFor: (endpoint) => this.services.slotsFor(endpoint),
    });
    this.services = new RequestServices({
      containment: this.containment,
      identity: virtualIdentity(this.name, this.process.generation),
      members: {
        status: (machineId) => world.statuses.get(machineId) ?? 'alive',
        relayAddress: () => VIRTUAL_RELAY,
        count: () => NODE_NAMES.length,
      },
      snapshots: { current: () => world.snapshot },
      counters,
      random: world.random,
      scheduler,
      limits: DEFAULT_PROXY_LIMITS,
      direct: this.gateway,
      relay: new VirtualRelay(world, this),
    });
    this.keepUp();
  }

  private keepUp(): void {
    this.process.schedule(UPKEEP_INTERVAL_MS, () => {
      this.gateway.reconcile();
      this.keepUp();
    });
  }
}

/** Everything. */
export class RequestWorld {
  readonly clock = new VirtualScheduler();
  readonly ledger: Execution[] = [];
  readonly calls: CallRecord[] = [];
  /** Promises that were broken at some moment. */
  readonly violations: string[] = [];
  readonly statuses = new Map<string, MemberStatus>();
  readonly nodes: readonly VirtualNode[];
  readonly endpoints: readonly VirtualEndpoint[];
  snapshot: Snapshot;
  private drains: ReadonlySet<string> = new Set();
  /** When the process of each endpoint was born, where that was told. */
  private readonly bornAtMs = new Map<string, number>();
  private readonly drainedAtMs = new Map<string, number>();
  private readonly connections = new Set<VirtualConnection>();
  /** Ends under the crashing request since a node was last disturbed, which may have lost the news. */
  private crashesAtMs: number[] = [];

  /** `tellsBirths` says whether the configuration tells that an endpoint has started again. */
  constructor(
    private readonly faults: EndpointFaults,
    readonly random: RandomSource,
    private readonly tellsBirths = false,
  ) {
    this.snapshot = snapshotOf(this.drains, this.bornAtMs);
    this.endpoints = ENDPOINT_NAMES.map(
      () => new VirtualEndpoint(new VirtualProcess(this.clock), this.ledger, faults, random),
    );
    this.nodes = NODE_NAMES.map((name) => new VirtualNode(name, this));
    this.endpoints.forEach((endpoint) => {
      endpoint.crash = () => this.crash(endpoint);
    });
  }

  /** Tells the other nodes what one has learnt; each passes it on. */
  tell(from: VirtualNode, changed: readonly Suspicion[]): void {
    for (const { process, containment } of this.nodes.filter((node) => node !== from)) {
      process.schedule(this.delayMs(), () => containment.learn(changed));
    }
  }

  /** A node was disturbed: it may not know what the others know. */
  disturb(): void {
    this.crashesAtMs = [];
  }

  private crash(endpoint: VirtualEndpoint): void {
    this.crashesAtMs.push(this.clock.nowMs);
    this.killEndpoint(endpoint);
    const revive = (): void => {
      if (!endpoint.process.isAlive) {
        this.reviveEndpoint(endpoint);
      }
    };
    this.clock.schedule(this.clock.nowMs + CRASHED_MS, { run: revive });
  }

  /** Time on the way of one message: mostly short, now and then long enough to cross others. */
  readonly delayMs = (): number => {
    const isLate = this.random() < this.faults.late;
    return isLate ? this.random() * 300 : 0.5 + this.random() * 3;
  };

  nodeOf(name: string): VirtualNode {
    return this.nodes[NODE_NAMES.indexOf(name)] as VirtualNode;
  }

  endpoint(name: string): VirtualEndpoint {
    return this.endpoints[ENDPOINT_NAMES.indexOf(name)] as VirtualEndpoint;
  }

  connect(
    client: VirtualProcess,
    server: VirtualProcess,
    onLost: () => void,
    onClosed: () => void,
  ): VirtualConnection {
    const connection = new VirtualConnection(
      this.clock,
      client,
      server,
      this.delayMs,
      onLost,
      onClosed,
    );
    this.connections.add(connection);
    return connection;
  }

  /** A caller's request arrives at `node`. */
  call(node: VirtualNode, repeatable: boolean, timeoutMs: number, isCrashing = false): void {
    if (!node.process.isAlive || node.process.isFrozen) {
      return;
    }
    const id = `c${this.calls.length}`;
    const reply = new VirtualReply(this.random);
    const { told, close } = reply;
    const deadlineAtMs = this.clock.nowMs + timeoutMs;
    const { generation } = node.process;
    const giveUp = (): void => undefined;
    const record: CallRecord = {
      id,
      isCrashing,
      repeatable,
      deadlineAtMs,
      node,
      generation,
      told,
      close,
      giveUp,
    };
    this.calls.push(record);
    const { snapshot } = this;
    const match = new RouteTable(snapshot).match('', '/', 'GET');
    if (match === undefined) {
      throw new Error('no route');
    }
    const runner = new RequestRunner({
      services: node.services,
      snapshot,
      match: { ...match, repeatable },
      method: 'GET',
      target: isCrashing ? CRASHING_TARGET : `/${id}`,
      headers: [],
      retries: undefined,
      response: reply,
      requestId: id,
      attemptPrefix: id,
      deadlineAtMs,
    });
    record.giveUp = () => void runner.giveUp();
    runner.start(EMPTY_BODY);
  }

  /** The node's planned stop is over: it gives up what its callers wait for. */
  giveUp(node: VirtualNode): void {
    const { isAlive, isFrozen, generation } = node.process;
    for (const call of this.calls) {
      if (call.node === node && call.generation === generation && isAlive && !isFrozen) {
        call.giveUp();
      }
    }
  }

  /** Every open connection of the process dies. */
  cut(process: VirtualProcess, losesToServer: boolean, losesToClient: boolean): void {
    for (const connection of this.connections) {
      if (connection.client === process || connection.server === process) {
        connection.cut(losesToServer, losesToClient);
        this.connections.delete(connection);
      }
    }
  }

  killNode(node: VirtualNode): void {
    this.cut(node.process, this.random() < 0.5, true);
    node.process.kill();
    this.disturb();
    for (const call of this.calls) {
      if (call.node === node && call.told.length === 0) {
        call.told.push({ kind: 'nothing' });
      }
    }
  }

  killEndpoint(endpoint: VirtualEndpoint): void {
    this.cut(endpoint.process, this.random() < 0.5, true);
    endpoint.kill();
  }

  /** The endpoint starts again under its name, and knows nothing of before. */
  reviveEndpoint(endpoint: VirtualEndpoint): void {
    endpoint.process.revive();
    if (!this.tellsBirths) {
      return;
    }
    const name = ENDPOINT_NAMES[this.endpoints.indexOf(endpoint)] ?? '';
    const bornAtMs = Math.floor(this.clock.nowMs);
    const tell = (): void => {
      this.bornAtMs.set(name, bornAtMs);
      this.snapshot = snapshotOf(this.drains, this.bornAtMs);
    };
    this.clock.schedule(this.clock.nowMs + BIRTH_NEWS_MS, { run: tell });
  }

  /** What must hold whenever a node sends a request to an endpoint. */
  checkDispatch(endpointName: string, call: Call, node: VirtualNode): void {
    const nowMs = this.clock.nowMs;
    if (call.deadlineAtMs <= nowMs) {
      this.violations.push(`${call.requestId} was sent after its deadline`);
    }
    const [, , thirdAtMs = Infinity] = this.crashesAtMs.slice(0, ENDS_TO_KNOW);
    if (call.target === CRASHING_TARGET && nowMs > thirdAtMs + KNOWN_AFTER_MS) {
      this.violations.push(`${call.requestId} was sent after ${this.crashesAtMs.length} ends`);
    }
    const drainedAtMs = this.drainedAtMs.get(endpointName) ?? Infinity;
    const knownSinceMs = Math.max(drainedAtMs, node.process.thawedAtMs) + DRAIN_GRACE_MS;
    if (nowMs > knownSinceMs) {
      this.violations.push(`${call.requestId} was sent to ${endpointName}, which drains`);
    }
  }

  configureDrain(names: ReadonlySet<string>): void {
    for (const name of ENDPOINT_NAMES) {
      const since = Math.min(this.drainedAtMs.get(name) ?? Infinity, this.clock.nowMs);
      this.drainedAtMs.set(name, names.has(name) ? since : Infinity);
    }
    this.drains = names;
    this.snapshot = snapshotOf(names, this.bornAtMs);
  }

  advance(byMs: number): void {
    this.clock.runUntil(this.clock.nowMs + byMs);
  }
}

/** The caller's side; keeps what the caller was told. */
class VirtualReply implements CallerReply {
  readonly told: Told[] = [];
  private readonly listeners: ((isWhole: boolean) => void)[] = [];

  constructor(private readonly random: RandomSource) {}

  readonly close = (isWhole: boolean): void => {
    this.listeners.splice(0).forEach((listener) => listener(isWhole));
  };

  answer(answer: Answer, _requestId: string, _holdBytes: number, observer: AnswerObserver): void {
    onceWhole(answer, (isWhole) => {
      if (this.hasBegun()) {
        observer.truncated(false);
        return;
      }
      if (!isWhole) {
        observer.truncated(this.random() < 0.5);
        return;
      }
      this.told.push({ kind: 'answer', content: answer.headers[1] ?? '' });
      observer.completed();
      this.close(true);
    });
  }

  fail(error: RequestError, verdict: Verdict): void {
    this.told.push({ kind: 'error', verdict, code: error.code });
    this.close(true);
  }

  hasBegun(): boolean {
    return this.told.length > 0;
  }

  breakConnection(): void {
    this.told.push({ kind: 'broken' });
    this.close(false);
  }

  onClose(action: (isWhole: boolean) => void): void {
    this.listeners.push(action);
  }
}

function snapshotOf(
  draining: ReadonlySet<string>,
  bornAtMs: ReadonlyMap<string, number>,
): Snapshot {
  const endpoints = ENDPOINT_NAMES.map((name, index) =>
    echoEndpoint(name, 1_000 + index, {
      ...(bornAtMs.has(name) && { bornAtMs: bornAtMs.get(name) }),
      machine: `n${index + 1}`,
      slots: SLOTS,
      state: draining.has(name) ? 'draining' : 'active',
    }),
  );
  const resources = [...echoService({}, { retryBudgetPercent: 100 }), ...endpoints];
  return buildSnapshot(
    NO_SNAPSHOT_VERSION,
    resources.map((resource) => resourceSchema.parse(resource)),
  );
}
