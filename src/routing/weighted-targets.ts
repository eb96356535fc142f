/**
 * Divides the requests of a route among its target services by weight (smooth weighted round robin),
 * so that the shares are exact over any few requests. Each node starts at a random place, so that the
 * first requests of many nodes do not all go to the heaviest target.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Route, RouteTarget } from '../model/resource.js';

/** Turns that a node skips at its start, at most: as many as weights in percent need to come round. */
const MAX_SKIPPED_TURNS = 100;

/** The turn of each target of one route. */
interface RouteTurns {
  readonly targets: readonly RouteTarget[];
  /** Credit of each target, in the order of `targets`; the highest is next. */
  readonly credits: number[];
}

/** The turns of all routes that divide their requests. */
export class WeightedTargets {
  private readonly turnsOfRoutes = new Map<string, RouteTurns>();

  constructor(private readonly random: RandomSource) {}

  /** The service that gets the next request of `route`. */
  next(route: Route): string {
    const { targets, service } = route.spec;
    if (targets === undefined) {
      return service;
    }
    return this.advance(this.turnsOf(route.name, targets)) ?? service;
  }

  /** Turns start anew when the targets of a route change. */
  private turnsOf(routeName: string, targets: readonly RouteTarget[]): RouteTurns {
    const known = this.turnsOfRoutes.get(routeName);
    if (known !== undefined && isSameTargets(known.targets, targets)) {
      return known;
    }
    const turns = { targets, credits: targets.map(() => 0) };
    const skippedTurns = Math.floor(this.random() * MAX_SKIPPED_TURNS);
    for (let turn = 0; turn < skippedTurns; turn += 1) {
      this.advance(turns);
    }
    this.turnsOfRoutes.set(routeName, turns);
    return turns;
  }

  private advance({ targets, credits }: RouteTurns): string | undefined {
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
