/** What the requests of a node share: choice of endpoints, ways to them, budgets. */
import { NO_CONTAINMENT, type CallContainment } from '../containment/containment.js';
import type { CounterSink, RandomSource } from '../control/control-event.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import { coldShare, orphanSlots, ownedSlots, sharedSlots } from '../routing/direct-access.js';
import { EndpointSelector } from '../routing/endpoint-selector.js';
import { RetryBudget } from '../routing/retry-budget.js';
import { trialEndpoints } from '../routing/trial-endpoint.js';
import type { RouteMatch } from '../routing/route-table.js';
import { WeightedTargets } from '../routing/weighted-targets.js';
import type { MemberStatus } from '../wire/message.js';
import { AwaitedAttempts } from './awaited-attempts.js';
import type { EndpointPath } from './call.js';
import type { ProxyLimits } from './proxy-limits.js';
import type { RelayAddress } from './relay/relay-client.js';
import { NO_REQUEST_LOG, type RequestLog } from './request-log.js';
import { workProfileOf } from './request-work.js';
import type { Scheduler } from './scheduler.js';

/** Part of the fleet's saved retries that is dealt out to the nodes that are known. */
const SAVED_RETRIES_SHARE = 0.9;

/** What the node knows of its peers. */
export interface MemberDirectory {
  status(machineId: string): MemberStatus | 'unknown';
  relayAddress(machineId: string): RelayAddress | undefined;
  /** Members not known to be dead, this node among them. */
  count(): number;
  /** The machine's node answered, if only with a refusal. */
  heard?(machineId: string): void;
}

/** Parts that the requests of a node share. */
export interface RequestServicesOptions {
  readonly identity: PeerIdentity;
  readonly members: MemberDirectory;
  /** The configuration in force; requests see the endpoints that they began with when absent. */
  readonly snapshots?: { current(): Snapshot | undefined };
  readonly counters: CounterSink;
  readonly random: RandomSource;
  readonly scheduler: Scheduler;
  readonly requestLog?: RequestLog;
  /** What is known of requests under which endpoints ended; nothing is known when absent. */
  readonly containment?: CallContainment;
  readonly limits: ProxyLimits;
  /** Cost of the way over another node in the choice of an endpoint; the default when absent. */
  readonly hopCost?: number;
  /** Gets how long each request was held that was told an error, in milliseconds. */
  readonly onFailureMs?: (ms: number) => void;
  /** Whether the node is in a planned stop. */
  readonly isStopping?: () => boolean;
  /** The way to endpoints that this node reaches itself. */
  readonly direct: EndpointPath;
  /** The way over the node beside the endpoint. */
  readonly relay: EndpointPath;
}

/** Shared by the requests of one node. */
export class RequestServices {
  readonly selector: EndpointSelector;
  readonly awaited = new AwaitedAttempts();
  readonly limits: ProxyLimits;
  readonly counters: CounterSink;
  readonly random: RandomSource;
  readonly scheduler: Scheduler;
  readonly machineId: string;
  readonly requestLog: RequestLog;
  readonly targets: WeightedTargets;
  readonly containment: CallContainment;
  readonly isStopping: () => boolean;
  readonly onFailureMs: (ms: number) => void;
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RequestServicesOptions) {
    this.selector = new EndpointSelector(options.random, options.hopCost);
    this.targets = new WeightedTargets(options.random);
    this.requestLog = options.requestLog ?? NO_REQUEST_LOG;
    this.containment = options.containment ?? NO_CONTAINMENT;
    this.limits = options.limits;
    this.isStopping = options.isStopping ?? (() => false);
    this.onFailureMs = options.onFailureMs ?? (() => undefined);
    this.counters = options.counters;
    this.random = options.random;
    this.scheduler = options.scheduler;
    this.machineId = options.identity.id;
  }

  /**
   * The endpoint for the next attempt, or undefined. A request on `trial`, by its fingerprint, gets the
   * same one at every node.
   */
  chooseEndpoint(
    snapshot: Snapshot,
    match: RouteMatch,
    tried: ReadonlySet<string>,
    isLate: boolean,
    trial?: string,
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
    const endpoints = trial === undefined ? all : trialEndpoints(all, trial, tried);
    return this.selector.choose(endpoints, context, this.scheduler.now());
  }

  /**
   * A request keeps its routes, but an attempt is made at an endpoint that exists by then: one that has
   * started again may get what it has not run.
   */
  endpointsOf(snapshot: Snapshot, service: string): readonly Endpoint[] {
    const current = this.options.snapshots?.current();
    const { endpointsByService } = current?.services.has(service) === true ? current : snapshot;
    return endpointsByService.get(service) ?? [];
  }

  /** The way to an endpoint, or undefined when it may get no new work from this node. */
  pathTo(endpoint: Endpoint): EndpointPath | undefined {
    const { machine } = endpoint.spec;
    if (machine === undefined || machine === this.machineId) {
      return this.options.direct;
    }
    const { members } = this.options;
    const status = members.status(machine);
    if (status === 'leaving') {
      return undefined;
    }
    if (status !== 'dead' && members.relayAddress(machine) !== undefined) {
      return this.options.relay;
    }
    return this.slotsFor(endpoint) > 0 ? this.options.direct : undefined;
  }

  /** Requests at once that this node may send to an endpoint itself. */
  slotsFor(endpoint: Endpoint): number {
    const { machine } = endpoint.spec;
    if (machine === this.machineId) {
      return ownedSlots(endpoint);
    }
    const nodeCount = this.options.members.count();
    return machine === undefined
      ? sharedSlots(endpoint, nodeCount)
      : orphanSlots(endpoint, this.machineId, nodeCount);
  }

  /** Which part of what a cold endpoint bears this node may send. */
  coldShareFor(endpoint: Endpoint): number {
    return coldShare(endpoint, this.machineId, this.options.members.count());
  }

  /** This node's part of the retries that may be saved up; a tenth is kept for nodes that join. */
  private savedRetries(): number {
    const { maxSavedRetries, fleetSavedRetries = Infinity } = this.limits;
    const share = (fleetSavedRetries * SAVED_RETRIES_SHARE) / this.options.members.count();
    return Math.min(maxSavedRetries, Math.max(1, Math.floor(share)));
  }

  /** The machine whose node an attempt goes over; undefined for the endpoints beside this node. */
  relayMachineOf({ spec }: Endpoint): string | undefined {
    return spec.machine === this.machineId ? undefined : spec.machine;
  }

  /** The machine's node answered. */
  heard(machineId: string): void {
    this.options.members.heard?.(machineId);
  }

  retryBudgetOf(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.savedRetries());
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
