/** The demo's verdict and table. */
import { BROKEN_PROMISES } from '../shared/call-audit.js';
import type { ScenarioResult } from './scenario.js';

/** A leaving back end may get requests for so long, in milliseconds. */
const MAX_WORK_AFTER_DRAIN_MS = 2_000;
/** Names listed for each broken invariant at most. */
const MAX_LISTED_NAMES = 5;
const LABEL_WIDTH = 34;
const COLUMN_WIDTH = 16;

type Row = readonly [label: string, value: (result: ScenarioResult) => string];

const ROWS: readonly Row[] = [
  ['calls', (result) => String(result.audit.calls)],
  ['served', (result) => String(result.audit.served)],
  ['retried by nodes', (result) => String(result.retried)],
  ['refused (told "not run")', (result) => String(result.audit.refused)],
  ['failed (in doubt or broken)', (result) => String(result.audit.failed)],
  ['  of them repeatable', (result) => String(result.audit.failedRepeatable)],
  ['cut by planned stops', (result) => String(result.cutByPlannedStops.length)],
  ['doubled', (result) => String(result.audit.doubled.length)],
  ['false "not run"', (result) => String(result.audit.falseNotRun.length)],
  ['truncated', (result) => String(result.audit.truncated.length)],
  ['crossed', (result) => String(result.audit.crossed.length)],
  ['versions that fell', (result) => String(result.falls.length)],
  ['cold start', (result) => time(result.coldStartMs)],
  ['convergence, each change', (result) => result.convergenceMs.map(time).join(', ')],
  ['last work after drain', (result) => time(result.lastWorkAfterDrainMs)],
  ['readers at the platform, peak', (result) => `${result.peakReaders} of ${result.readerBound}`],
  ['readers refused', (result) => String(result.readersRefused)],
  ['control bytes sent', (result) => String(result.controlBytes)],
  [
    'control bytes/s for each node',
    (result) => String(Math.round(result.controlBytesPerNodeSecond)),
  ],
];

/** The table, one column for each deployment. */
export function formatTable(results: readonly ScenarioResult[]): string {
  const line = (label: string, cells: readonly string[]): string =>
    label.padEnd(LABEL_WIDTH) + cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');
  const titles = results.map((result) => result.title);
  return [line('', titles), ...ROWS.map(([label, value]) => line(label, results.map(value)))].join(
    '\n',
  );
}

/** Every invariant that broke, in words; empty when none did. */
export function findBrokenInvariants(result: ScenarioResult): string[] {
  const broken: string[] = BROKEN_PROMISES.filter(
    (promise) => result.audit[promise].length > 0,
  ).map((promise) => `${promise}: ${listNames(result.audit[promise])}`);
  const check = (holds: boolean, otherwise: string): void => {
    if (!holds) {
      broken.push(otherwise);
    }
  };
  check(result.audit.served > 0, 'no call was served');
  check(
    result.cutByPlannedStops.length === 0,
    `planned stops cut ${listNames(result.cutByPlannedStops.map((record) => record.callId))}`,
  );
  check(
    result.falls.length === 0,
    `versions fell on ${listNames(result.falls.map((fall) => fall.node))}`,
  );
  check(result.coldStartMs !== undefined, 'the fleet did not start in time');
  check(!result.convergenceMs.includes(undefined), 'a change did not converge in time');
  check(
    result.withoutNewRoute.length === 0,
    `the new route is not served by ${listNames(result.withoutNewRoute)}`,
  );
  check(
    result.lastWorkAfterDrainMs <= MAX_WORK_AFTER_DRAIN_MS,
    `a leaving back end got a request ${result.lastWorkAfterDrainMs} ms after its drain`,
  );
  check(result.backendExit?.code === 0, 'the stopped back end did not end cleanly');
  check(result.nodeExit?.code === 0, 'the stopped node did not end cleanly');
  check(result.readersRefused === 0, 'more readers came to the platform than it bears');
  return broken;
}

function time(value: number | undefined): string {
  return value === undefined ? 'too long' : `${Math.round(value)} ms`;
}

function listNames(names: readonly string[]): string {
  const rest = names.length - MAX_LISTED_NAMES;
  const listed = names.slice(0, MAX_LISTED_NAMES).join(', ');
  return rest > 0 ? `${listed} and ${rest} more` : listed;
}
