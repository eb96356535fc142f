/** `npm run demo`: both deployments as real processes, and whether every invariant held. */
import meow from 'meow';
import { randomBytes, randomInt } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { DEPLOYMENTS, type Deployment } from './deployment.js';
import { planFleet } from './fleet-plan.js';
import { Fleet } from './fleet.js';
import { findBrokenInvariants, formatTable } from './report.js';
import { runScenario, type ScenarioResult } from './scenario.js';

/** The demo ends by itself after this time, in milliseconds. */
const WATCHDOG_MS = 58_000;
const FLEET_KEY_BYTES = 24;

const cli = meow(
  `
  Usage
    $ npm run demo -- [options]

  Options
    --deployment  solano or parkhaven; both when absent
    --rate        Calls a second (default 150)
    --seed        Seed of the callers' random choices (default 1)

  Starts platform, back ends and nodes on loopback addresses, changes the configuration, stops and
  kills some of them under traffic, and compares what callers were told with what the back ends ran.
  Exit code: 0 when every invariant held, 1 when one broke, 2 when it could not be run.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      deployment: { type: 'string', choices: DEPLOYMENTS.map(({ name }) => name) },
      rate: { type: 'number', default: 150 },
      seed: { type: 'number', default: 1 },
    },
  },
);

const startedAtMs = performance.now();
const fleets = new Set<Fleet>();

function print(text: string): void {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
  process.stdout.write(`${seconds.padStart(5)} s  ${text}\n`);
}

function killEverything(): void {
  for (const fleet of fleets) {
    fleet.killAll();
  }
}

/** A part of 127.0.0.0/8 of its own, so that two demos on one machine do not meet. */
function drawNetwork(): string {
  return `127.${randomInt(16, 255)}.${randomInt(1, 255)}`;
}

async function runDeployment(
  deployment: Deployment,
  random: () => number,
): Promise<ScenarioResult> {
  const fleetKey = randomBytes(FLEET_KEY_BYTES).toString('hex');
  const fleet = new Fleet(planFleet(deployment, drawNetwork(), fleetKey));
  fleets.add(fleet);
  try {
    return await runScenario(fleet, { ratePerSecond: cli.flags.rate, random, progress: print });
  } finally {
    await fleet.end();
    fleets.delete(fleet);
  }
}

async function main(): Promise<number> {
  const generator = xoroshiro128plus(cli.flags.seed);
  const random = (): number => uniformFloat64(generator);
  const chosen = DEPLOYMENTS.filter(
    ({ name }) => cli.flags.deployment === undefined || cli.flags.deployment === name,
  );
  const results: ScenarioResult[] = [];
  for (const deployment of chosen) {
    results.push(await runDeployment(deployment, random));
  }
  process.stdout.write(`\n${formatTable(results)}\n\n`);
  const broken = results.flatMap((result) =>
    findBrokenInvariants(result).map((text) => `${result.title}: ${text}`),
  );
  for (const text of broken) {
    process.stdout.write(`BROKEN  ${text}\n`);
  }
  if (broken.length === 0) {
    process.stdout.write('Every invariant held.\n');
  }
  return broken.length === 0 ? 0 : 1;
}

process.once('exit', killEverything);
process.once('SIGINT', () => process.exit(2));
process.once('SIGTERM', () => process.exit(2));
setTimeout(() => {
  process.stderr.write(`the demo took more than ${WATCHDOG_MS} ms\n`);
  process.exit(2);
}, WATCHDOG_MS).unref();

main().then(
  (code) => process.exit(code),
  (error: unknown) => {
    process.stderr.write(
      `${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
    );
    process.exit(2);
  },
);
