/**
 * The candidate that costs least, as a share of what an answer in time is worth: how likely its answer
 * is late, by what this node has measured of it for the same class of work and the requests that are
 * there, how likely it fails, and its distance, since a hop costs two nodes' time and bytes between
 * zones have a price.
 */
import type { RandomSource } from '../control/control-event.js';
import type {
  Candidate,
  ChoiceContext,
  EndpointStrategy,
  WorkProfile,
} from './endpoint-strategy.js';

/** Cost of an answer that is late. */
const LATE_COST = 0.7;
/** How sharply the chance of a late answer rises where the expected latency nears the target. */
const LATE_STEEPNESS = 6;
/** Cost of an expected latency as long as the target, besides the chance of being late. */
const LATENCY_COST = 0.08;
/** Cost of the way over another node: both nodes' processor time, besides the latency measured. */
export const DEFAULT_HOP_COST = 0.04;
/** Cost of the bytes to another zone. */
const ZONE_COST = 0.11;
/** Cost of the bytes to another region. */
const REGION_COST = 0.4;
/** Cost of an attempt that fails: it is lost, or made again out of the retry budget. */
const FAILURE_COST = 0.8;
/** Share of failures that costs nothing: single ones are no reason to leave the zone. */
const TOLERATED_FAILURE_SHARE = 0.1;
/** Load, as a share of the slots, from which a request is expected to wait. */
const WAITING_LOAD = 0.85;
/** Costs differ by this share at random, so that nodes that know the same choose differently. */
const JITTER = 0.1;

/** The strategy. */
export class LeastLatencyStrategy implements EndpointStrategy {
  constructor(
    private readonly random: RandomSource,
    private readonly hopCost = DEFAULT_HOP_COST,
  ) {}

  choose(
    candidates: readonly Candidate[],
    context: ChoiceContext,
    nowMs: number,
  ): Candidate | undefined {
    const { work } = context;
    if (work === undefined) {
      return candidates[0];
    }
    const fallbackMs = unmeasuredMs(candidates, work);
    let best: Candidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const expectedMs = this.expectedMs(candidate, work, fallbackMs, nowMs);
      const cost =
        latencyCost(expectedMs / work.targetLatencyMs) +
        distanceCost(candidate, context, this.hopCost) +
        failureCost(candidate.record.failureShare(nowMs));
      if (cost < bestCost) {
        bestCost = cost;
        best = candidate;
      }
    }
    return best;
  }

  private expectedMs(
    { endpoint, record }: Candidate,
    { workClass }: WorkProfile,
    fallbackMs: number,
    nowMs: number,
  ): number {
    const latencyMs = record.latencies.expectedMs(workClass, fallbackMs, nowMs);
    const { slots } = endpoint.spec;
    const waiting = Math.max(0, record.load(slots, nowMs) + 1 / slots - WAITING_LOAD);
    return (latencyMs + waiting * Math.max(1, latencyMs)) * (1 + JITTER * this.random());
  }
}

/**
 * What is expected of an endpoint of which nothing is known: the mean of what nodes told of the others,
 * so that it goes before those that are slower; the fastest measured where nothing was told.
 */
function unmeasuredMs(candidates: readonly Candidate[], { workClass }: WorkProfile): number {
  let fastestMs = Infinity;
  let toldMs = 0;
  let toldCount = 0;
  for (const { record } of candidates) {
    fastestMs = Math.min(fastestMs, record.latencies.lastMs(workClass) ?? Infinity);
    const told = record.latencies.lastToldMs(workClass);
    if (told !== undefined) {
      toldMs += told;
      toldCount += 1;
    }
  }
  if (toldCount > 0) {
    return toldMs / toldCount;
  }
  return Number.isFinite(fastestMs) ? fastestMs : 0;
}

/** `ratio` is the expected latency as a share of the target. */
function latencyCost(ratio: number): number {
  const lateChance = 1 / (1 + Math.exp(LATE_STEEPNESS * (1 - ratio)));
  return LATE_COST * lateChance + LATENCY_COST * ratio;
}

function failureCost(share: number): number {
  return FAILURE_COST * Math.max(0, share - TOLERATED_FAILURE_SHARE);
}

function distanceCost({ endpoint }: Candidate, context: ChoiceContext, costOfHop: number): number {
  const { machine, zone, region } = endpoint.spec;
  const hopCost = machine === undefined || machine === context.machineId ? 0 : costOfHop;
  if (zone === context.zone) {
    return hopCost;
  }
  return hopCost + (region === context.region ? ZONE_COST : REGION_COST);
}
