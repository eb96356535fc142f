/** State and services shared by the requests of a node: endpoint selection, endpoint paths, retry budgets. */
import { NO_CONTAINMENT, type CallContainment } from '../containment/containment.js';
import type { CounterSink, RandomSource } from '../control/control-event.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import { AdaptiveThrottle } from '../routing/adaptive-throttle.js';
import { coldShare, orphanSlots, ownedSlots, sharedSlots } from '../routing/direct-access.js';
import { EndpointSelector } from '../routing/endpoint-selector.js';
import { EndpointStatements } from '../routing/endpoint-statements.js';
import { LimitedSenders } from '../routing/limited-senders.js';
import { RetryBudget, type RetryWindow } from '../routing/retry-budget.js';
import { trialEndpoints } from '../routing/trial-endpoint.js';
import type { RouteMatch } from '../routing/route-table.js';
import { WeightedTargets } from '../routing/weighted-targets.js';
import type { MemberStatus } from '../wire/message.js';
import { AwaitedAttempts } from './awaited-attempts.js';
import type { EndpointPath } from './call.js';
import { FaultShares } from './fault-shares.js';
import type { ProxyLimits } from './proxy-limits.js';
import type { RelayAddress } from './relay/relay-client.js';
import { NO_REQUEST_LOG, type RequestLog } from './request-log.js';
import type { RequestTimes } from './request-times.js';
import { workProfileOf } from './request-work.js';
import type { Scheduler } from './scheduler.js';
import { UnservedRequests } from './unserved-requests.js';
import { CapacityOutlook } from './waiting/capacity-outlook.js';
import type { SlotListener, SlotOffer } from './waiting/slot-offer.js';
import { WaitingRequests } from './waiting/waiting-requests.js';

/** Share of the fleet's saved retries that is divided among the known nodes. */
const SAVED_RETRIES_SHARE = 0.9;

/** What the node knows about its peers. */
export interface MemberDirectory {
  status(machineId: string): MemberStatus | 'unknown';
  relayAddress(machineId: string): RelayAddress | undefined;
  /** Number of members not known to be dead, including this node. */
  count(): number;
  /** Machines of the members not known to be dead, with or without this node. */
  machineIds(): Iterable<string>;
  /** Records a response of the machine's node, even if it is only a refusal. */
  recordResponse?(machineId: string): void;
}

/** Dependencies and settings of {@link RequestServices}. */
export interface RequestServicesOptions {
  readonly identity: PeerIdentity;
  readonly members: MemberDirectory;
  /** The current configuration; if absent, requests use the endpoints of the configuration that they started with. */
  readonly snapshots?: { current(): Snapshot | undefined };
  readonly counters: CounterSink;
  readonly random: RandomSource;
  readonly scheduler: Scheduler;
  /** What endpoints have stated about themselves; empty if absent. */
  readonly statements?: EndpointStatements;
  readonly requestLog?: RequestLog;
  /** Tracks requests during which endpoint processes ended; not tracked if absent. */
  readonly containment?: CallContainment;
  readonly limits: ProxyLimits;
  /** Cost of a relay hop in endpoint selection; the default if absent. */
  readonly hopCost?: number;
  /** Receives the time until an error was reported for each failed request, in milliseconds. */
  readonly onFailureMs?: (ms: number) => void;
  /** Receives the times of each answer that missed the target latency of its route. */
  readonly onLateAnswer?: (service: string, times: RequestTimes) => void;
  /** Whether the node is in a planned stop; never if absent. */
  readonly isStopping?: () => boolean;
  /** Longest time for which input may be unread, in milliseconds; 0 if absent. */
  readonly maxUnreadMs?: () => number;
  /** Runs the action once the process has read what had arrived; at once if it is on time, or if absent. */
  readonly whenInputRead?: (action: () => void) => void;
  /** Path to endpoints that this node connects to directly. */
  readonly direct: EndpointPath;
  /** Path through the node that owns the endpoint. */
  readonly relay: EndpointPath;
}

export class RequestServices {
  readonly selector: EndpointSelector;
  readonly awaited = new AwaitedAttempts();
  readonly unserved = new UnservedRequests();
  readonly faultShares = new FaultShares();
  readonly throttle: AdaptiveThrottle;
  /** Requests of this node's callers that wait for a slot. */
  readonly waiting: WaitingRequests;
  readonly outlook = new CapacityOutlook();
  /** Receives the slots that this node offers to itself. */
  readonly slotListener: SlotListener = {
    slotOffered: (offer) => void this.scheduler.schedule(0, () => this.useOwnOffer(offer)),
  };
  readonly limits: ProxyLimits;
  readonly counters: CounterSink;
  readonly random: RandomSource;
  readonly scheduler: Scheduler;
  readonly machineId: string;
  readonly requestLog: RequestLog;
  readonly targets: WeightedTargets;
  readonly statements: EndpointStatements;
  readonly containment: CallContainment;
  readonly isStopping: () => boolean;
  readonly onFailureMs: (ms: number) => void;
  readonly onLateAnswer: (service: string, times: RequestTimes) => void;
  readonly maxUnreadMs: () => number;
  readonly whenInputRead: (action: () => void) => void;
  private readonly limitedSenders: LimitedSenders;
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RequestServicesOptions) {
    this.selector = new EndpointSelector(options.random, options.hopCost, options.counters);
    this.targets = new WeightedTargets(options.random);
    this.requestLog = options.requestLog ?? NO_REQUEST_LOG;
    this.containment = options.containment ?? NO_CONTAINMENT;
    this.limits = options.limits;
    this.isStopping = options.isStopping ?? (() => false);
    this.onFailureMs = options.onFailureMs ?? (() => undefined);
    this.onLateAnswer = options.onLateAnswer ?? (() => undefined);
    this.maxUnreadMs = options.maxUnreadMs ?? (() => 0);
    this.whenInputRead = options.whenInputRead ?? ((action) => action());
    this.counters = options.counters;
    this.random = options.random;
    this.throttle = new AdaptiveThrottle(options.random);
    this.scheduler = options.scheduler;
    this.waiting = new WaitingRequests(options.limits);
    this.machineId = options.identity.id;
    this.statements = options.statements ?? new EndpointStatements();
    this.limitedSenders = new LimitedSenders(this.machineId, () => options.members.machineIds());
  }

  /**
   * Chooses the endpoint for the next attempt; undefined if there is none. With `trialFingerprint`, every node chooses
   * the same endpoint for the request.
   */
  chooseEndpoint(
    snapshot: Snapshot,
    match: RouteMatch,
    tried: ReadonlySet<string>,
    isLate: boolean,
    trialFingerprint?: string,
  ): Endpoint | undefined {
    const { zone, region } = this.options.identity;
    const context = {
      zone,
      region,
      machineId: this.machineId,
      tried,
      repeatable: match.repeatable,
      work: workProfileOf(match.route, isLate),
      mayReceive: (endpoint: Endpoint) => this.pathTo(endpoint) !== undefined,
    };
    const all = this.endpointsOf(snapshot, match.service);
    const endpoints =
      trialFingerprint === undefined ? all : trialEndpoints(all, trialFingerprint, tried);
    return this.selector.choose(endpoints, context, this.scheduler.now());
  }

  /**
   * Returns the endpoints of the current configuration, although a request keeps the routes that it started with: an
   * endpoint that has restarted in the meantime can then get requests that it has not run.
   */
  endpointsOf(snapshot: Snapshot, service: string): readonly Endpoint[] {
    const current = this.options.snapshots?.current();
    const { endpointsByService } = current?.services.has(service) === true ? current : snapshot;
    return endpointsByService.get(service) ?? [];
  }

  /** Returns the path to an endpoint, or undefined if this node may not send it new requests. */
  pathTo(endpoint: Endpoint): EndpointPath | undefined {
    if (this.statements.of(endpoint).isLeaving) {
      return undefined;
    }
    const { machine } = endpoint.spec;
    if (machine === this.machineId) {
      return this.options.direct;
    }
    if (machine === undefined) {
      return this.directPathTo(endpoint);
    }
    const { members } = this.options;
    const status = members.status(machine);
    if (status === 'leaving') {
      return undefined;
    }
    if (status !== 'dead' && members.relayAddress(machine) !== undefined) {
      return this.options.relay;
    }
    return this.directPathTo(endpoint);
  }

  private directPathTo(endpoint: Endpoint): EndpointPath | undefined {
    return this.slotsFor(endpoint) > 0 ? this.options.direct : undefined;
  }

  /** Number of concurrent requests that this node may send to an endpoint directly. */
  slotsFor(endpoint: Endpoint): number {
    const { machine } = endpoint.spec;
    if (machine === this.machineId) {
      return ownedSlots(endpoint);
    }
    const nodeCount = this.options.members.count();
    if (this.statements.of(endpoint).isLimited) {
      return this.rateShareFor(endpoint) > 0 ? sharedSlots(endpoint, nodeCount) : 0;
    }
    return machine === undefined
      ? sharedSlots(endpoint, nodeCount)
      : orphanSlots(endpoint, this.machineId, nodeCount);
  }

  /** Uses a slot that the owner of an endpoint offers; returns false if no request waits for it. */
  useOffer(offer: SlotOffer): boolean {
    return this.waiting.useOffer(offer, this.scheduler.now());
  }

  private useOwnOffer(offer: SlotOffer): void {
    if (!this.useOffer(offer)) {
      this.options.direct.slotDeclined?.(offer, this.slotListener);
    }
  }

  /** This node's share of the rate limit that the endpoint has stated, from 0 to 1. */
  rateShareFor(endpoint: Endpoint): number {
    const { maxRatePerS = Infinity } = this.statements.of(endpoint);
    return maxRatePerS === Infinity
      ? 1
      : this.limitedSenders.shareOf(endpoint, maxRatePerS, this.scheduler.now());
  }

  /** Rate limit of the endpoint, in requests per second; undefined if this node knows none. */
  rateLimitOf(endpoint: Endpoint): number | undefined {
    const { isLimited, maxRatePerS } = this.statements.of(endpoint);
    return isLimited ? maxRatePerS : undefined;
  }

  /** This node's share of the load that a cold endpoint can handle, from 0 to 1. */
  coldShareFor(endpoint: Endpoint): number {
    return coldShare(endpoint, this.machineId, this.options.members.count());
  }

  /** This node's share of the retries that may be saved up; a tenth of the total is reserved for nodes that join. */
  private savedRetries(): number {
    const { maxSavedRetries, fleetSavedRetries = Infinity } = this.limits;
    const share = (fleetSavedRetries * SAVED_RETRIES_SHARE) / this.options.members.count();
    return Math.min(maxSavedRetries, Math.max(1, Math.floor(share)));
  }

  private retryWindow(): RetryWindow | undefined {
    const { retryWindowMs } = this.limits;
    if (retryWindowMs === undefined) {
      return undefined;
    }
    // A node that loses sight of others must not take a larger share.
    let maxExtra = this.savedRetries();
    return {
      lengthMs: retryWindowMs,
      nowMs: () => this.scheduler.now(),
      maxExtra: () => {
        maxExtra = Math.min(maxExtra, this.savedRetries());
        return maxExtra;
      },
    };
  }

  /** The machine whose node relays attempts to the endpoint; undefined for endpoints on this node's machine. */
  relayMachineOf({ spec }: Endpoint): string | undefined {
    return spec.machine === this.machineId ? undefined : spec.machine;
  }

  recordResponse(machineId: string): void {
    this.options.members.recordResponse?.(machineId);
  }

  retryBudgetOf(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.savedRetries(), this.retryWindow(), () =>
        this.counters.add('ferryspool_retry_budget_exhausted_total'),
      );
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
