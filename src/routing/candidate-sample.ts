/**
 * Samples the endpoints that a selection compares, so that its cost does not grow with the number of endpoints of
 * a service: those on the node's machine, some of the node's zone, and some of all. Pure: random numbers are passed
 * in.
 */
import type { RandomSource } from '../control/control-event.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';

/** Maximum number of sampled endpoints, besides those on the node's machine. */
export const MAX_SAMPLED = 12;

/** The endpoints of one service, partitioned once for each list. */
interface PartitionedEndpoints {
  /** On the node's machine: they need no hop, and the node knows their load exactly. */
  readonly local: readonly Endpoint[];
  /** In the node's zone. */
  readonly sameZone: readonly Endpoint[];
  readonly all: readonly Endpoint[];
  readonly byIncarnation: ReadonlyMap<string, Endpoint>;
}

/** Location of the node. */
export interface SampleLocation {
  readonly zone: string;
  readonly machineId?: string;
}

/** Samples endpoints for one node. */
export class CandidateSample {
  private readonly partitionedLists = new WeakMap<readonly Endpoint[], PartitionedEndpoints>();

  constructor(private readonly random: RandomSource) {}

  /** Endpoints that `isUsable` accepts: all of them if the service has few endpoints, otherwise a sample. */
  draw(
    endpoints: readonly Endpoint[],
    location: SampleLocation,
    isUsable: (endpoint: Endpoint) => boolean,
  ): Endpoint[] {
    if (endpoints.length <= MAX_SAMPLED) {
      return endpoints.filter(isUsable);
    }
    const { local, sameZone, all } = this.partition(endpoints, location);
    const drawn = local.filter(isUsable);
    for (const list of [sameZone, all]) {
      drawn.push(
        ...this.pick(list, MAX_SAMPLED / 2, (one) => !drawn.includes(one) && isUsable(one)),
      );
    }
    return drawn;
  }

  /** The endpoint of the list; undefined if it is not in it. */
  find(
    endpoints: readonly Endpoint[],
    incarnation: string,
    location: SampleLocation,
  ): Endpoint | undefined {
    return this.partition(endpoints, location).byIncarnation.get(incarnation);
  }

  private partition(
    endpoints: readonly Endpoint[],
    location: SampleLocation,
  ): PartitionedEndpoints {
    let partitioned = this.partitionedLists.get(endpoints);
    if (partitioned === undefined) {
      const { zone, machineId } = location;
      partitioned = {
        local: endpoints.filter(({ spec }) => spec.machine === (machineId ?? '')),
        sameZone: endpoints.filter(({ spec }) => spec.zone === zone),
        all: endpoints,
        byIncarnation: new Map(endpoints.map((one) => [incarnationOf(one), one])),
      };
      this.partitionedLists.set(endpoints, partitioned);
    }
    return partitioned;
  }

  /** Walks the list from a random index in even steps; skipped endpoints are visited in later passes. */
  private pick(
    endpoints: readonly Endpoint[],
    count: number,
    isUsable: (endpoint: Endpoint) => boolean,
  ): Endpoint[] {
    const picked: Endpoint[] = [];
    const start = Math.floor(this.random() * endpoints.length);
    const stride = Math.max(1, Math.floor(endpoints.length / count));
    for (let offset = 0; offset < stride; offset += 1) {
      for (let step = offset; step < endpoints.length; step += stride) {
        const endpoint = endpoints[(start + step) % endpoints.length];
        if (endpoint !== undefined && isUsable(endpoint)) {
          picked.push(endpoint);
          if (picked.length === count) {
            return picked;
          }
        }
      }
    }
    return picked;
  }
}
