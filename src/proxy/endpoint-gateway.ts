/** The way to endpoints that this node reaches itself: a gate for each, kept up with configuration. */
import type { BodyArrival } from '../admission/endpoint-admission.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import type { Attempt, AttemptObserver, Call, LoadReport } from './call.js';
import { EndpointGate, type GateOptions } from './endpoint-gate.js';
import type { EndpointTerms } from './endpoint-terms.js';
import type { OwnedEndpoints } from './relay/relayed-request.js';
import type { RequestError } from './request-error.js';

/**
 * Looks from one comparison of the gates with the configuration to the next. A request that arrives compares
 * its own gate at once, so this is only for those that wait.
 */
const LOOKS_TO_UPKEEP = 3;

/** What the gateway needs of its node. */
export interface EndpointGatewayOptions extends GateOptions {
  readonly snapshot: () => Snapshot | undefined;
  /** How many requests at once this node may send to an endpoint. */
  readonly slotsFor: (endpoint: Endpoint) => number;
  /** Which part of what a cold endpoint bears this node may send; all of it when absent. */
  readonly coldShareFor?: (endpoint: Endpoint) => number;
}

/** The gates of one node. */
export class EndpointGateway implements OwnedEndpoints {
  /** By incarnation; those of earlier ones stay while something of them is under way. */
  private readonly gates = new Map<string, EndpointGate>();
  /** The gates of the incarnations in force, by those of earlier ones. */
  private readonly successors = new WeakMap<EndpointGate, EndpointGate>();
  /** The configuration that each gate was last compared with. */
  private readonly configuredFrom = new WeakMap<EndpointGate, Snapshot>();
  private readonly startedAtMs: number;
  private looks = 0;

  constructor(private readonly options: EndpointGatewayOptions) {
    this.startedAtMs = options.scheduler.now();
  }

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    return this.gateInForce(endpoint).submit(call, observer);
  }

  reserve(endpoint: Endpoint, call: Call, arrival: BodyArrival): RequestError | undefined {
    return this.gateInForce(endpoint).reserve(call, arrival);
  }

  unreserve(endpoint: Endpoint, call: Call): void {
    this.gateInForce(endpoint).unreserve(call);
  }

  load(endpoint: Endpoint, workClass: string): LoadReport {
    return this.gateInForce(endpoint).load(workClass);
  }

  /** Endpoints of which something is kept. */
  get size(): number {
    return this.gates.size;
  }

  /** Requests that wait or run, of all endpoints. */
  get inFlight(): number {
    return [...this.gates.values()].reduce((sum, gate) => sum + gate.inFlight, 0);
  }

  /** Endpoints that are cold, as far as this node knows. */
  get coldCount(): number {
    return [...this.gates.values()].filter(({ isCold }) => isCold).length;
  }

  /** Requests that wait at this node for a slot of the endpoint. */
  waitingFor(endpoint: Endpoint): number {
    return this.gates.get(incarnationOf(endpoint))?.waitingCount ?? 0;
  }

  /** To be called several times a second. */
  look(): void {
    this.looks += 1;
    if (this.looks % LOOKS_TO_UPKEEP === 0) {
      this.upkeep();
    }
  }

  /**
   * The endpoints beside this node, as the configuration has them from now on: for how long one is cold is told
   * as of now, whenever its first request comes.
   */
  takeOwn(endpoints: Iterable<Endpoint>): void {
    for (const endpoint of endpoints) {
      this.gateInForce(endpoint);
    }
    this.upkeep();
  }

  /** Compares every gate with the configuration, and asks draining endpoints whether they still are. */
  upkeep(): void {
    const snapshot = this.options.snapshot();
    if (snapshot === undefined) {
      return;
    }
    for (const [key, gate] of this.gates) {
      this.configure(gate);
      if (gate.isIdle && currentEndpoint(snapshot, gate.endpoint) === undefined) {
        this.gates.delete(key);
      } else {
        gate.probeDraining();
      }
    }
  }

  /** The gate for what is meant for the endpoint; that of its new incarnation where it has started again. */
  private gateInForce(endpoint: Endpoint): EndpointGate {
    const gate = this.gateOf(endpoint);
    this.configure(gate);
    return this.successors.get(gate) ?? gate;
  }

  /** Compares a gate with the configuration; an endpoint that is gone from it drains. */
  private configure(gate: EndpointGate): void {
    const snapshot = this.options.snapshot();
    if (snapshot === undefined) {
      return;
    }
    if (this.configuredFrom.get(gate) !== snapshot) {
      this.configuredFrom.set(gate, snapshot);
      this.configureFrom(snapshot, gate);
    }
    gate.configure(this.termsOf(snapshot, gate));
  }

  /** What a gate was told of an incarnation that has been succeeded stays as it is. */
  private termsOf(snapshot: Snapshot, gate: EndpointGate): EndpointTerms {
    const { endpoint } = gate;
    const isSucceeded = this.successors.has(gate);
    const { slotsFor, coldShareFor } = this.options;
    const { service } = endpoint.spec;
    return {
      endpoint: isSucceeded ? endpoint : placedEndpoint(snapshot, endpoint),
      slots: slotsFor(endpoint),
      coldStart: snapshot.services.get(service)?.spec.coldStart,
      coldShare: coldShareFor?.(endpoint) ?? 1,
    };
  }

  private configureFrom(snapshot: Snapshot, gate: EndpointGate): void {
    const named = namedAlike(snapshot, gate.endpoint);
    if (named === undefined || named.spec.machine !== gate.endpoint.spec.machine) {
      return;
    }
    if (incarnationOf(named) === incarnationOf(gate.endpoint)) {
      this.succeedOthers(gate);
    } else {
      const successor = this.gateOf(named);
      this.configure(successor);
      this.succeedOthers(successor);
    }
  }

  /** What waits for earlier incarnations waits for this one, which holds nothing yet. */
  private succeedOthers(gate: EndpointGate): void {
    const { name, spec } = gate.endpoint;
    this.successors.delete(gate);
    for (const other of this.gates.values()) {
      const isSame = other.endpoint.name === name && other.endpoint.spec.machine === spec.machine;
      if (isSame && other !== gate && this.successors.get(other) !== gate) {
        this.successors.set(other, gate);
        this.options.logStateChange('endpoint', `${name} has started again`);
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
  const named = namedAlike(snapshot, endpoint);
  return named && incarnationOf(named) === incarnationOf(endpoint) ? named : undefined;
}

/** The endpoint where it is still beside the same node. */
function placedEndpoint(snapshot: Snapshot, endpoint: Endpoint): Endpoint | undefined {
  const current = currentEndpoint(snapshot, endpoint);
  return current?.spec.machine === endpoint.spec.machine ? current : undefined;
}

function namedAlike(snapshot: Snapshot, { name, spec }: Endpoint): Endpoint | undefined {
  return snapshot.endpointsByService.get(spec.service)?.find((peer) => peer.name === name);
}
