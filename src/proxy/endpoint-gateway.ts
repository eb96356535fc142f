/** The way to endpoints that this node reaches itself: a gate for each, kept up with configuration. */
import csp from 'js-csp';
import type { Channel, Instruction } from 'js-csp';
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import type { Attempt, AttemptObserver, Call, EndpointPath } from './call.js';
import { EndpointGate, type GateOptions } from './endpoint-gate.js';

/** How often gates are compared with the configuration, in milliseconds. */
const UPKEEP_INTERVAL_MS = 250;

/** What the gateway needs of its node. */
export interface EndpointGatewayOptions extends GateOptions {
  readonly snapshot: () => Snapshot | undefined;
  /** How many requests at once this node may send to an endpoint. */
  readonly slotsFor: (endpoint: Endpoint) => number;
}

/** The gates of one node. */
export class EndpointGateway implements EndpointPath {
  private readonly gates = new Map<string, EndpointGate>();

  constructor(private readonly options: EndpointGatewayOptions) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    return this.gateOf(endpoint).submit(call, observer);
  }

  /** Compares every gate with the configuration, and asks draining endpoints whether they still are. */
  upkeep(): void {
    const snapshot = this.options.snapshot();
    if (snapshot === undefined) {
      return;
    }
    for (const [key, gate] of this.gates) {
      const current = currentEndpoint(snapshot, gate.endpoint);
      if (current === undefined && gate.isIdle) {
        this.gates.delete(key);
        continue;
      }
      const isDraining = current?.spec.state !== 'active';
      gate.configure(this.options.slotsFor(current ?? gate.endpoint), isDraining);
      gate.probeDraining();
    }
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

/** Starts the process that keeps `gateway` up; closing the channel ends it. */
export function startUpkeep(gateway: EndpointGateway): Channel<boolean> {
  const closed: Channel<boolean> = csp.chan();
  csp.go(keepUp, [gateway, closed]);
  return closed;
}

function* keepUp(gateway: EndpointGateway, closed: Channel<boolean>): Generator<Instruction, void> {
  while (!closed.isClosed()) {
    yield csp.alts([closed, csp.timeout(UPKEEP_INTERVAL_MS)]);
    if (!closed.isClosed()) {
      gateway.upkeep();
    }
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
