/** Callers, nodes and endpoints under a virtual clock; the nodes run the production request code. */
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
import { EndpointStatements } from '../../../src/routing/endpoint-statements.js';
import { RouteTable } from '../../../src/routing/route-table.js';
import type { MemberStatus } from '../../../src/wire/message.js';
import { VirtualScheduler } from '../../../tools/emulator/virtual-scheduler.js';
import { echoEndpoint, echoService } from '../rig.js';
import { StatementOracle } from './statement-oracle.js';
import { VirtualEndpoint, type EndpointFaults, type Execution } from './virtual-endpoint.js';
import { callOf, onBodyEnd, VirtualEndpointPort, VirtualRelay } from './virtual-paths.js';
import { VirtualConnection, VirtualProcess } from '../../../tools/emulator/virtual-process.js';
import { VIRTUAL_RELAY, virtualIdentity } from '../virtual-identity.js';

/** Target of the request that crashes every endpoint that runs it; every other request has its own target. */
export const CRASHING_TARGET = '/crash';
/** Downtime of an endpoint after a crash, in milliseconds: longer than a lost connection takes to be noticed. */
const CRASH_DOWNTIME_MS = 1_000;
/** Number of crashes after which nodes must contain the request, and their time to do so, in milliseconds. */
const CRASHES_TO_CONTAIN = 3;
const CONTAINMENT_DELAY_MS = 700;
export const SLOTS_PER_ENDPOINT = 2;
const NODE_NAMES = ['n0', 'n1', 'n2'];
/** The first node has no endpoint on its machine. */
const ENDPOINT_NAMES = ['e1', 'e2'];
const RECONCILE_INTERVAL_MS = 250;
/** Time after which every running node must respect a drain, in milliseconds. */
const DRAIN_GRACE_MS = 300;
/** Delay from the start of an endpoint's process until the configuration contains its start time, in milliseconds. */
const START_TIME_DELAY_MS = 200;

/** Outcome of a call as the caller sees it. */
export type CallOutcome =
  | { readonly kind: 'answer'; readonly content: string }
  | { readonly kind: 'error'; readonly verdict: Verdict; readonly code: string }
  | { readonly kind: 'broken' }
  /** The caller disconnected, or its node was killed. */
  | { readonly kind: 'nothing' };

/** What an answer states about its endpoint. */
interface AnswerStatementRecord {
  /** The endpoint's process. */
  readonly endpoint: string;
  readonly isLimited: boolean;
  readonly isLeaving: boolean;
}

/** One caller's request. */
export interface CallRecord {
  readonly id: string;
  readonly isCrashing: boolean;
  readonly repeatable: boolean;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly node: VirtualNode;
  readonly generation: number;
  readonly outcomes: CallOutcome[];
  readonly close: (isComplete: boolean) => void;
  giveUp: () => void;
  /** When its caller disconnected; Infinity while it has not. */
  leftAtMs: number;
}

/** One node, which can be killed and started again. */
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

  /** Name and process generation, by which endpoints distinguish senders. */
  get identity(): string {
    return `${this.name}/${this.process.generation}`;
  }

  /** Starts a new process generation without any state of the previous one. */
  start(): void {
    this.process.revive();
    const { world, process: scheduler } = this;
    const counters = {
      add: (name: string) => {
        world.startedWaits += Number(name === 'ferryspool_waiting_started_total');
      },
    };
    this.containment = new Containment({
      nodeName: this.identity,
      callerHeader: undefined,
      nowMs: () => scheduler.now(),
      counters,
      logStateChange: () => undefined,
    });
    const statements = new EndpointStatements();
    this.containment.subscribe((changed) => world.notifyPeers(this, changed));
    this.gateway = new EndpointGateway({
      containment: this.containment,
      client: new VirtualEndpointPort(world, this),
      counters,
      scheduler,
      statements,
      maxQueuedPerEndpoint: 64,
      cancelLead: DEFAULT_PROXY_LIMITS,
      logStateChange: () => undefined,
      snapshot: () => world.snapshot,
      slotsFor: (endpoint) => this.services.slotsFor(endpoint),
      rateShareFor: (endpoint) => this.services.rateShareFor(endpoint),
    });
    this.services = new RequestServices({
      containment: this.containment,
      identity: virtualIdentity(this.name, this.process.generation),
      members: {
        status: (machineId) => world.statuses.get(machineId) ?? 'alive',
        relayAddress: () => VIRTUAL_RELAY,
        count: () => NODE_NAMES.length,
        machineIds: () => NODE_NAMES,
      },
      snapshots: { current: () => world.snapshot },
      counters,
      random: world.random,
      scheduler,
      statements,
      limits: { ...DEFAULT_PROXY_LIMITS, maxWaitingRequests: 64 },
      direct: this.gateway,
      relay: new VirtualRelay(world, this),
    });
    this.scheduleReconcile();
  }

  private scheduleReconcile(): void {
    this.process.schedule(RECONCILE_INTERVAL_MS, () => {
      this.gateway.reconcile();
      this.scheduleReconcile();
    });
  }
}

/** All nodes, endpoints, calls and connections of one run. */
export class RequestWorld {
  readonly clock = new VirtualScheduler();
  readonly ledger: Execution[] = [];
  readonly calls: CallRecord[] = [];
  /** Invariants that were violated during the run. */
  readonly violations: string[] = [];
  /** Number of requests that waited for a slot. */
  startedWaits = 0;
  readonly statuses = new Map<string, MemberStatus>();
  readonly nodes: readonly VirtualNode[];
  readonly endpoints: readonly VirtualEndpoint[];
  snapshot: Snapshot;
  private drainingNames: ReadonlySet<string> = new Set();
  /** Start time of each endpoint's process, where the configuration contains it. */
  private readonly bornAtMs = new Map<string, number>();
  private readonly drainedAtMs = new Map<string, number>();
  private readonly connections = new Set<VirtualConnection>();
  private readonly statementOracle = new StatementOracle();
  /** What the answer to each attempt states, by attempt. */
  private readonly answerStatements = new Map<string, AnswerStatementRecord>();
  /**
   * Times of the crashes since a node was last killed, frozen or thawed: such a node may have missed the
   * suspicions that earlier crashes raised.
   */
  private crashTimesMs: number[] = [];

  /**
   * `publishesStartTimes` says whether the configuration contains the start times of restarted endpoints; `route` are
   * further fields of the route.
   */
  constructor(
    private readonly faults: EndpointFaults,
    readonly random: RandomSource,
    private readonly publishesStartTimes = false,
    private readonly route: Readonly<Record<string, unknown>> = {},
  ) {
    this.snapshot = this.currentSnapshot();
    this.endpoints = ENDPOINT_NAMES.map(
      () => new VirtualEndpoint(new VirtualProcess(this.clock), this.ledger, faults, random),
    );
    this.nodes = NODE_NAMES.map((name) => new VirtualNode(name, this));
    this.endpoints.forEach((endpoint) => {
      endpoint.crash = () => this.crash(endpoint);
    });
  }

  /** Sends changed suspicions to the other nodes, which forward them in turn. */
  notifyPeers(from: VirtualNode, changed: readonly Suspicion[]): void {
    for (const { process, containment } of this.nodes.filter((node) => node !== from)) {
      process.schedule(this.delayMs(), () => containment.learn(changed));
    }
  }

  /** Called when a node was killed, frozen or thawed: it may lack suspicions that the others have. */
  resetCrashTimes(): void {
    this.crashTimesMs = [];
  }

  /** The endpoint names a rate limit from now on; Infinity for none. */
  nameLimit(endpoint: VirtualEndpoint, maxRatePerS: number): void {
    endpoint.maxRatePerS = maxRatePerS;
    this.statementOracle.limitNamed(this.processOf(endpoint), maxRatePerS, this.clock.nowMs);
  }

  /** The endpoint answers an attempt. */
  answerStated({ requestId }: Call, endpointName: string): void {
    const endpoint = this.endpoint(endpointName);
    this.answerStatements.set(requestId, {
      endpoint: this.processOf(endpoint),
      isLimited: endpoint.maxRatePerS < Infinity,
      isLeaving: endpoint.isLeaving,
    });
  }

  /** A node passes the answer to an attempt on to its caller. */
  private answerPassedOn(attempt: string, callerNode: string): void {
    const stated = this.answerStatements.get(attempt);
    if (stated !== undefined) {
      this.statementOracle.passedOn(stated.endpoint, callerNode, stated, this.clock.nowMs);
    }
  }

  /** A node is frozen: it is excused from what it was told. */
  nodeInterrupted({ identity }: VirtualNode): void {
    this.statementOracle.interrupted(identity);
  }

  private processOf(endpoint: VirtualEndpoint): string {
    const name = ENDPOINT_NAMES[this.endpoints.indexOf(endpoint)] ?? '';
    return `${name}/${endpoint.process.generation}`;
  }

  private crash(endpoint: VirtualEndpoint): void {
    this.crashTimesMs.push(this.clock.nowMs);
    this.killEndpoint(endpoint);
    const restart = (): void => {
      if (!endpoint.process.isAlive) {
        this.restartEndpoint(endpoint);
      }
    };
    this.clock.schedule(this.clock.nowMs + CRASH_DOWNTIME_MS, { run: restart });
  }

  /** Delay of one message: usually short, sometimes long enough for later messages to overtake it. */
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
    const { identity } = node;
    const reply = new VirtualReply(this.random, (attempt) =>
      this.answerPassedOn(attempt, identity),
    );
    const { outcomes, close } = reply;
    const deadlineAtMs = this.clock.nowMs + timeoutMs;
    const { generation } = node.process;
    const giveUp = (): void => undefined;
    const record: CallRecord = {
      id,
      isCrashing,
      repeatable,
      startedAtMs: this.clock.nowMs,
      deadlineAtMs,
      node,
      generation,
      outcomes,
      close,
      giveUp,
      leftAtMs: Infinity,
    };
    this.calls.push(record);
    const { snapshot } = this;
    const match = new RouteTable(snapshot).match('', '/', 'GET');
    if (match === undefined) {
      throw new Error('no route matches the path /');
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

  /** The timeout of the node's planned stop has passed: it gives up all requests that are still pending. */
  giveUp(node: VirtualNode): void {
    const { isAlive, isFrozen, generation } = node.process;
    for (const call of this.calls) {
      if (call.node === node && call.generation === generation && isAlive && !isFrozen) {
        call.giveUp();
      }
    }
  }

  /** Cuts every open connection of the process. */
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
    this.resetCrashTimes();
    for (const call of this.calls) {
      if (call.node === node && call.outcomes.length === 0) {
        call.outcomes.push({ kind: 'nothing' });
      }
    }
  }

  killEndpoint(endpoint: VirtualEndpoint): void {
    this.cut(endpoint.process, this.random() < 0.5, true);
    endpoint.kill();
  }

  /** Restarts the endpoint under its name, without any earlier state. */
  restartEndpoint(endpoint: VirtualEndpoint): void {
    endpoint.process.revive();
    if (!this.publishesStartTimes) {
      return;
    }
    const name = ENDPOINT_NAMES[this.endpoints.indexOf(endpoint)] ?? '';
    const bornAtMs = Math.floor(this.clock.nowMs);
    const publish = (): void => {
      this.bornAtMs.set(name, bornAtMs);
      this.snapshot = this.currentSnapshot();
    };
    this.clock.schedule(this.clock.nowMs + START_TIME_DELAY_MS, { run: publish });
  }

  /** Records a violation when a node sends a request that it must not send to this endpoint. */
  checkDispatch(endpointName: string, call: Call, node: VirtualNode): void {
    const nowMs = this.clock.nowMs;
    if (call.deadlineAtMs <= nowMs) {
      this.violations.push(`${call.requestId} was sent after its deadline`);
    }
    const [, , thirdAtMs = Infinity] = this.crashTimesMs.slice(0, CRASHES_TO_CONTAIN);
    if (call.target === CRASHING_TARGET && nowMs > thirdAtMs + CONTAINMENT_DELAY_MS) {
      this.violations.push(`${call.requestId} was sent after ${this.crashTimesMs.length} crashes`);
    }
    this.checkStatements(endpointName, call);
    const drainedAtMs = this.drainedAtMs.get(endpointName) ?? Infinity;
    const knownSinceMs = Math.max(drainedAtMs, node.process.thawedAtMs) + DRAIN_GRACE_MS;
    if (nowMs > knownSinceMs) {
      this.violations.push(`${call.requestId} was sent to ${endpointName}, which is draining`);
    }
  }

  private checkStatements(endpointName: string, call: Call): void {
    const record = this.calls.find(({ id }) => id === callOf(call));
    if (record === undefined) {
      return;
    }
    const { node, generation, startedAtMs } = record;
    const dispatch = {
      attempt: call.requestId,
      endpoint: this.processOf(this.endpoint(endpointName)),
      callerNode: `${node.name}/${generation}`,
      startedAtMs,
    };
    this.violations.push(...this.statementOracle.check(dispatch, this.clock.nowMs));
  }

  configureDrain(names: ReadonlySet<string>): void {
    for (const name of ENDPOINT_NAMES) {
      const since = Math.min(this.drainedAtMs.get(name) ?? Infinity, this.clock.nowMs);
      this.drainedAtMs.set(name, names.has(name) ? since : Infinity);
    }
    this.drainingNames = names;
    this.snapshot = this.currentSnapshot();
  }

  private currentSnapshot(): Snapshot {
    return snapshotOf(this.drainingNames, this.bornAtMs, this.route);
  }

  advance(byMs: number): void {
    this.clock.runUntil(this.clock.nowMs + byMs);
  }
}

/** Records the outcomes that the caller receives. */
class VirtualReply implements CallerReply {
  readonly outcomes: CallOutcome[] = [];
  private readonly listeners: ((isComplete: boolean) => void)[] = [];

  /** `onPassedOn` is called with the attempt of an answer that the caller gets whole. */
  constructor(
    private readonly random: RandomSource,
    private readonly onPassedOn: (attempt: string) => void,
  ) {}

  readonly close = (isComplete: boolean): void => {
    this.listeners.splice(0).forEach((listener) => listener(isComplete));
  };

  answer(answer: Answer, _requestId: string, _holdBytes: number, observer: AnswerObserver): void {
    onBodyEnd(answer, (isComplete) => {
      if (this.hasBegun()) {
        observer.truncated(false);
        return;
      }
      if (!isComplete) {
        observer.truncated(this.random() < 0.5);
        return;
      }
      const attempt = answer.headers[1] ?? '';
      this.onPassedOn(attempt);
      this.outcomes.push({ kind: 'answer', content: attempt });
      observer.completed();
      this.close(true);
    });
  }

  fail(error: RequestError, verdict: Verdict): void {
    this.outcomes.push({ kind: 'error', verdict, code: error.code });
    this.close(true);
  }

  hasBegun(): boolean {
    return this.outcomes.length > 0;
  }

  breakConnection(): void {
    this.outcomes.push({ kind: 'broken' });
    this.close(false);
  }

  onClose(action: (isComplete: boolean) => void): void {
    this.listeners.push(action);
  }
}

function snapshotOf(
  draining: ReadonlySet<string>,
  bornAtMs: ReadonlyMap<string, number>,
  route: Readonly<Record<string, unknown>>,
): Snapshot {
  const endpoints = ENDPOINT_NAMES.map((name, index) =>
    echoEndpoint(name, 1_000 + index, {
      ...(bornAtMs.has(name) && { bornAtMs: bornAtMs.get(name) }),
      machine: `n${index + 1}`,
      slots: SLOTS_PER_ENDPOINT,
      state: draining.has(name) ? 'draining' : 'active',
    }),
  );
  const resources = [...echoService(route, { retryBudgetPercent: 100 }), ...endpoints];
  return buildSnapshot(
    NO_SNAPSHOT_VERSION,
    resources.map((resource) => resourceSchema.parse(resource)),
  );
}
