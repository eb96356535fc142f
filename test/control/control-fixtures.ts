/** Counters, random numbers, identities and documents for tests of the control plane. */
import type { CounterSink } from '../../src/control/control-event.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { canonicalJson } from '../../src/model/canonical-json.js';
import type { Machine } from '../../src/model/machine.js';

export class MapCounters implements CounterSink {
  readonly values = new Map<string, number>();

  add(name: string, by = 1): void {
    this.values.set(name, this.get(name) + by);
  }

  get(name: string): number {
    return this.values.get(name) ?? 0;
  }
}

/** Seeded generator of numbers in [0, 1) (mulberry32). */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Identity of node `index` in the given zone and region. */
export function identityOf(index: number, zone = 'zone-a', region = 'region-1'): PeerIdentity {
  return {
    id: `machine-${index}`,
    incarnation: 1_000,
    address: `10.0.${index >> 8}.${index & 255}`,
    controlPort: 7_000,
    relayPort: 7_001,
    zone,
    region,
  };
}

/** Entry of a node in the machine list of the platform. */
export function machineOf(identity: PeerIdentity, state: Machine['state'] = 'live'): Machine {
  const { id, address, controlPort, relayPort, zone, region } = identity;
  const seniority = Number(id.split('-')[1]);
  return { id, address, controlPort, relayPort, zone, region, seniority, state };
}

/**
 * Values of a source document with one service and `padding` additional services with long names.
 */
export function sourceValues(timeoutMs: number, padding = 0): Map<string, string> {
  const values = new Map<string, string>();
  const service = (name: string, requestTimeoutMs: number): void => {
    const spec = { requestTimeoutMs, retryBudgetPercent: 20 };
    values.set(`service/${name}`, canonicalJson({ kind: 'service', name, spec }));
  };
  service('tiles', timeoutMs);
  for (let index = 0; index < padding; index += 1) {
    service(`service-${index}-${'x'.repeat(60)}`, 1_000);
  }
  return values;
}
