/** Entries of endpoints and evacuations of zones as the platform lists them, and their way to the nodes. */
import type { RandomSource } from '../../src/control/control-event.js';
import { resourceSchema, type Endpoint, type Resource } from '../../src/model/resource.js';
import {
  buildSnapshot,
  NO_SNAPSHOT_VERSION,
  withEndpoints,
  type Snapshot,
} from '../../src/model/snapshot.js';
import type { VirtualScheduler } from '../emulator/virtual-scheduler.js';

/** What changes in the entry of an endpoint. */
export interface EntryChange {
  /** When the endpoint's process started. */
  readonly bornAtMs?: number;
  /** For how long the endpoint is cold from now on. */
  readonly coldForMs: number;
}

/** What the entries need of the fleet. */
export interface EntriesOptions {
  /** Parsed services and routes. */
  readonly resources: readonly Resource[];
  readonly endpoints: readonly Endpoint[];
  readonly clock: VirtualScheduler;
  readonly random: RandomSource;
  /** Longest time until a node knows of a change, in milliseconds. */
  readonly maxDelayMs: number;
  /** Hands a snapshot to each node, by its own call of `deliver`. */
  readonly forEachNode: (deliver: (learn: (snapshot: Snapshot) => void) => void) => void;
}

/** The platform's list. */
export class EmulatedEntries {
  private readonly base: Snapshot;
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly evacuatedZones = new Set<string>();
  current: Snapshot;

  constructor(private readonly options: EntriesOptions) {
    this.base = buildSnapshot(NO_SNAPSHOT_VERSION, options.resources);
    options.endpoints.forEach((endpoint) => this.endpoints.set(endpoint.name, endpoint));
    this.current = this.build();
  }

  change(name: string, change: EntryChange): void {
    const { spec } = this.endpointOf(name);
    const raw = { kind: 'endpoint', name, spec: { ...spec, ...change } };
    this.endpoints.set(name, resourceSchema.parse(raw) as Endpoint);
    this.publish();
  }

  evacuate(zone: string): void {
    this.evacuatedZones.add(zone);
    this.publish();
  }

  takeBack(zone: string): void {
    this.evacuatedZones.delete(zone);
    this.publish();
  }

  endpointOf(name: string): Endpoint {
    const endpoint = this.endpoints.get(name);
    if (endpoint === undefined) {
      throw new RangeError(`there is no endpoint ${name}`);
    }
    return endpoint;
  }

  /** Each node learns of it after a time of its own. A later snapshot that arrives first is not undone. */
  private publish(): void {
    const snapshot = this.build();
    this.current = snapshot;
    const { clock, random, maxDelayMs, forEachNode } = this.options;
    forEachNode((learn) => {
      clock.schedule(clock.nowMs + random() * maxDelayMs, { run: () => learn(snapshot) });
    });
  }

  private build(): Snapshot {
    return withEndpoints(this.base, {
      endpoints: [...this.endpoints.values()],
      evacuatedZones: new Set(this.evacuatedZones),
    });
  }
}
