/** `npm run faults`: a deployment as real processes under traffic and a seeded schedule of failures. */
import meow from 'meow';
import { randomBytes, randomInt } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { DEPLOYMENTS } from '../demo/deployment.js';
import { planFleet } from '../demo/fleet-plan.js';
import { Fleet } from '../demo/fleet.js';
import { findBroken } from './fault-checks.js';
import { formatTable } from './fault-report.js';
import { runFaults, type FaultTrace } from './fault-run.js';
import { planFaults } from './fault-schedule.js';

const FLEET_KEY_BYTES = 24;
const BACKEND_DRAIN_MS = 1_500;
/** Time beyond the failures after which the run is given up, in milliseconds. */
const WATCHDOG_MARGIN_MS = 120_000;
/** The default lease of a node, in milliseconds. */
const LEASE_DURATION_MS = 6_000;

const cli = meow(
  `
  Usage
    $ npm run faults -- [options]

  Options
    --deployment  solano or parkhaven (default parkhaven)
    --seconds     Time for which failures go on (default 90)
    --rate        Calls a second (default 100)
    --trace       File for calls, executions and absences as JSON, for a closer look
    --seed        Seed of the failures and of the callers' random choices (default 1)

  Starts platform, back ends and nodes on loopback addresses and kills, freezes and stops them, and
  fails the platform, several at once, while configurations are published and callers call. Then
  compares what callers were told with what the back ends ran.
  Exit code: 0 when every promise held, 1 when one broke, 2 when it could not be run.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      deployment: {
        type: 'string',
        choices: DEPLOYMENTS.map(({ name }) => name),
        default: 'parkhaven',
      },
      seconds: { type: 'number', default: 90 },
      rate: { type: 'number', default: 100 },
      seed: { type: 'number', default: 1 },
      trace: { type: 'string' },
    },
  },
);

const startedAtMs = performance.now();
let runningFleet: Fleet | undefined;

function print(text: string): void {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
  process.stdout.write(`${seconds.padStart(6)} s  ${text}\n`);
}

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function writeTrace(trace: FaultTrace): void {
  if (cli.flags.trace !== undefined) {
    writeFileSync(cli.flags.trace, JSON.stringify(trace));
  }
}

async function main(): Promise<number> {
  const { seed, seconds, rate } = cli.flags;
  const deployment = DEPLOYMENTS.find(({ name }) => name === cli.flags.deployment);
  if (deployment === undefined) {
    throw new Error('no such deployment');
  }
  const network = `127.${randomInt(16, 255)}.${randomInt(1, 255)}`;
  const plan = planFleet(deployment, network, randomBytes(FLEET_KEY_BYTES).toString('hex'));
  const schedule = planFaults({
    durationMs: seconds * 1_000,
    leaseDurationMs: LEASE_DURATION_MS,
    nodes: plan.machines.map(({ machine }) => machine.id),
    backends: plan.machines
      .filter(({ service }) => service !== undefined)
      .map(({ machine }) => machine.id),
    random: randomOf(seed),
  });
  const fleet = new Fleet(plan, { printLedgers: true, backendDrainMs: BACKEND_DRAIN_MS });
  runningFleet = fleet;
  const random = randomOf(seed + 1);
  const options = { seed, schedule, ratePerSecond: rate, random, say: print, trace: writeTrace };
  try {
    const result = await runFaults(fleet, options);
    process.stdout.write(`\n${formatTable(result)}\n\n`);
    const broken = findBroken(result);
    broken.forEach((text) => process.stdout.write(`BROKEN  ${text}\n`));
    process.stdout.write(broken.length === 0 ? 'Every promise held.\n' : '');
    return broken.length === 0 ? 0 : 1;
  } finally {
    await fleet.end();
  }
}

process.once('exit', () => runningFleet?.killAll());
process.once('SIGINT', () => process.exit(2));
process.once('SIGTERM', () => process.exit(2));
setTimeout(
  () => {
    process.stderr.write('the run took too long and was given up\n');
    process.exit(2);
  },
  cli.flags.seconds * 1_000 + WATCHDOG_MARGIN_MS,
).unref();

main().then(
  (code) => process.exit(code),
  (error: unknown) => {
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    process.stderr.write(`${text}\n`);
    process.exit(2);
  },
);
