/** `npm run scale`: a fleet of hollow nodes beside real ones, through the failures of a year. */
import { execFileSync } from 'node:child_process';
import { randomBytes, randomInt } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { cpus } from 'node:os';
import meow from 'meow';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { round, type FleetSample } from './fleet-sample.js';
import { findMachineLimits } from './machine-limits.js';
import { checkFits } from './memory-budget.js';
import { compressions, longestRunMs } from './phase-plan.js';
import { NO_CALLS, ScaleCallers } from './scale-callers.js';
import { servicesFor } from './scale-configuration.js';
import { ScaleFleet } from './scale-fleet.js';
import { planProcesses, REAL_INDICES, type ScaleShape } from './scale-plan.js';
import { PHASE_NAMES, type PhaseName, type ScaleReport } from './scale-report.js';
import { ScaleRun } from './scale-run.js';

const LAST_PHASE: PhaseName = 'region-heals';
const REPORT_FOLDER = 'reports';
const FLEET_KEY_BYTES = 24;
const BYTES_PER_MIB = 1_048_576;
const MIN_NODES = 50;
const MAX_NODES = 2_500;

const cli = meow(
  `
  Usage
    $ npm run scale -- --nodes N

  Options
    --nodes  Nodes of the fleet (default 100)
    --seed   Seed of the tool's choices (default 1)
    --share-documents  Nodes of a process apply each change once for all: times are then less
             those of this machine, processor time and memory of a node are not measured
    --ramp   Starts the nodes in groups; there is no cold start of all then
    --until  Last phase (default ${LAST_PHASE}): ${PHASE_NAMES.join(', ')}

  Starts hollow nodes, many to a process, beside a few real ones, and takes them through a cold start,
  quiet, changes, restarts, the death of a zone and a cut between regions. Writes
  ${REPORT_FOLDER}/scale-N.json, or scale-N-shared.json with shared documents. Exit code: 0 when it ran, 2 when it could not.
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      nodes: { type: 'number', default: 100 },
      seed: { type: 'number', default: 1 },
      ramp: { type: 'boolean', default: false },
      shareDocuments: { type: 'boolean', default: false },
      until: { type: 'string', choices: [...PHASE_NAMES], default: LAST_PHASE },
    },
  },
);

const startedAtMs = performance.now();
let fleet: ScaleFleet | undefined;

function print(text: string): void {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
  process.stdout.write(`${seconds.padStart(6)} s  ${text}\n`);
}

async function main(nodes: number): Promise<void> {
  if (!Number.isInteger(nodes) || nodes < MIN_NODES || nodes > MAX_NODES) {
    throw new RangeError(`--nodes: expected a whole number from ${MIN_NODES} to ${MAX_NODES}`);
  }
  const processes = planProcesses(nodes).length + 2 * REAL_INDICES.length + 2;
  checkFits(nodes, processes, cli.flags.shareDocuments);
  const generator = xoroshiro128plus(cli.flags.seed);
  const random = (): number => uniformFloat64(generator);
  const shape: ScaleShape = {
    nodes,
    network: `127.${randomInt(16, 255)}`,
    fleetKey: randomBytes(FLEET_KEY_BYTES).toString('hex'),
  };
  fleet = new ScaleFleet(shape, cli.flags.shareDocuments);
  try {
    const report = await run(fleet, nodes, processes, random);
    mkdirSync(REPORT_FOLDER, { recursive: true });
    const { until } = cli.flags;
    const shared = cli.flags.shareDocuments ? '-shared' : '';
    const ramped = cli.flags.ramp ? '-ramped' : '';
    const early = until === LAST_PHASE ? '' : `-until-${until}`;
    const file = `${REPORT_FOLDER}/scale-${nodes}${shared}${ramped}${early}.json`;
    writeFileSync(file, `${JSON.stringify(report, undefined, 2)}\n`);
    print(`wrote ${file}`);
  } finally {
    await fleet.end();
  }
}

async function run(
  running: ScaleFleet,
  nodes: number,
  processes: number,
  random: () => number,
): Promise<ScaleReport> {
  const startedAt = new Date().toISOString();
  const tree = commitOfTree();
  print(`${nodes} nodes in ${processes} processes`);
  const configuration = await running.startOutside(random);
  const empty = await running.sample(true);
  const document = configuration.document();
  let callers: ScaleCallers | undefined;
  const startCallers = (): void => {
    callers = new ScaleCallers(running.callerTargets, longestRunMs(), random);
  };
  const isRamped = cli.flags.ramp;
  const options = {
    fleet: running,
    configuration,
    random,
    progress: print,
    startCallers,
    isRamped,
  };
  const scaleRun = new ScaleRun(options);
  await scaleRun.execute(cli.flags.until as PhaseName);
  const calls = await callers?.finish();
  const real = await running.realStatus();
  const hollowNodes = nodes - REAL_INDICES.length;
  const { settled = empty } = scaleRun;
  return {
    ...tree,
    startedAt,
    nodeVersion: process.version,
    processors: cpus().length,
    nodes,
    sharesDocuments: cli.flags.shareDocuments,
    hollowNodes,
    realNodes: REAL_INDICES.length,
    processes,
    services: servicesFor(nodes),
    resources: document.resources.length,
    documentBytes: JSON.stringify(document).length,
    compression: compressions(nodes),
    phases: scaleRun.phases,
    liveMiBPerNode: round((liveBytes(settled) - liveBytes(empty)) / BYTES_PER_MIB / hollowNodes, 3),
    emptyProcessMiB: round((empty.hollow[0]?.residentBytes ?? 0) / BYTES_PER_MIB),
    peakResidentMiB: round(scaleRun.peakResidentBytes / BYTES_PER_MIB, 0),
    calls: calls ?? NO_CALLS,
    realNodesHoldNewest: real.every(({ held }) => held.source.number === configuration.version),
    realReaders: real.filter(({ source }) => source.isReader).length,
    seconds: round((performance.now() - startedAtMs) / 1_000),
    machineLimits: findMachineLimits(scaleRun.phases, cpus().length),
  };
}

function liveBytes(sample: FleetSample): number {
  return sample.hollow.reduce((sum, { liveBytes: live }) => sum + live, 0);
}

function commitOfTree(): { commit: string; isModified: boolean } {
  const git = (...words: string[]): string => execFileSync('git', words, { encoding: 'utf8' });
  return {
    commit: git('rev-parse', '--short', 'HEAD').trim(),
    isModified: git('status', '--porcelain', '--untracked-files=no').trim() !== '',
  };
}

process.once('exit', () => fleet?.killAll());
process.once('SIGINT', () => process.exit(2));
process.once('SIGTERM', () => process.exit(2));
setTimeout(() => {
  process.stderr.write(`the run took more than ${longestRunMs()} ms\n`);
  process.exit(2);
}, longestRunMs()).unref();

main(cli.flags.nodes).then(
  () => process.exit(0),
  (error: unknown) => {
    process.stderr.write(
      `${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
    );
    process.exit(2);
  },
);
