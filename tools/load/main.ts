/** `npm run load`: what nodes add to calls, and goodput beyond capacity. */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import meow from 'meow';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { measureAddedLatency } from './added-latency.js';
import { formatLoadReport, type LoadReport } from './load-report.js';
import { measureOverload } from './overload.js';

const EXPERIMENTS = ['added', 'overload'] as const;
const REPORT_FOLDER = 'reports';
/** The tool ends by itself after this time, in milliseconds. */
const WATCHDOG_MS = 400_000;

const cli = meow(
  `
  Usage
    $ npm run load -- [options]

  Options
    --experiment  added (latency over nodes against straight) or overload (goodput); both when absent
    --rate        added: calls a second over all three ways (default 120)
    --seconds     Length of each measurement (default 20 for added, 6 for each of 12 in overload)
    --seed        Seed of the arrivals (default 1)

  Starts its own fleet of real processes on loopback addresses. The report goes to the terminal and
  to ${REPORT_FOLDER}/load.json. Exit code: 0 when it ran, 2 when it could not.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      experiment: { type: 'string', choices: [...EXPERIMENTS] },
      rate: { type: 'number', default: 120 },
      seconds: { type: 'number' },
      seed: { type: 'number', default: 1 },
    },
  },
);

function progress(text: string): void {
  process.stderr.write(`${text}\n`);
}

function currentCommit(): string {
  return execFileSync('git', ['describe', '--always', '--dirty'], { encoding: 'utf8' }).trim();
}

async function run(): Promise<LoadReport> {
  const { experiment, rate, seconds, seed } = cli.flags;
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const isChosen = (name: string): boolean => experiment === undefined || experiment === name;
  const base = { commit: currentCommit(), startedAt: new Date().toISOString(), seed };
  const added = isChosen('added')
    ? await measureAddedLatency({
        ratePerSecond: rate,
        durationMs: (seconds ?? 20) * 1_000,
        random,
        progress,
      })
    : undefined;
  const overload = isChosen('overload')
    ? await measureOverload({ durationMs: (seconds ?? 6) * 1_000, random, progress })
    : undefined;
  return { ...base, ...(added && { added }), ...(overload && { overload }) };
}

setTimeout(() => {
  process.stderr.write(`the load tool took more than ${WATCHDOG_MS} ms\n`);
  process.exit(2);
}, WATCHDOG_MS).unref();
process.once('SIGINT', () => process.exit(2));
process.once('SIGTERM', () => process.exit(2));

run().then(
  (report) => {
    mkdirSync(REPORT_FOLDER, { recursive: true });
    writeFileSync(`${REPORT_FOLDER}/load.json`, `${JSON.stringify(report, null, 2)}\n`);
    process.stdout.write(`${formatLoadReport(report)}\n`);
    process.exit(0);
  },
  (error: unknown) => {
    process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
    process.exit(2);
  },
);
