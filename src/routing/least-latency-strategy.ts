/**
 * The candidate from which an answer is expected first, by what this node has measured of it for the
 * same class of work, the requests that are there, and the distance. Another zone has to be faster by
 * a part of the target latency, since its bytes cost more.
 */
import type { RandomSource } from '../control/control-event.js';
import type {
  Candidate,
  ChoiceContext,
  EndpointStrategy,
  WorkProfile,
} from './endpoint-strategy.js';

/** Part of the target latency by which another zone has to be faster. */
const ZONE_MARGIN = 0.25;
/** The same for another region. */
const REGION_MARGIN = 0.4;
/** Load, as a share of the slots, from which a request is expected to wait. */
const WAITING_LOAD = 0.85;
/** Costs differ by this share at random, so that nodes that know the same choose differently. */
const JITTER = 0.1;
/** Candidates that are compared at most. */
const MAX_COMPARED = 12;

/** The strategy. */
export class LeastLatencyStrategy implements EndpointStrategy {
  constructor(private readonly random: RandomSource) {}

  choose(
    candidates: readonly Candidate[],
    context: ChoiceContext,
    nowMs: number,
  ): Candidate | undefined {
    const { work } = context;
    if (work === undefined) {
      return candidates[0];
    }
    const compared = this.sample(candidates, context.zone);
    const fallbackMs = fastestKnown(compared, work);
    let best: Candidate | undefined;
    let bestCost = Infinity;
    for (const candidate of compared) {
      const expectedMs = this.expectedMs(candidate, work, fallbackMs, nowMs);
      const cost = expectedMs + distanceCost(candidate, context, work);
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

  /** All candidates where they are few; else some of the own zone and some of all. */
  private sample(candidates: readonly Candidate[], zone: string): readonly Candidate[] {
    if (candidates.length <= MAX_COMPARED) {
      return candidates;
    }
    const near = candidates.filter(({ endpoint }) => endpoint.spec.zone === zone);
    const half = MAX_COMPARED / 2;
    return [...this.pick(near, half), ...this.pick(candidates, half)];
  }

  private pick(candidates: readonly Candidate[], count: number): readonly Candidate[] {
    if (candidates.length <= count) {
      return candidates;
    }
    const start = Math.floor(this.random() * candidates.length);
    return Array.from({ length: count }, (_, index) => {
      const step = Math.floor((index * candidates.length) / count);
      return candidates[(start + step) % candidates.length];
    }).filter((candidate) => candidate !== undefined);
  }
}

function fastestKnown(candidates: readonly Candidate[], { workClass }: WorkProfile): number {
  let fastestMs = Infinity;
  for (const { record } of candidates) {
    fastestMs = Math.min(fastestMs, record.latencies.lastMs(workClass) ?? Infinity);
  }
  return Number.isFinite(fastestMs) ? fastestMs : 0;
}

function distanceCost(
  { endpoint }: Candidate,
  { zone, region }: ChoiceContext,
  { targetLatencyMs }: WorkProfile,
): number {
  if (endpoint.spec.zone === zone) {
    return 0;
  }
  return targetLatencyMs * (endpoint.spec.region === region ? ZONE_MARGIN : REGION_MARGIN);
}
