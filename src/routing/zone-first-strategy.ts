/**
 * Two random candidates, the less loaded wins; the own zone is preferred until it is nearly full,
 * then the own region.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Candidate, ChoiceContext, EndpointStrategy } from './endpoint-strategy.js';

/** Load from which requests spill over to other zones, as a share of the slots. */
const SPILL_OVER_LOAD = 0.8;

/** The strategy. */
export class ZoneFirstStrategy implements EndpointStrategy {
  constructor(private readonly random: RandomSource) {}

  choose(
    candidates: readonly Candidate[],
    { zone, region }: ChoiceContext,
    nowMs: number,
  ): Candidate | undefined {
    const near = candidates.filter(({ endpoint }) => endpoint.spec.zone === zone);
    const nearest = this.chooseOfTwo(near, nowMs);
    if (nearest !== undefined && loadOf(nearest, nowMs) < SPILL_OVER_LOAD) {
      return nearest;
    }
    const inRegion = candidates.filter(({ endpoint }) => endpoint.spec.region === region);
    const regional = this.chooseOfTwo(inRegion, nowMs);
    if (regional !== undefined && loadOf(regional, nowMs) < SPILL_OVER_LOAD) {
      return regional;
    }
    return lessLoaded(this.chooseOfTwo(candidates, nowMs), nearest ?? regional, nowMs);
  }

  private chooseOfTwo(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = Math.floor(this.random() * candidates.length);
    const step = 1 + Math.floor(this.random() * (candidates.length - 1));
    const second = (first + step) % candidates.length;
    return lessLoaded(candidates[first], candidates[second], nowMs);
  }
}

function lessLoaded(
  left: Candidate | undefined,
  right: Candidate | undefined,
  nowMs: number,
): Candidate | undefined {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return loadOf(right, nowMs) < loadOf(left, nowMs) ? right : left;
}

function loadOf({ endpoint, record }: Candidate, nowMs: number): number {
  return record.load(endpoint.spec.slots, nowMs);
}
