/** `npm run soak`: nodes as real processes under traffic and random faults from outside them. */
import { randomInt } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import meow from 'meow';
import { claimNetwork } from './loopback-network.js';
import { describeMachine, describeStarvation } from './machine-report.js';
import { summarize, type BrokenPromise } from './broken-promise.js';
import type { SoakFleet } from './soak-fleet.js';
import type { SoakCall, SoakRecord } from './soak-record.js';
import { loadShape } from './soak-shape.js';
import { runSoak, SOAK_PLANS, type SoakPlan } from './soak-run.js';

const MS_PER_SECOND = 1_000;
const MAX_SEED = 2 ** 31;
/** Cases that are shown of each promise, at most. */
const MAX_SHOWN = 20;
/** Time beyond the faults after which the run is given up, in milliseconds: start, recovery and judging. */
const WATCHDOG_MARGIN_MS = 60_000;
const WATCHDOG_MS_PER_MACHINE = 2_000;

const cli = meow(
  `
  Usage
    $ npm run soak -- [options]

  Options
    --seed      Seed of faults and traffic; drawn and printed when absent
    --seconds   Time for which faults go on (default 60)
    --machines  Nodes, each with a back end beside it (default 6)
    --zones     Zones of about the same size; without it four nodes in the first, one in each other
    --rate      Requests a second (default 150)
    --plan      What happens: 'faults' are single ones, 'series' (default) also has rolling stops,
                releases, silent connections, narrow links, uploads and kept connections;
                'silences' has the same, and silences on every kind of link and of machines that stop;
                'crashes' has the series, and requests that end each back end that runs them;
                'rolls' has planned stops of many nodes at a time and connections that are slow,
                and loses nothing;
                'planned' has planned work alone, of all kinds, and a loss of power at the end;
                'restores' restores the store from backups during planned work;
                'restarts' restores the store, repeats its lost writes late, and starts nodes before
                that; several are silent as a configuration comes, and some of those are not valid;
                'refusals' has the store refuse, throttle, drop or delay some machines while it serves
                the others, with configurations, starts and restores;
                'statements' has back ends that name rate limits and say that they leave, and faults of
                the nodes beside them;
                'abandons' has callers that leave in groups, at nodes that are late, beside slow
                connections and back ends
    --shape     File with the shape of a deployment (deploy/shapes): callers that send reads behind each
                other, answers, calls of back ends, and the processor of the nodes
    --deployed  Runs the bundle, started as it is deployed, in place of the compiled program
    --uploads   Uploads a second, for all plans but 'faults' (default 20)
    --keep      Folder for the logs and records of a run that broke a promise

  Runs nodes on loopback addresses, delays, resets, silences and cuts their links through proxies,
  kills, stops and freezes them by signals, and fails the store and the back ends. What callers and
  back ends have seen is held against the promises.
  Exit code: 0 when every promise held, 1 when one broke, 2 when it could not be run.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seed: { type: 'number' },
      seconds: { type: 'number', default: 60 },
      machines: { type: 'number', default: 6 },
      zones: { type: 'number' },
      rate: { type: 'number', default: 150 },
      plan: { type: 'string', choices: [...SOAK_PLANS], default: 'series' },
      uploads: { type: 'number', default: 20 },
      shape: { type: 'string' },
      deployed: { type: 'boolean', default: false },
      keep: { type: 'string' },
    },
  },
);

let runningFleet: SoakFleet | undefined;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** How many calls ended with which status. */
function countStatuses(calls: readonly SoakCall[]): string {
  const counts = new Map<string, number>();
  for (const { status, isGivenUp } of calls) {
    const name = isGivenUp ? 'left' : status === 0 ? 'no answer' : String(status);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => `${name}: ${count}`).join(', ');
}

/** How many back ends ended under which request. */
function countCrashes({ crashes }: SoakRecord): string {
  const targets = [...new Set(crashes.map(({ target }) => target))].sort();
  return targets
    .map((target) => `${target}: ${crashes.filter((crash) => crash.target === target).length}`)
    .join(', ');
}

/** How long planned stops took, and how the connections of callers that send reads behind each other ended. */
function describeStops({ stops, calls }: SoakRecord): string {
  const tookMs = stops.map((stop) => Math.round(stop.tookMs)).sort((left, right) => left - right);
  const median = tookMs[Math.floor(tookMs.length / 2)] ?? 0;
  const ends = new Map<string, number>();
  for (const { connectionEnd } of calls) {
    if (connectionEnd !== undefined && connectionEnd !== 'answered') {
      ends.set(connectionEnd, (ends.get(connectionEnd) ?? 0) + 1);
    }
  }
  const unanswered = [...ends].map(([end, count]) => `${end}: ${count}`).join(', ');
  return (
    `${stops.length} planned stops, ${median} ms in the median, ${tookMs.at(-1) ?? 0} ms at most; ` +
    `requests without an answer behind each other: ${unanswered || 'none'}`
  );
}

/** Counts first, so that a few losses are not hidden by many cases of another promise. */
function printBroken(broken: readonly BrokenPromise[]): void {
  const summaries = summarize(broken);
  for (const { promise, isLoss, details } of summaries) {
    print(`BROKEN ${promise}${isLoss ? ' (loss)' : ''}: ${details.length} times`);
  }
  for (const { promise, details } of summaries) {
    details.slice(0, MAX_SHOWN).forEach((detail) => print(`  ${promise}: ${detail}`));
  }
}

function keep(
  folder: string,
  seed: number,
  record: SoakRecord,
  broken: readonly BrokenPromise[],
  log: readonly string[],
): void {
  mkdirSync(folder, { recursive: true });
  const maps = {
    configuredAtMs: [...record.configuredAtMs],
    drainedAtMs: [...record.drainedAtMs],
  };
  writeFileSync(
    join(folder, `soak-${seed}.json`),
    JSON.stringify({ seed, broken, ...record, ...maps }),
  );
  writeFileSync(join(folder, `soak-${seed}.log`), log.join('\n'));
}

async function main(): Promise<number> {
  const {
    seconds,
    machines,
    zones,
    rate,
    plan,
    uploads,
    shape,
    deployed,
    keep: folder,
  } = cli.flags;
  const seed = cli.flags.seed ?? randomInt(MAX_SEED);
  const log: string[] = [];
  print(`soak: seed ${seed}, plan ${plan}, ${machines} machines, faults for ${seconds} s`);
  const { broken, record } = await runSoak({
    seed,
    machines,
    zones,
    faultsMs: seconds * MS_PER_SECOND,
    perSecond: rate,
    plan: plan as SoakPlan,
    uploadsPerSecond: uploads,
    shape: shape === undefined ? undefined : loadShape(shape),
    isDeployed: deployed,
    network: await claimNetwork(randomInt(MAX_SEED)),
    say: (text) => log.push(`soak ${text}`) && print(`  ${text}`),
    onLogLine: (machine, line) => log.push(`${machine} ${line}`),
    onFleet: (fleet) => {
      runningFleet = fleet;
    },
  });
  print(`${record.calls.length} requests (${countStatuses(record.calls)})`);
  print(`${record.arrivals.length} arrivals at back ends, ${record.windows.length} faults`);
  if (record.crashes.length > 0) {
    print(`${record.crashes.length} back ends ended under requests (${countCrashes(record)})`);
  }
  print(describeStops(record));
  print(describeMachine(record));
  printBroken(broken);
  if (broken.length > 0) {
    describeStarvation(record).forEach((line) => print(`  ${line}`));
  }
  if (broken.length > 0 && folder !== undefined) {
    keep(folder, seed, record, broken, log);
  }
  print(broken.length === 0 ? 'Every promise held.' : `${broken.length} promises broke.`);
  return broken.length === 0 ? 0 : 1;
}

process.once('exit', () => runningFleet?.killAll());
process.once('SIGINT', () => process.exit(2));
process.once('SIGTERM', () => process.exit(2));
setTimeout(
  () => {
    process.stderr.write('the soak took too long and was given up\n');
    process.exit(2);
  },
  cli.flags.seconds * MS_PER_SECOND +
    WATCHDOG_MARGIN_MS +
    cli.flags.machines * WATCHDOG_MS_PER_MACHINE,
).unref();

main().then(
  (code) => process.exit(code),
  (err: unknown) => {
    process.stderr.write(`${err instanceof Error ? (err.stack ?? err.message) : String(err)}\n`);
    process.exit(2);
  },
);
