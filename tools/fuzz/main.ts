/** `npm run fuzz`: random scripts against the control plane on an emulated fleet. */
import { readFileSync } from 'node:fs';
import { consola } from 'consola';
import meow from 'meow';
import { controlPlaneTarget } from './control-plane-target.js';
import type { FuzzCommand } from './fuzz-command.js';
import { fuzz, type FuzzFailure } from './fuzz-run.js';
import { runScript } from './script-runner.js';

const PROGRESS_INTERVAL_MS = 5_000;

const cli = meow(
  `
  Usage
    $ npm run fuzz -- --seed N --runs N

  Options
    --seed N          Seed of the scripts (default: from the clock; it is printed)
    --runs N          Scripts to run (default 200)
    --commands N      Commands in a script at most (default 40)
    --writes          Operators' writes too, with the replication behind them
    --replay FILE     Replay one printed failure instead

  Exits with 0 when no invariant broke, with 1 when one did.
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number' },
      runs: { type: 'number', default: 200 },
      commands: { type: 'number', default: 40 },
      writes: { type: 'boolean', default: false },
      replay: { type: 'string' },
    },
  },
);

/** A failure as it is printed, and as `--replay` reads it. */
type PrintedFailure = Pick<FuzzFailure, 'worldSeed'> & { readonly script: readonly FuzzCommand[] };

if (cli.flags.replay === undefined) {
  run(cli.flags.seed ?? Date.now() % 2 ** 31);
} else {
  const printed = JSON.parse(readFileSync(cli.flags.replay, 'utf8')) as PrintedFailure;
  const result = runScript(
    controlPlaneTarget('leased', cli.flags.writes),
    printed.worldSeed,
    printed.script,
  );
  consola.success(`no invariant broke: ${JSON.stringify(result)}`);
}

function run(seed: number): void {
  const { runs, commands } = cli.flags;
  consola.info(`seed ${seed}, ${runs} scripts of at most ${commands} commands`);
  let scripts = 0;
  let reportedAtMs = performance.now();
  const report = fuzz(controlPlaneTarget('leased', cli.flags.writes), {
    seed,
    runs,
    maxCommands: commands,
    onScript: () => {
      scripts += 1;
      if (performance.now() - reportedAtMs > PROGRESS_INTERVAL_MS) {
        reportedAtMs = performance.now();
        consola.info(`${scripts} of ${runs} scripts`);
      }
    },
  });
  consola.info(
    `${report.scripts} scripts, ${report.commands} commands, ${report.eventsChecked} events checked, ` +
      `${report.acceptedWrites} operators' writes accepted; ` +
      `slowest convergence ${report.slowestHealMs} ms after healing, ` +
      `${report.slowestPublicationMs} ms after a publication (virtual)`,
  );
  if (report.failure !== undefined) {
    printFailure(seed, report.failure);
    process.exitCode = 1;
  }
}

function printFailure(seed: number, { violation, worldSeed, script }: FuzzFailure): void {
  consola.error(
    `seed ${seed}: ${violation.invariant} at ${violation.atMs} ms: ${violation.detail}`,
  );
  process.stdout.write(`${JSON.stringify({ worldSeed, script }, undefined, 1)}\n`);
}
