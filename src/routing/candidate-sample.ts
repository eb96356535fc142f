/**
 * Draws the endpoints that a choice compares, so that a choice costs the same however many endpoints a
 * service has: the one beside this node, some of the own zone, some of all. Pure: random numbers are
 * passed in.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Endpoint } from '../model/resource.js';

/** Endpoints that are compared at most, besides those on the node's own machine. */
export const MAX_COMPARED = 12;

/** The endpoints of one service, divided once for each list. */
interface DividedList {
  /** On the node's own machine: they need no hop, and the node knows their load exactly. */
  readonly beside: readonly Endpoint[];
  /** Of the node's zone. */
  readonly near: readonly Endpoint[];
  readonly all: readonly Endpoint[];
}

/** Where the node is that draws. */
export interface SamplePlace {
  readonly zone: string;
  readonly machineId?: string;
}

/** Draws for one node. */
export class CandidateSample {
  private readonly divided = new WeakMap<readonly Endpoint[], DividedList>();

  constructor(private readonly random: RandomSource) {}

  /** Some of the endpoints that `isUsable` takes: all of them where there are few, else a sample. */
  draw(
    endpoints: readonly Endpoint[],
    place: SamplePlace,
    isUsable: (endpoint: Endpoint) => boolean,
  ): Endpoint[] {
    if (endpoints.length <= MAX_COMPARED) {
      return endpoints.filter(isUsable);
    }
    const { beside, near, all } = this.divide(endpoints, place);
    const drawn = beside.filter(isUsable);
    for (const list of [near, all]) {
      drawn.push(
        ...this.pick(list, MAX_COMPARED / 2, (one) => !drawn.includes(one) && isUsable(one)),
      );
    }
    return drawn;
  }

  private divide(endpoints: readonly Endpoint[], place: SamplePlace): DividedList {
    let divided = this.divided.get(endpoints);
    if (divided === undefined) {
      const { zone, machineId } = place;
      divided = {
        beside: endpoints.filter(({ spec }) => spec.machine === (machineId ?? '')),
        near: endpoints.filter(({ spec }) => spec.zone === zone),
        all: endpoints,
      };
      this.divided.set(endpoints, divided);
    }
    return divided;
  }

  /** Walks the list from a random place in even steps; those that are skipped come last. */
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
