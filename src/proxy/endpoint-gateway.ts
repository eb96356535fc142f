/** The way to endpoints that this node reaches itself: a gate for each, kept up with configuration. */
import type { BodyArrival } from '../admission/endpoint-admission.js';
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import type { Attempt, AttemptObserver, Call, LoadReport } from './call.js';
import { EndpointGate, type GateOptions } from './endpoint-gate.js';
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
}

/** The gates of one node. */
export class EndpointGateway implements OwnedEndpoints {
  private readonly gates = new Map<string, EndpointGate>();
  /** The configuration that each gate was last compared with. */
  private readonly configuredFrom = new WeakMap<EndpointGate, Snapshot>();
  private looks = 0;

  constructor(private readonly options: EndpointGatewayOptions) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const gate = this.gateOf(endpoint);
    this.configure(gate);
    return gate.submit(call, observer);
  }

  reserve(endpoint: Endpoint, call: Call, arrival: BodyArrival): RequestError | undefined {
    const gate = this.gateOf(endpoint);
    this.configure(gate);
    return gate.reserve(call, arrival);
  }

  unreserve(endpoint: Endpoint, call: Call): void {
    this.gates.get(endpointKey(endpoint))?.unreserve(call);
  }

  load(endpoint: Endpoint, workClass: string): LoadReport {
    return this.gateOf(endpoint).load(workClass);
  }

  /** Requests that wait or run, of all endpoints. */
  get inFlight(): number {
    return [...this.gates.values()].reduce((sum, gate) => sum + gate.inFlight, 0);
  }

  /** Requests that wait at this node for a slot of the endpoint. */
  waitingFor(endpoint: Endpoint): number {
    return this.gates.get(endpointKey(endpoint))?.waitingCount ?? 0;
  }

  /** To be called several times a second. */
  look(): void {
    this.looks += 1;
    if (this.looks % LOOKS_TO_UPKEEP === 0) {
      this.upkeep();
    }
  }

  /** Compares every gate with the configuration, and asks draining endpoints whether they still are. */
  upkeep(): void {
    const snapshot = this.options.snapshot();
    if (snapshot === undefined) {
      return;
    }
    for (const [key, gate] of this.gates) {
      if (gate.isIdle && currentEndpoint(snapshot, gate.endpoint) === undefined) {
        this.gates.delete(key);
        continue;
      }
      this.configure(gate);
      gate.probeDraining();
    }
  }

  /** Compares a gate with the configuration; an endpoint that is gone from it drains. */
  private configure(gate: EndpointGate): void {
    const snapshot = this.options.snapshot();
    if (snapshot === undefined) {
      return;
    }
    if (this.configuredFrom.get(gate) !== snapshot) {
      this.configuredFrom.set(gate, snapshot);
      gate.configureDraining(currentEndpoint(snapshot, gate.endpoint)?.spec.state !== 'active');
    }
    gate.configureSlots(this.options.slotsFor(gate.endpoint));
  }

  private gateOf(endpoint: Endpoint): EndpointGate {
    const key = endpointKey(endpoint);
    let gate = this.gates.get(key);
    if (gate === undefined) {
      gate = new EndpointGate(endpoint, this.options.slotsFor(endpoint), this.options);
      this.gates.set(key, gate);
    }
    return gate;
  }
}

function currentEndpoint(snapshot: Snapshot, endpoint: Endpoint): Endpoint | undefined {
  const key = endpointKey(endpoint);
  const peers = snapshot.endpointsByService.get(endpoint.spec.service) ?? [];
  return peers.find((peer) => endpointKey(peer) === key);
}

function endpointKey(endpoint: Endpoint): string {
  return `${endpoint.name} ${endpoint.spec.address}:${endpoint.spec.port}`;
}
