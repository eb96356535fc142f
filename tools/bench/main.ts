/** `npm run bench`: what the single parts of a node's work cost in processor time. */
import { setTimeout as delay } from 'node:timers/promises';
import meow from 'meow';
import { seededRandom } from '../emulator/seeded-random.js';
import { startOpenLoop } from '../shared/open-loop.js';
import { BenchFleet, REAL_NODES, RECEIVER, SENDER, type FleetSize } from './bench-fleet.js';
import { choiceUs, configurationUs, endpointChangeUs } from './decision-figures.js';
import { deliveryFigures, fanOutMs } from './delivery-figures.js';

const cli = meow(
  `
  Usage
    $ npm run bench -- [options]

  Options
    --endpoints  Endpoints that the store lists (default 195)
    --routes     Routes of the configuration (default 600)
    --seconds    Length of each phase (default 10)
    --starts     Starts that are measured (default 9)
    --delivery   Print only what a configuration that grows costs on its way
    --program    First file of the bundled program (default target/start.cjs)

  Three nodes as processes, and a store that lists a whole fleet. Figures of single nodes are means of
  their processor time in all threads; those of a start are medians.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      endpoints: { type: 'number', default: 195 },
      routes: { type: 'number', default: 600 },
      seconds: { type: 'number', default: 10 },
      delivery: { type: 'boolean', default: false },
      starts: { type: 'number', default: 9 },
      program: { type: 'string', default: 'target/start.cjs' },
    },
  },
);

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
/** Longer than changes are gathered for, so that each is applied on its own. */
const CHANGE_GAP_MS = 300;
const REQUESTS_PER_SECOND = 40;
const MAX_OUTSTANDING = 100;
const WARM_UP_SECONDS = 5;
/** Time after a start in which a node settles, in milliseconds. */
const SETTLE_MS = 2_000;

const ADDED_ROUTES = [100, 300, 1_000, 3_000, 10_000];
const BYTES_PER_KB = 1_000;
/** 7 Mbit/s, the thinnest link that users have. */
const THIN_LINK_BYTES_PER_S = 875_000;

interface PhaseResult {
  /** Processor time of each node in the phase, in milliseconds. */
  readonly nodesMs: readonly number[];
  readonly lengthMs: number;
}

async function main(): Promise<void> {
  const { endpoints, routes, seconds, starts, program, delivery } = cli.flags;
  if (delivery) {
    printDelivery();
    return;
  }
  const size = { endpoints, routes };
  const fleet = await BenchFleet.start(`127.${1 + (process.pid % 200)}.7`, program, size);
  try {
    const startMs: number[] = [];
    for (let count = 0; count < starts; count += 1) {
      startMs.push(await fleet.measureStart());
    }
    print('start, to the configuration in force', median(startMs) * US_PER_MS);
    await delay(SETTLE_MS);
    await printPhases(fleet, seconds * MS_PER_SECOND);
  } finally {
    await fleet.close();
  }
  printDecisions(size);
}

function printDelivery(): void {
  process.stdout.write(
    'routes added, KB plain, KB told, ms encode, decode, build, ms to eight on 7 Mbit/s\n',
  );
  for (const added of ADDED_ROUTES) {
    const { plainBytes, toldBytes, encodeMs, decodeMs, buildMs } = deliveryFigures(added);
    const bytes = [plainBytes / BYTES_PER_KB, toldBytes / BYTES_PER_KB];
    const times = [encodeMs, decodeMs, buildMs, fanOutMs(toldBytes, THIN_LINK_BYTES_PER_S)];
    process.stdout.write(`${[added, ...bytes.map(round), ...times.map(round)].join(', ')}\n`);
  }
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}

async function printPhases(fleet: BenchFleet, lengthMs: number): Promise<void> {
  const idle = await measure(fleet, () => delay(lengthMs));
  print('an idle second', (mean(idle.nodesMs) / idle.lengthMs) * MS_PER_SECOND * US_PER_MS);
  const count = Math.floor(lengthMs / CHANGE_GAP_MS);
  const changes = await measure(fleet, () => repeat(count, () => fleet.changeEndpoint()));
  print('a change of one endpoint', beyondUs(mean, changes, idle, count));
  const updates = await measure(fleet, () => repeat(count, () => fleet.changeConfiguration()));
  print('a change of the configuration', beyondUs(mean, updates, idle, count));
  let served = 0;
  const load = (durationMs: number) => async () => {
    served = await request(fleet, durationMs);
  };
  const cold = await measure(fleet, load(WARM_UP_SECONDS * MS_PER_SECOND));
  printRelayed('in the first seconds', cold, idle, served);
  const warm = await measure(fleet, load(lengthMs));
  printRelayed('later', warm, idle, served);
}

function printRelayed(when: string, load: PhaseResult, idle: PhaseResult, served: number): void {
  const at = (node: number) => (nodesMs: readonly number[]) => nodesMs[node] ?? 0;
  print(`a relayed request, at its sender, ${when}`, beyondUs(at(SENDER), load, idle, served));
  print(`a relayed request, at its receiver, ${when}`, beyondUs(at(RECEIVER), load, idle, served));
}

function printDecisions(size: FleetSize): void {
  print('warm: snapshot after a change of one endpoint', endpointChangeUs(size));
  print('warm: snapshot after a change of the configuration', configurationUs(size));
  print('warm: choice of an endpoint, and its outcome', choiceUs(size));
}

async function measure(fleet: BenchFleet, act: () => Promise<unknown>): Promise<PhaseResult> {
  const beganAtMs = performance.now();
  const before = fleet.processorMs();
  await act();
  const after = fleet.processorMs();
  const nodesMs = Array.from(
    { length: REAL_NODES },
    (_, idx) => (after[idx] ?? 0) - (before[idx] ?? 0),
  );
  return { nodesMs, lengthMs: performance.now() - beganAtMs };
}

/** Microseconds for each of `count` events, without what an idle node spends in the same time. */
function beyondUs(
  pick: (nodesMs: readonly number[]) => number,
  { nodesMs, lengthMs }: PhaseResult,
  idle: PhaseResult,
  count: number,
): number {
  const idleMs = (pick(idle.nodesMs) * lengthMs) / idle.lengthMs;
  return ((pick(nodesMs) - idleMs) * US_PER_MS) / Math.max(1, count);
}

async function repeat(count: number, act: () => void): Promise<void> {
  for (let idx = 0; idx < count; idx += 1) {
    act();
    await delay(CHANGE_GAP_MS);
  }
}

async function request(fleet: BenchFleet, durationMs: number): Promise<number> {
  const { started } = await startOpenLoop({
    ratePerSecond: REQUESTS_PER_SECOND,
    durationMs,
    maxOutstanding: MAX_OUTSTANDING,
    random: seededRandom(1),
    start: () => fleet.request().then(() => undefined),
  }).finished;
  return started;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function print(what: string, us: number): void {
  process.stdout.write(`${us.toFixed(us < 100 ? 1 : 0).padStart(9)} us  ${what}\n`);
}

await main();
