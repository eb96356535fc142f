/**
 * Distributes the requests of a route among its target services by weight (smooth weighted round robin), so that
 * the shares are exact even over few requests. Each node starts at a random position, so that the first requests of
 * many nodes do not all go to the target with the highest weight.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Route, RouteTarget } from '../model/resource.js';

/** Maximum number of turns that a node skips at its start: one full cycle of weights in percent. */
const MAX_SKIPPED_TURNS = 100;

/** Round-robin state of one route. */
interface RoundRobinState {
  readonly targets: readonly RouteTarget[];
  /** Credit of each target, in the order of `targets`; the target with the highest credit is next. */
  readonly credits: number[];
}

/** Selects the target service for the requests of each route. */
export class WeightedTargets {
  private readonly statesByRoute = new Map<string, RoundRobinState>();

  constructor(private readonly random: RandomSource) {}

  /** The service that receives the next request of `route`. */
  next(route: Route): string {
    const { targets, service } = route.spec;
    if (targets === undefined) {
      return service;
    }
    return this.advance(this.stateOf(route.name, targets)) ?? service;
  }

  /** The state of the route; reset when its targets change. */
  private stateOf(routeName: string, targets: readonly RouteTarget[]): RoundRobinState {
    const existing = this.statesByRoute.get(routeName);
    if (existing !== undefined && isSameTargets(existing.targets, targets)) {
      return existing;
    }
    const state = { targets, credits: targets.map(() => 0) };
    const skippedTurns = Math.floor(this.random() * MAX_SKIPPED_TURNS);
    for (let turn = 0; turn < skippedTurns; turn += 1) {
      this.advance(state);
    }
    this.statesByRoute.set(routeName, state);
    return state;
  }

  private advance({ targets, credits }: RoundRobinState): string | undefined {
    let totalWeight = 0;
    let bestIndex = -1;
    targets.forEach(({ weight }, index) => {
      const credit = (credits[index] ?? 0) + weight;
      credits[index] = credit;
      totalWeight += weight;
      if (weight > 0 && (bestIndex < 0 || credit > (credits[bestIndex] ?? 0))) {
        bestIndex = index;
      }
    });
    const best = targets[bestIndex];
    if (best !== undefined) {
      credits[bestIndex] = (credits[bestIndex] ?? 0) - totalWeight;
    }
    return best?.service;
  }
}

function isSameTargets(left: readonly RouteTarget[], right: readonly RouteTarget[]): boolean {
  return (
    left === right ||
    (left.length === right.length &&
      left.every(
        ({ service, weight }, index) =>
          right[index]?.service === service && right[index].weight === weight,
      ))
  );
}
