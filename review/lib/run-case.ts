/** Runs one case: writes its record, ends what it started, and sets the exit code. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Fleet } from './fleet.js';

/** False for the run that leaves out the disruption. */
export const IS_TROUBLED = process.env.TROUBLE !== '0';
const SHOWN_LINES = 14;
const EXIT_DELAY_MS = 200;

export interface CaseResult {
  readonly isBroken: boolean;
  readonly lines: readonly string[];
}

/** Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export function runCase(name: string, fleet: Fleet, play: () => Promise<CaseResult>): void {
  process.once('exit', () => fleet.end());
  process.once('SIGTERM', () => process.exit(2));
  play()
    .then(({ isBroken, lines }) => {
      const verdict = isBroken ? 'the rule was broken' : 'the rule held';
      const all = [`with trouble: ${IS_TROUBLED}`, verdict, ...lines];
      writeFileSync(join('review', name, 'record.txt'), `${all.join('\n')}\n`);
      process.stdout.write(`${all.slice(0, SHOWN_LINES).join('\n')}\n`);
      process.exitCode = isBroken ? 1 : 0;
    })
    .catch((error: unknown) => {
      process.stderr.write(`${String(error)}\n`);
      process.exitCode = 2;
    })
    .finally(() => {
      fleet.end();
      setTimeout(() => process.exit(), EXIT_DELAY_MS);
    });
}
