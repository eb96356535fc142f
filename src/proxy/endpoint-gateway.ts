/** The path to endpoints that this node reaches directly: one gate for each, kept in sync with the configuration. */
import type { BodyArrival } from '../admission/endpoint-admission.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import type { Attempt, AttemptObserver, Call, LoadReport } from './call.js';
import { EndpointGate, type GateOptions } from './endpoint-gate.js';
import type { EndpointGateConfig } from './endpoint-gate-config.js';
import type { RateLimitUse } from './gate-statements.js';
import type { OwnedEndpoints } from './relay/relayed-request.js';
import type { AnnouncementReceiver } from './slot-announcements.js';
import type { RequestError } from './request-error.js';
import type { SlotListener, SlotOffer } from './waiting/slot-offer.js';

/**
 * Ticks between two reconciliations of the gates with the configuration. An arriving request reconciles its own gate
 * at once, so this interval only affects queued requests.
 */
const TICKS_PER_RECONCILIATION = 3;

/** Options of the gateway, provided by its node. */
export interface EndpointGatewayOptions extends GateOptions {
  readonly snapshot: () => Snapshot | undefined;
  /** Maximum number of concurrent requests that this node may send to an endpoint. */
  readonly slotsFor: (endpoint: Endpoint) => number;
  /** Share of a cold endpoint's request limit that this node may use; the full limit when absent. */
  readonly coldShareFor?: (endpoint: Endpoint) => number;
  /** Share of the endpoint's own rate limit that this node may use; the full limit when absent. */
  readonly rateShareFor?: (endpoint: Endpoint) => number;
}

/** The gates of one node. */
export class EndpointGateway implements OwnedEndpoints {
  /** By incarnation; gates of earlier incarnations are kept while they have requests. */
  private readonly gates = new Map<string, EndpointGate>();
  /** Maps the gates of earlier incarnations to the gate of the current one. */
  private readonly successors = new WeakMap<EndpointGate, EndpointGate>();
  /** The configuration that each gate was last reconciled with. */
  private readonly lastSnapshots = new WeakMap<EndpointGate, Snapshot>();
  private readonly startedAtMs: number;
  private ticks = 0;

  constructor(private readonly options: EndpointGatewayOptions) {
    this.startedAtMs = options.scheduler.now();
  }

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    return this.currentGate(endpoint).submit(call, observer);
  }

  reserve(endpoint: Endpoint, call: Call, arrival: BodyArrival): RequestError | undefined {
    return this.currentGate(endpoint).reserve(call, arrival);
  }

  unreserve(endpoint: Endpoint, call: Call): void {
    this.currentGate(endpoint).unreserve(call);
  }

  rateLimitReported(endpoint: Endpoint, maxRatePerS: number): void {
    this.currentGate(endpoint).applyReportedRateLimit(maxRatePerS);
  }

  senderSeen(endpoint: Endpoint, sender: AnnouncementReceiver): void {
    this.currentGate(endpoint).senderSeen(sender);
  }

  slotDeclined({ offerId, service, endpoint }: SlotOffer, listener: SlotListener): void {
    for (const gate of this.gates.values()) {
      const { name, spec } = gate.endpoint;
      if (name === endpoint && spec.service === service) {
        gate.slotDeclined(offerId, listener);
      }
    }
  }

  /** The connection to a node whose requests may wait for slots has ended. */
  listenerGone(listener: SlotListener): void {
    this.gates.forEach((gate) => gate.removeListener(listener));
  }

  load(endpoint: Endpoint, workClass: string): LoadReport {
    return this.currentGate(endpoint).load(workClass);
  }

  /** The number of gates. */
  get size(): number {
    return this.gates.size;
  }

  /** The number of requests that are queued or running at all gates. */
  get inFlight(): number {
    return [...this.gates.values()].reduce((sum, gate) => sum + gate.inFlight, 0);
  }

  /** The number of endpoints that are cold, to the knowledge of this node. */
  get coldCount(): number {
    return [...this.gates.values()].filter(({ isCold }) => isCold).length;
  }

  /** The number of slots, over all gates, that long work leaves free for more urgent work. */
  get headroomSlots(): number {
    return [...this.gates.values()].reduce((sum, gate) => sum + gate.headroomSlots, 0);
  }

  /** The number of requests that wait at this node for a slot of the endpoint. */
  waitingFor(endpoint: Endpoint): number {
    return this.gates.get(incarnationOf(endpoint))?.waitingCount ?? 0;
  }

  /** How much of the endpoint's rate limit this node uses. */
  rateLimitUseOf(endpoint: Endpoint): RateLimitUse {
    const gate = this.gates.get(incarnationOf(endpoint));
    return gate?.rateLimitUse ?? { recentlySent: 0, refused: 0 };
  }

  /** To be called several times a second. */
  tick(): void {
    this.ticks += 1;
    this.gates.forEach((gate) => gate.announceFreeSlots());
    this.gates.forEach((gate) => gate.offerFreeSlots());
    if (this.ticks % TICKS_PER_RECONCILIATION === 0) {
      this.reconcile();
    }
  }

  /**
   * Applies the configuration of the endpoints on this machine. Their gates are created now, since the configured cold
   * period counts from now, not from the first request.
   */
  configureLocal(endpoints: Iterable<Endpoint>): void {
    for (const endpoint of endpoints) {
      this.currentGate(endpoint);
    }
    this.reconcile();
  }

  /** Reconciles every gate with the configuration, and asks draining endpoints whether they still are. */
  reconcile(): void {
    const snapshot = this.options.snapshot();
    if (snapshot === undefined) {
      return;
    }
    for (const [key, gate] of this.gates) {
      this.configure(gate);
      if (gate.isDroppable && currentEndpoint(snapshot, gate.endpoint) === undefined) {
        this.gates.delete(key);
      } else {
        gate.probeDraining();
      }
    }
  }

  /** The gate for requests to the endpoint; after a restart, the gate of its new incarnation. */
  private currentGate(endpoint: Endpoint): EndpointGate {
    const gate = this.gateOf(endpoint);
    this.configure(gate);
    return this.successors.get(gate) ?? gate;
  }

  /** Reconciles a gate with the configuration; a removed endpoint is drained. */
  private configure(gate: EndpointGate): void {
    const snapshot = this.options.snapshot();
    if (snapshot === undefined) {
      return;
    }
    if (this.lastSnapshots.get(gate) !== snapshot) {
      this.lastSnapshots.set(gate, snapshot);
      this.updateSuccessors(snapshot, gate);
    }
    gate.configure(this.configOf(snapshot, gate));
  }

  /** The configuration of a gate; the endpoint entry of a superseded incarnation no longer changes. */
  private configOf(snapshot: Snapshot, gate: EndpointGate): EndpointGateConfig {
    const { endpoint } = gate;
    const isSuperseded = this.successors.has(gate);
    const { slotsFor, coldShareFor, rateShareFor } = this.options;
    const { service } = endpoint.spec;
    return {
      endpoint: isSuperseded ? endpoint : endpointOnSameMachine(snapshot, endpoint),
      slots: slotsFor(endpoint),
      coldStart: snapshot.services.get(service)?.spec.coldStart,
      coldShare: coldShareFor?.(endpoint) ?? 1,
      rateShare: rateShareFor?.(endpoint) ?? 1,
    };
  }

  private updateSuccessors(snapshot: Snapshot, gate: EndpointGate): void {
    const named = endpointByName(snapshot, gate.endpoint);
    if (named === undefined || named.spec.machine !== gate.endpoint.spec.machine) {
      return;
    }
    if (incarnationOf(named) === incarnationOf(gate.endpoint)) {
      this.supersedeOthers(gate);
    } else {
      const successor = this.gateOf(named);
      this.configure(successor);
      this.supersedeOthers(successor);
    }
  }

  /** Moves the queued requests of earlier incarnations to this gate, which has no requests yet. */
  private supersedeOthers(gate: EndpointGate): void {
    const { name, spec } = gate.endpoint;
    this.successors.delete(gate);
    for (const other of this.gates.values()) {
      const isSame = other.endpoint.name === name && other.endpoint.spec.machine === spec.machine;
      if (isSame && other !== gate && this.successors.get(other) !== gate) {
        this.successors.set(other, gate);
        this.options.logStateChange('endpoint', `${name} has restarted`);
        other.handOver(gate);
      }
    }
  }

  private gateOf(endpoint: Endpoint): EndpointGate {
    const key = incarnationOf(endpoint);
    let gate = this.gates.get(key);
    if (gate === undefined) {
      gate = new EndpointGate(
        endpoint,
        this.options.slotsFor(endpoint),
        this.options,
        this.startedAtMs,
      );
      this.gates.set(key, gate);
    }
    return gate;
  }
}

function currentEndpoint(snapshot: Snapshot, endpoint: Endpoint): Endpoint | undefined {
  const named = endpointByName(snapshot, endpoint);
  return named && incarnationOf(named) === incarnationOf(endpoint) ? named : undefined;
}

/** The configured endpoint if it is still on the same machine. */
function endpointOnSameMachine(snapshot: Snapshot, endpoint: Endpoint): Endpoint | undefined {
  const current = currentEndpoint(snapshot, endpoint);
  return current?.spec.machine === endpoint.spec.machine ? current : undefined;
}

function endpointByName(snapshot: Snapshot, { name, spec }: Endpoint): Endpoint | undefined {
  return snapshot.endpointsByService.get(spec.service)?.find((peer) => peer.name === name);
}
