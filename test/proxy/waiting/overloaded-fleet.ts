/**
 * Nodes with one endpoint each and callers that come back after a refusal, under a virtual clock. The nodes run the
 * production code from the caller's request to the admission of the endpoint; only connections are replaced.
 */
import type { Verdict } from '../../../src/model/verdict.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../../src/model/snapshot.js';
import { resourceSchema, type Endpoint } from '../../../src/model/resource.js';
import type { Answer, Attempt, AttemptObserver, Call } from '../../../src/proxy/call.js';
import type { EndpointConnector } from '../../../src/proxy/endpoint-client.js';
import { EndpointGateway } from '../../../src/proxy/endpoint-gateway.js';
import { DEFAULT_PROXY_LIMITS, type ProxyLimits } from '../../../src/proxy/proxy-limits.js';
import { EMPTY_BODY } from '../../../src/proxy/request-body.js';
import type { CallerReply } from '../../../src/proxy/request-context.js';
import { RelayedError, UnreachableError } from '../../../src/proxy/request-error.js';
import { RequestRunner } from '../../../src/proxy/request-runner.js';
import { RequestServices } from '../../../src/proxy/request-services.js';
import type { SlotListener, SlotOffer } from '../../../src/proxy/waiting/slot-offer.js';
import { EndpointStatements } from '../../../src/routing/endpoint-statements.js';
import { seededRandom } from '../../../tools/emulator/seeded-random.js';
import { VirtualProcess } from '../../../tools/emulator/virtual-process.js';
import { VirtualScheduler } from '../../../tools/emulator/virtual-scheduler.js';
import { matchOf } from '../lone-node.js';
import { echoEndpoint, echoService } from '../rig.js';
import { VIRTUAL_RELAY, virtualIdentity } from '../virtual-identity.js';

export const SLOTS = 4;
const WORK_MS = { min: 90, max: 120 };
/** Mean service time of the work, in milliseconds. */
export const MEAN_WORK_MS = (WORK_MS.min + WORK_MS.max) / 2;
export const TARGET_MS = 480;
export const ROUTE_TIME_OUT_MS = 1_500;
export const CALLER_DEADLINE_MS = 3_200;
/** Tries of a caller after its first one, and the share of its time left for which it delays a try at most. */
const CALLER_RETRIES = 2;
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** Delay of a message between machines, in milliseconds. */
const MESSAGE_DELAY_MS = { min: 1, max: 4 };
const RECONCILE_INTERVAL_MS = 100;

/** The request of one caller, over all of its tries. */
export interface CallerRecord {
  readonly arrivedAtMs: number;
  readonly tries: TryRecord[];
  answeredAtMs: number | undefined;
  hasLeft: boolean;
  /** Closes the caller's connection. */
  leave: () => void;
}

/** One try. */
export interface TryRecord {
  readonly startedAtMs: number;
  endedAtMs: number;
  verdict: Verdict | 'answered' | 'pending';
  retryAfterMs?: number | undefined;
}

/** Settings of a fleet. */
export interface FleetOptions {
  readonly nodeCount: number;
  readonly seed: number;
  readonly limits?: Partial<ProxyLimits> | undefined;
}

export class FleetNode {
  readonly process: VirtualProcess;
  readonly gateway: EndpointGateway;
  readonly services: RequestServices;
  readonly counters = new Map<string, number>();
  isStopping = false;

  constructor(
    readonly name: string,
    fleet: OverloadedFleet,
    limits: ProxyLimits,
  ) {
    this.process = new VirtualProcess(fleet.clock);
    const scheduler = this.process;
    const statements = new EndpointStatements();
    const counters = {
      add: (counter: string, by = 1) =>
        void this.counters.set(counter, (this.counters.get(counter) ?? 0) + by),
    };
    this.gateway = new EndpointGateway({
      client: fleet.connectorOf(this),
      counters,
      scheduler,
      statements,
      maxQueuedPerEndpoint: limits.maxQueuedPerEndpoint,
      maxQueuedPerSlot: limits.maxQueuedPerSlot,
      cancelLead: limits,
      logStateChange: () => undefined,
      isStopping: () => this.isStopping,
      snapshot: () => fleet.snapshot,
      slotsFor: (endpoint) => this.services.slotsFor(endpoint),
    });
    this.services = new RequestServices({
      identity: virtualIdentity(name),
      members: {
        status: () => 'alive',
        relayAddress: () => VIRTUAL_RELAY,
        count: () => fleet.nodeNames.length,
        machineIds: () => fleet.nodeNames,
      },
      snapshots: { current: () => fleet.snapshot },
      counters,
      random: fleet.random,
      scheduler,
      statements,
      limits,
      isStopping: () => this.isStopping,
      direct: this.gateway,
      relay: { submit: (endpoint, call, observer) => fleet.relay(this, endpoint, call, observer) },
    });
    this.scheduleTick();
  }

  private scheduleTick(): void {
    this.process.schedule(RECONCILE_INTERVAL_MS, () => {
      this.gateway.tick();
      this.scheduleTick();
    });
  }
}

export class OverloadedFleet {
  readonly clock = new VirtualScheduler();
  readonly random: () => number;
  readonly nodeNames: readonly string[];
  readonly nodes: readonly FleetNode[];
  readonly callers: CallerRecord[] = [];
  snapshot: Snapshot;
  /** Messages between nodes. */
  messageCount = 0;
  /** Attempts that endpoints ran, by attempt id. */
  readonly runs: string[] = [];
  /** Names of nodes that can't be reached. */
  readonly unreachable = new Set<string>();
  /** Whether slot offers are lost on their way. */
  losesOffers = false;
  /** Added to the delay of a slot offer, in milliseconds. */
  offerDelayMs = 0;
  private readonly listeners = new Map<string, SlotListener>();

  constructor({ nodeCount, seed, limits }: FleetOptions) {
    this.random = seededRandom(seed);
    this.nodeNames = Array.from({ length: nodeCount }, (_, index) => `n${index}`);
    const resources = [
      ...echoService({ targetLatencyMs: TARGET_MS, timeoutMs: ROUTE_TIME_OUT_MS }),
      ...this.nodeNames.map((machine, index) =>
        echoEndpoint(`e${index}`, index + 1, { machine, slots: SLOTS }),
      ),
    ];
    this.snapshot = buildSnapshot(
      NO_SNAPSHOT_VERSION,
      resources.map((resource) => resourceSchema.parse(resource)),
    );
    const allLimits = {
      ...DEFAULT_PROXY_LIMITS,
      maxWaitingRequests: 64,
      maxRetries: 3,
      maxRedirects: 1,
      cancelLeadShare: 0,
      ...limits,
    };
    this.nodes = this.nodeNames.map((name) => new FleetNode(name, this, allLimits));
  }

  /** Requests a second that all endpoints together can serve. */
  get capacityPerS(): number {
    return (this.nodes.length * SLOTS * 1_000) / MEAN_WORK_MS;
  }

  counter(name: string): number {
    return this.nodes.reduce((sum, { counters }) => sum + (counters.get(name) ?? 0), 0);
  }

  /** Callers arrive from `fromMs` to `untilMs`, at this multiple of the capacity. */
  load(fromMs: number, untilMs: number, factor: number): void {
    const ratePerMs = (this.capacityPerS * factor) / 1_000;
    for (let atMs = fromMs; atMs < untilMs;) {
      atMs += -Math.log(1 - this.random()) / ratePerMs;
      this.clock.schedule(atMs, { run: () => this.arrive() });
    }
  }

  /** A caller arrives at a random node, or at `node`. */
  arrive(node = this.randomNode()): CallerRecord {
    const caller: CallerRecord = {
      arrivedAtMs: this.clock.nowMs,
      tries: [],
      answeredAtMs: undefined,
      hasLeft: false,
      leave: () => undefined,
    };
    this.callers.push(caller);
    this.tryRequest(caller, this.callers.length, node);
    return caller;
  }

  private randomNode(): FleetNode {
    return this.nodes[Math.floor(this.random() * this.nodes.length)] as FleetNode;
  }

  private between({ min, max }: { readonly min: number; readonly max: number }): number {
    return min + this.random() * (max - min);
  }

  private tryRequest(caller: CallerRecord, id: number, node: FleetNode): void {
    const nowMs = this.clock.nowMs;
    const callerDeadlineAtMs = caller.arrivedAtMs + CALLER_DEADLINE_MS;
    const record: TryRecord = { startedAtMs: nowMs, endedAtMs: Infinity, verdict: 'pending' };
    caller.tries.push(record);
    const end = (verdict: TryRecord['verdict']): void => {
      record.endedAtMs = this.clock.nowMs;
      record.verdict = verdict;
    };
    const response: CallerReply = {
      answer: (_answer, _id, _maxBytes, observer) => {
        end('answered');
        caller.answeredAtMs ??= this.clock.nowMs;
        observer.completed();
      },
      fail: (error, verdict) => {
        end(verdict);
        record.retryAfterMs = error.retryAfterMs;
        this.comeBack(caller, id, node, error.retryAfterMs ?? 0);
      },
      breakConnection: () => end('may-have-run'),
      hasBegun: () => false,
      onClose: (action) => {
        caller.leave = () => {
          caller.hasLeft = true;
          action(false);
        };
      },
    };
    const prefix = `r${id}/${caller.tries.length}`;
    new RequestRunner({
      services: node.services,
      snapshot: this.snapshot,
      match: matchOf(this.snapshot, '/'),
      method: 'GET',
      target: `/${id}`,
      headers: [],
      retries: undefined,
      response,
      requestId: prefix,
      attemptPrefix: prefix,
      deadlineAtMs: Math.min(nowMs + ROUTE_TIME_OUT_MS, callerDeadlineAtMs),
      callerDeadlineAtMs,
    }).start(EMPTY_BODY);
  }

  private comeBack(caller: CallerRecord, id: number, node: FleetNode, retryAfterMs: number): void {
    const leftMs = caller.arrivedAtMs + CALLER_DEADLINE_MS - this.clock.nowMs;
    if (caller.tries.length <= CALLER_RETRIES && leftMs > 0 && !caller.hasLeft) {
      const delayMs = Math.min(retryAfterMs, leftMs * MAX_RETRY_DELAY_SHARE);
      const run = (): void => this.tryRequest(caller, id, node);
      this.clock.schedule(this.clock.nowMs + delayMs, { run });
    }
  }

  /** The endpoint on the node's machine, reached directly. */
  connectorOf(node: FleetNode): EndpointConnector {
    return {
      send: (_endpoint, call, _workMs, observer) => {
        this.runs.push(call.requestId);
        let isOver = false;
        node.process.schedule(this.between(WORK_MS), () => {
          if (!isOver) {
            observer.answered(ANSWER);
          }
        });
        return { wasSent: () => true, abort: () => void (isOver = true) };
      },
      cancel: (_endpoint, _requestId, _timeoutMs, report) => report('cancelled'),
      probeDraining: () => undefined,
      probeListening: () => undefined,
    };
  }

  /** Relays an attempt to the node of the endpoint. */
  relay(from: FleetNode, endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const to = this.nodes.find(({ name }) => name === endpoint.spec.machine) as FleetNode;
    let isOver = false;
    let relayed: Attempt | undefined;
    const reply = (action: () => void): void =>
      this.send(to, from, () => {
        if (!isOver) {
          isOver = true;
          action();
        }
      });
    if (this.unreachable.has(to.name)) {
      from.process.schedule(1, () => observer.failed(new UnreachableError('no connection')));
      return { abort: () => undefined, isUnsent: () => true };
    }
    const { slotWish } = call;
    const relayedCall = {
      ...call,
      ...(slotWish && { slotWish: { ...slotWish, listener: this.listenerOf(to, from) } }),
    };
    this.send(from, to, () => {
      relayed = to.gateway.submit(endpoint, relayedCall, {
        answered: (answer) => reply(() => observer.answered(answer)),
        failed: (error, load) =>
          reply(() => observer.failed(new RelayedError(error, error.status, error.message), load)),
      });
    });
    return {
      abort: () => {
        isOver = true;
        this.send(from, to, () => relayed?.abort());
      },
      isUnsent: () => false,
    };
  }

  private send(from: FleetNode, to: FleetNode, action: () => void, delayMs = 0): void {
    this.messageCount += 1;
    if (!this.unreachable.has(from.name) && !this.unreachable.has(to.name)) {
      to.process.schedule(delayMs + this.between(MESSAGE_DELAY_MS), action);
    }
  }

  private listenerOf(owner: FleetNode, node: FleetNode): SlotListener {
    const key = `${owner.name} ${node.name}`;
    const known = this.listeners.get(key);
    const listener = known ?? {
      slotOffered: (offer: SlotOffer): void => {
        if (!this.losesOffers) {
          this.send(owner, node, () => this.offered(owner, node, offer), this.offerDelayMs);
        }
      },
    };
    this.listeners.set(key, listener);
    return listener;
  }

  private offered(owner: FleetNode, node: FleetNode, offer: SlotOffer): void {
    if (!node.services.useOffer(offer)) {
      const listener = this.listenerOf(owner, node);
      this.send(node, owner, () => owner.gateway.slotDeclined(offer, listener));
    }
  }
}

const ANSWER: Answer = {
  status: 200,
  headers: [],
  body: { kind: 'held', bytes: Buffer.alloc(0) },
  contentLength: 0,
  load: undefined,
};

/** Result of a day. */
export interface Outcome {
  readonly callers: number;
  /** Shares of the callers. */
  readonly inTime: number;
  readonly served: number;
  /** Share of the callers with a try that was held for long and then refused. */
  readonly heldInVain: number;
  readonly triesPerCaller: number;
}

/** Time for which a refused try counts as held, in milliseconds: an eighth of the target is free. */
const HELD_MS = TARGET_MS / 2;

/** The outcome for the callers that arrived in a period. */
export function outcomeOf(fleet: OverloadedFleet, fromMs: number, untilMs: number): Outcome {
  const callers = fleet.callers.filter(
    ({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < untilMs,
  );
  const share = (isCounted: (caller: CallerRecord) => boolean): number =>
    callers.filter(isCounted).length / callers.length;
  const isHeldInVain = ({ startedAtMs, endedAtMs, verdict }: TryRecord): boolean =>
    verdict !== 'answered' && endedAtMs - startedAtMs > HELD_MS;
  return {
    callers: callers.length,
    inTime: share(
      ({ answeredAtMs = Infinity, arrivedAtMs }) => answeredAtMs <= arrivedAtMs + TARGET_MS,
    ),
    served: share(
      ({ answeredAtMs = Infinity, arrivedAtMs }) =>
        answeredAtMs <= arrivedAtMs + CALLER_DEADLINE_MS,
    ),
    heldInVain: share(({ tries }) => tries.some(isHeldInVain)),
    triesPerCaller: callers.reduce((sum, { tries }) => sum + tries.length, 0) / callers.length,
  };
}
