/** The table of one run with failures. */
import { countEnds, type FaultRunResult } from './fault-checks.js';

const LABEL_WIDTH = 42;

type Row = readonly [label: string, value: (result: FaultRunResult) => string | number];

const ROWS: readonly Row[] = [
  ['seed', ({ seed }) => seed],
  ['failures and stops made', ({ failures }) => failures],
  ['versions published', ({ versionsPublished }) => versionsPublished],
  ['calls', ({ audit }) => audit.calls],
  ['served', ({ audit }) => audit.served],
  ['refused (told "not run")', ({ audit }) => audit.refused],
  ['failed (in doubt, broken, not sent)', ({ audit }) => audit.failed],
  ['  of them repeatable', ({ audit }) => audit.failedRepeatable],
  ['  while nothing failed', ({ cutWithoutFailure }) => cutWithoutFailure.length],
  [
    'repeatable, unserved by untouched nodes',
    ({ unservedByUntouched }) => countEnds(unservedByUntouched),
  ],
  ['arrivals over the outstanding limit', ({ dropped }) => dropped],
  ['executions on back ends', ({ executions }) => executions],
  ['doubled', ({ audit }) => audit.doubled.length],
  ['false "not run"', ({ audit }) => audit.falseNotRun.length],
  ['truncated', ({ audit }) => audit.truncated.length],
  ['crossed', ({ audit }) => audit.crossed.length],
  ['versions that fell', ({ falls }) => falls.length],
  ['bad versions held', ({ badVersionsHeld }) => badVersionsHeld.length],
  [
    'readers at the platform, peak',
    ({ peakReaders, readerBound }) => `${peakReaders} of ${readerBound}`,
  ],
  ['readers refused', ({ readersRefused }) => readersRefused],
  [
    'last version everywhere after',
    ({ convergenceMs }) =>
      convergenceMs === undefined ? 'too long' : `${Math.round(convergenceMs)} ms`,
  ],
];

/** The table, with one column. */
export function formatTable(result: FaultRunResult): string {
  const lines = ROWS.map(([label, value]) => label.padEnd(LABEL_WIDTH) + String(value(result)));
  return [result.title, ...lines].join('\n');
}
