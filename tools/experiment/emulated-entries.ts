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

/** A snapshot with its number; later ones have higher numbers. */
export interface PublishedSnapshot {
  readonly number: number;
  readonly snapshot: Snapshot;
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
  /** Calls `deliver` for each node with a function that hands it a snapshot. */
  readonly forEachNode: (deliver: (learn: (published: PublishedSnapshot) => void) => void) => void;
}

/** The platform's list. */
export class EmulatedEntries {
  private readonly base: Snapshot;
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly evacuatedZones = new Set<string>();
  current: PublishedSnapshot;

  constructor(private readonly options: EntriesOptions) {
    this.base = buildSnapshot(NO_SNAPSHOT_VERSION, options.resources);
    options.endpoints.forEach((endpoint) => this.endpoints.set(endpoint.name, endpoint));
    this.current = { number: 0, snapshot: this.build() };
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

  /** Each node learns of it after a time of its own, so that a later snapshot may arrive first. */
  private publish(): void {
    const published = { number: this.current.number + 1, snapshot: this.build() };
    this.current = published;
    const { clock, random, maxDelayMs, forEachNode } = this.options;
    forEachNode((learn) => {
      clock.schedule(clock.nowMs + random() * maxDelayMs, { run: () => learn(published) });
    });
  }

  private build(): Snapshot {
    return withEndpoints(this.base, {
      endpoints: [...this.endpoints.values()],
      evacuatedZones: new Set(this.evacuatedZones),
    });
  }
}
