/**
 * Selects the candidate with the lowest cost, expressed as a share of the value of a response in time. The cost
 * covers the probability of a late response, estimated from the latency of the same class of work and the requests
 * in flight; the probability of a failure; and the distance, since a hop takes processor time on two nodes and
 * traffic between zones is charged for.
 */
import type { RandomSource } from '../control/control-event.js';
import type {
  Candidate,
  ChoiceContext,
  EndpointStrategy,
  WorkProfile,
} from './endpoint-strategy.js';

/** Cost of a late response. */
const LATE_COST = 0.7;
/** Steepness with which the probability of a late response rises as the expected latency nears the target. */
const LATE_STEEPNESS = 6;
/** Cost of an expected latency equal to the target, in addition to the cost of a late response. */
const LATENCY_COST = 0.08;
/** Cost of a hop over another node: processor time on both nodes, in addition to the measured latency. */
export const DEFAULT_HOP_COST = 0.04;
/** Cost of the traffic to another zone. */
const ZONE_COST = 0.11;
/** Cost of the traffic to another region. */
const REGION_COST = 0.4;
/** Cost of a failed attempt: the request is lost or consumes retry budget. */
const FAILURE_COST = 0.8;
/** Failure share without cost, since single failures are no reason to leave the zone. */
const TOLERATED_FAILURE_SHARE = 0.1;
/** Load, as a share of the slots, above which requests are expected to wait. */
const WAITING_LOAD = 0.85;
/** Mean wait at an endpoint without a free slot, as a share of the latency. */
const WAIT_IF_FULL = 2;
/** Maximum share added at random to the expected latency, so that nodes with the same information choose differently. */
const JITTER = 0.1;

/** Selects by expected latency, failures and distance. */
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
    const fallbackMs = defaultLatencyMs(candidates, work);
    let best: Candidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const expectedMs = this.expectedMs(candidate, work, fallbackMs, context, nowMs);
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
    candidate: Candidate,
    { workClass }: WorkProfile,
    fallbackMs: number,
    context: ChoiceContext,
    nowMs: number,
  ): number {
    const latencyMs = candidate.record.expectedLatencyMs(workClass, fallbackMs, nowMs);
    const waiting = candidate.isAnnounced === true ? 0 : expectedWait(candidate, context, nowMs);
    return (latencyMs + waiting * Math.max(1, latencyMs)) * (1 + JITTER * this.random());
  }
}

/** Expected wait as a share of the latency. */
function expectedWait(
  { endpoint, record }: Candidate,
  { waitShare = 0 }: ChoiceContext,
  nowMs: number,
): number {
  const { slots } = endpoint.spec;
  const loadWithThis = record.load(slots, nowMs) + 1 / record.usableSlots(slots, nowMs);
  return Math.max(0, loadWithThis - WAITING_LOAD) + waitShare * WAIT_IF_FULL;
}

/**
 * Expected latency of an endpoint without any estimate: the mean of the values reported for the other candidates,
 * so that it is preferred to slower ones, or the lowest measured value if none was reported.
 */
function defaultLatencyMs(candidates: readonly Candidate[], { workClass }: WorkProfile): number {
  let fastestMs = Infinity;
  let reportedSumMs = 0;
  let reportedCount = 0;
  for (const { record } of candidates) {
    fastestMs = Math.min(fastestMs, record.latencies.lastMeasuredMs(workClass) ?? Infinity);
    const reportedMs = record.latencies.lastReportedMs(workClass);
    if (reportedMs !== undefined) {
      reportedSumMs += reportedMs;
      reportedCount += 1;
    }
  }
  if (reportedCount > 0) {
    return reportedSumMs / reportedCount;
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
