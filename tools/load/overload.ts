/**
 * Goodput at and beyond capacity: calls answered whole within their deadline, for each second. The
 * same arrivals are offered three ways, one after the other, at each multiple of the capacity:
 *
 * - `nodes`: through edge nodes.
 * - `round robin`: straight to the back ends in turn, without limits.
 * - `queue`: straight to the back ends by a dispatcher that knows the free slots and keeps one
 *   first-come-first-served queue without bound or regard for deadlines.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from '../demo/deployment.js';
import type { Fleet } from '../demo/fleet.js';
import { CallClient, type CallRequest, type CallResult } from '../shared/call-client.js';
import { startOpenLoop } from '../shared/open-loop.js';
import { planCall, type CallShape } from './call-plan.js';
import { FirstComeQueue } from './first-come-queue.js';
import { LatencySample, type LatencySummary } from './latency-sample.js';
import { withFleet } from './load-fleet.js';

/** Ways of offering the load. */
export const POLICIES = ['nodes', 'round robin', 'queue'] as const;
export type Policy = (typeof POLICIES)[number];
/** Offered load as multiples of the capacity. */
export const LOAD_FACTORS: readonly number[] = [0.8, 1, 1.2, 2];

const SERVICE = 'bookings';
const BACKENDS = 3;
const SLOTS = 10;
const SHAPE: CallShape = { service: SERVICE, workMs: 50, answerBytes: 500, deadlineMs: 500 };
/** Calls a second that the back ends can run. */
const CAPACITY = (BACKENDS * SLOTS * 1_000) / SHAPE.workMs;
const MAX_OUTSTANDING = 5_000;
const MAX_CONNECTIONS = 110;
/** Pause between runs, so that what waits of one run is over before the next, in milliseconds. */
const REST_MS = 2_500;
const WARM_UP_MS = 3_000;

const DEPLOYMENT: Deployment = {
  name: 'overload',
  title: 'overload',
  region: 'region-1',
  zones: ['zone-a', 'zone-b', 'zone-c'],
  services: [{ name: SERVICE, backends: BACKENDS }],
  slots: SLOTS,
  maxConnections: 120,
};

/** How to run it. */
export interface OverloadOptions {
  readonly durationMs: number;
  readonly random: () => number;
  readonly progress: (text: string) => void;
}

/** One policy at one load. */
export interface OverloadResult {
  readonly policy: Policy;
  /** Offered load as a multiple of the capacity. */
  readonly factor: number;
  readonly offeredPerSecond: number;
  /** Calls answered whole within their deadline, for each second. */
  readonly goodputPerSecond: number;
  /** Calls told "not run". */
  readonly refused: number;
  /** Calls answered late, in doubt or not at all. */
  readonly failed: number;
  readonly served: LatencySummary;
  /** Time until a refusal reached its caller. */
  readonly refusals: LatencySummary;
}

/** Sends one call the policy's way. */
type Sender = (call: CallRequest) => Promise<CallResult>;

/** Runs all policies at all loads on one fleet. */
export function measureOverload(options: OverloadOptions): Promise<OverloadResult[]> {
  return withFleet(DEPLOYMENT, async (fleet) => {
    const client = new CallClient(MAX_CONNECTIONS);
    const results: OverloadResult[] = [];
    options.progress('warming up');
    for (const policy of POLICIES) {
      const warmUp = { ...options, durationMs: WARM_UP_MS };
      await offer(policy, 0.5, senderOf(policy, fleet, client), warmUp);
    }
    for (const factor of LOAD_FACTORS) {
      for (const policy of POLICIES) {
        options.progress(`${policy} at ${factor} times ${CAPACITY} calls/s`);
        results.push(await offer(policy, factor, senderOf(policy, fleet, client), options));
        await delay(REST_MS);
      }
    }
    client.close();
    return results;
  });
}

async function offer(
  policy: Policy,
  factor: number,
  send: Sender,
  options: OverloadOptions,
): Promise<OverloadResult> {
  const served = new LatencySample();
  const refusals = new LatencySample();
  let failed = 0;
  const loop = startOpenLoop({
    ratePerSecond: CAPACITY * factor,
    durationMs: options.durationMs,
    maxOutstanding: MAX_OUTSTANDING,
    random: options.random,
    start: async (index, dueAtMs) => {
      const { end } = await send(planCall(`${policy}-${factor}`, index, SHAPE));
      const latencyMs = performance.now() - dueAtMs;
      const isAnswered = end.type === 'answered';
      if (isAnswered && end.status === 200 && latencyMs <= SHAPE.deadlineMs) {
        served.record(latencyMs);
      } else if (isAnswered && (end.verdict === 'not-run' || end.status === 503)) {
        refusals.record(latencyMs);
      } else {
        failed += 1;
      }
    },
  });
  const { dropped } = await loop.finished;
  const good = served.summary();
  return {
    policy,
    factor,
    offeredPerSecond: CAPACITY * factor,
    goodputPerSecond: (good.calls * 1_000) / options.durationMs,
    refused: refusals.summary().calls,
    failed: failed + dropped,
    served: good,
    refusals: refusals.summary(),
  };
}

function senderOf(policy: Policy, fleet: Fleet, client: CallClient): Sender {
  const edges = fleet.nodes.filter((node) => node.isEdge).map((node) => node.caller);
  const backends = fleet.backends.targets();
  switch (policy) {
    case 'nodes':
      return inTurn(edges, (target, call) => client.send(target, call));
    case 'round robin':
      return inTurn(backends, (target, call) => client.send(target, call));
    case 'queue': {
      const queue = new FirstComeQueue(backends, SLOTS);
      return (call) => queue.run((target) => client.send(target, call));
    }
  }
}

function inTurn<Target>(
  targets: readonly Target[],
  send: (target: Target, call: CallRequest) => Promise<CallResult>,
): Sender {
  let next = 0;
  return (call) => {
    const target = targets[next % targets.length];
    next += 1;
    if (target === undefined) {
      throw new RangeError('there is no target');
    }
    return send(target, call);
  };
}
