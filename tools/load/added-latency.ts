/**
 * What nodes add to a call. Arrivals of one open loop take three ways in turn, so that all ways meet
 * the same machine at the same time: straight to the back end, over the node beside it, and over an
 * edge node and the node beside it.
 */
import type { Deployment } from '../demo/deployment.js';
import type { Fleet, NodeProcess } from '../demo/fleet.js';
import { CallClient, type CallTarget } from '../shared/call-client.js';
import { startOpenLoop } from '../shared/open-loop.js';
import { processUsage, type ProcessUsage } from '../shared/process-usage.js';
import { planCall, type CallShape } from './call-plan.js';
import { LatencySample, type LatencySummary } from './latency-sample.js';
import { withFleet } from './load-fleet.js';

/** Ways of a call, in the order in which arrivals take them. */
export const WAYS = ['straight', 'one node', 'two nodes'] as const;
export type Way = (typeof WAYS)[number];

const MAX_OUTSTANDING = 200;
const MAX_CONNECTIONS = 64;
/**
 * Calls before the measurement: nodes run for days, and their code is compiled by then. Each of the
 * processes has to see some thousands of calls for that.
 */
const WARM_UP_MS = 20_000;
const WARM_UP_RATE_PER_SECOND = 1_200;
const WARM_UP = { durationMs: WARM_UP_MS, ratePerSecond: WARM_UP_RATE_PER_SECOND };
const SERVICE = 'tiles';
const SHAPE: CallShape = { service: SERVICE, workMs: 2, answerBytes: 2_000, deadlineMs: 5_000 };

/** How to run it. */
export interface AddedLatencyOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly random: () => number;
  readonly progress: (text: string) => void;
}

/** What was measured. */
export interface AddedLatencyResult {
  readonly ratePerSecond: number;
  readonly ways: Readonly<Record<Way, LatencySummary>>;
  /** Calls without a whole answer, over all ways. */
  readonly failed: number;
  /** Processor time of all nodes for each call over a node, control plane included. */
  readonly cpuMsPerNodeCall: number;
  /** Largest resident memory of a node at the end, in bytes. */
  readonly maxNodeResidentBytes: number;
}

const DEPLOYMENT: Deployment = {
  name: 'added-latency',
  title: 'added latency',
  region: 'region-1',
  // One back end in each zone: a node prefers its zone, so the node beside a back end calls it.
  zones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
  services: [{ name: SERVICE, backends: 4 }],
  slots: 20,
  maxConnections: 130,
};

/** Runs the experiment on a fleet of its own. */
export function measureAddedLatency(options: AddedLatencyOptions): Promise<AddedLatencyResult> {
  return withFleet(DEPLOYMENT, async (fleet) => {
    options.progress('warming up');
    await runWays(fleet, { ...options, ...WARM_UP }, 'warm');
    options.progress(`measuring for ${options.durationMs / 1_000} s`);
    const cpuBefore = totalUsage(fleet);
    const { samples, failed } = await runWays(fleet, options, 'run');
    const cpuAfter = totalUsage(fleet);
    const ways = summaries(samples);
    const nodeCalls = ways['one node'].calls + ways['two nodes'].calls;
    return {
      ratePerSecond: options.ratePerSecond,
      ways,
      failed,
      cpuMsPerNodeCall: (cpuAfter.cpuMs - cpuBefore.cpuMs) / Math.max(1, nodeCalls),
      maxNodeResidentBytes: cpuAfter.maxResidentBytes,
    };
  });
}

async function runWays(
  fleet: Fleet,
  options: AddedLatencyOptions,
  name: string,
): Promise<{ samples: Record<Way, LatencySample>; failed: number }> {
  const client = new CallClient(MAX_CONNECTIONS);
  const targets = targetsByWay(fleet);
  const samples = Object.fromEntries(WAYS.map((way) => [way, new LatencySample()])) as Record<
    Way,
    LatencySample
  >;
  let failed = 0;
  const loop = startOpenLoop({
    ...options,
    maxOutstanding: MAX_OUTSTANDING,
    start: async (index, dueAtMs) => {
      const way = WAYS[index % WAYS.length] ?? 'straight';
      const target = pick(targets[way], options.random);
      const { end, contentFault } = await client.send(target, planCall(name, index, SHAPE));
      if (end.type === 'answered' && end.status === 200 && contentFault === undefined) {
        samples[way].record(performance.now() - dueAtMs);
      } else {
        failed += 1;
      }
    },
  });
  await loop.finished;
  client.close();
  return { samples, failed };
}

function targetsByWay(fleet: Fleet): Record<Way, readonly CallTarget[]> {
  const callers = (isEdge: boolean): CallTarget[] =>
    fleet.nodes.filter((node) => node.isEdge === isEdge).map((node) => node.caller);
  return {
    straight: fleet.backends.targets(),
    'one node': callers(false),
    'two nodes': callers(true),
  };
}

function totalUsage(fleet: Fleet): { cpuMs: number; maxResidentBytes: number } {
  const usages = fleet.nodes.flatMap((node) => usageOf(node));
  return {
    cpuMs: usages.reduce((sum, usage) => sum + usage.cpuMs, 0),
    maxResidentBytes: Math.max(...usages.map((usage) => usage.residentBytes)),
  };
}

/** Usage of a node that runs; nothing of one that has ended. */
function usageOf(node: NodeProcess): ProcessUsage[] {
  const usage = processUsage(node.child.processId ?? 0);
  return usage === undefined ? [] : [usage];
}

function summaries(samples: Record<Way, LatencySample>): Record<Way, LatencySummary> {
  return Object.fromEntries(WAYS.map((way) => [way, samples[way].summary()])) as Record<
    Way,
    LatencySummary
  >;
}

function pick<Item>(items: readonly Item[], random: () => number): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) {
    throw new RangeError('nothing to pick from');
  }
  return item;
}
