/** The comparison as a Markdown table. */
import type { ComparisonResult } from './comparison-run.js';

const HEADINGS = [
  'Fleet',
  'Scenario',
  'Design',
  'Poll, ms',
  'p50, ms',
  'p99, ms',
  'max, ms',
  'p99 from acceptance, ms',
  'max from acceptance, ms',
  'Bytes/s per node, mean',
  'Bytes/s per node, max',
  'With TCP/IP, mean',
  'Peak readers',
  'Recovery, ms',
  'Never reached',
];

/** One row for each run. */
export function markdownTable(results: readonly ComparisonResult[]): string {
  const rows = results.map((result) => row(cells(result)));
  return [row(HEADINGS), row(HEADINGS.map(() => '---')), ...rows].join('\n');
}

function cells(result: ComparisonResult): (string | number)[] {
  const { sincePublication, sinceAcceptance, traffic } = result;
  return [
    result.size,
    result.scenario,
    result.design,
    result.pollIntervalMs ?? '',
    sincePublication.p50Ms,
    sincePublication.p99Ms,
    sincePublication.maxMs,
    sinceAcceptance.p99Ms,
    sinceAcceptance.maxMs,
    traffic.meanBytes,
    traffic.maxBytes,
    traffic.meanBytesWithHeaders,
    result.peakReaders,
    result.recoveryMs ?? '',
    result.missing,
  ];
}

function row(values: readonly (string | number)[]): string {
  return `| ${values.join(' | ')} |`;
}
