/**
 * Selects the less loaded of two random candidates (power of two choices). Prefers the node's zone until it is
 * nearly full, then the node's region.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Candidate, ChoiceContext, EndpointStrategy } from './endpoint-strategy.js';

/** Load, as a share of the slots, from which requests spill over to other zones. */
const SPILL_OVER_LOAD = 0.8;

/** Selects by zone and load. */
export class ZoneFirstStrategy implements EndpointStrategy {
  constructor(private readonly random: RandomSource) {}

  choose(
    candidates: readonly Candidate[],
    { zone, region }: ChoiceContext,
    nowMs: number,
  ): Candidate | undefined {
    const inZone = candidates.filter(({ endpoint }) => endpoint.spec.zone === zone);
    const zonal = this.chooseOfTwo(inZone, nowMs);
    if (zonal !== undefined && loadOf(zonal, nowMs) < SPILL_OVER_LOAD) {
      return zonal;
    }
    const inRegion = candidates.filter(({ endpoint }) => endpoint.spec.region === region);
    const regional = this.chooseOfTwo(inRegion, nowMs);
    if (regional !== undefined && loadOf(regional, nowMs) < SPILL_OVER_LOAD) {
      return regional;
    }
    return lessLoaded(this.chooseOfTwo(candidates, nowMs), zonal ?? regional, nowMs);
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
