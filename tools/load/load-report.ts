/** Tables of the load tool's results. */
import type { AddedLatencyResult } from './added-latency.js';
import { WAYS } from './added-latency.js';
import type { OverloadResult } from './overload.js';

const BYTES_PER_MIB = 1_048_576;

/** What a run of the tool found; parts that were not run are absent. */
export interface LoadReport {
  readonly commit: string;
  readonly startedAt: string;
  readonly seed: number;
  readonly added?: AddedLatencyResult;
  readonly overload?: readonly OverloadResult[];
}

/** The report as text. */
export function formatLoadReport(report: LoadReport): string {
  const parts = [`commit ${report.commit}, ${report.startedAt}, seed ${report.seed}`];
  if (report.added !== undefined) {
    parts.push(formatAdded(report.added));
  }
  if (report.overload !== undefined) {
    parts.push(formatOverload(report.overload));
  }
  return parts.join('\n\n');
}

function formatAdded(result: AddedLatencyResult): string {
  const straight = result.ways.straight;
  const rows = WAYS.map((way) => {
    const { calls, p50Ms, p99Ms, p999Ms } = result.ways[way];
    const added = [p50Ms - straight.p50Ms, p99Ms - straight.p99Ms, p999Ms - straight.p999Ms];
    return [way, String(calls), ...[p50Ms, p99Ms, p999Ms, ...added].map(milliseconds)];
  });
  const header = ['way', 'calls', 'p50', 'p99', 'p99.9', '+p50', '+p99', '+p99.9'];
  return [
    `Added latency in ms at ${result.ratePerSecond} calls/s over all ways`,
    formatTable([header, ...rows]),
    `failed ${result.failed}; ${result.cpuMsPerNodeCall.toFixed(2)} ms of processor time of all ` +
      `nodes a call over nodes; largest node ${mebibytes(result.maxNodeResidentBytes)} MiB`,
  ].join('\n');
}

function formatOverload(results: readonly OverloadResult[]): string {
  const rows = results.map((result) => [
    String(result.factor),
    result.policy,
    result.offeredPerSecond.toFixed(0),
    result.goodputPerSecond.toFixed(0),
    String(result.refused),
    String(result.failed),
    milliseconds(result.served.p50Ms),
    milliseconds(result.served.p99Ms),
    milliseconds(result.refusals.p99Ms),
  ]);
  const header = ['load', 'policy', 'offered/s', 'goodput/s', 'refused', 'failed'];
  const times = ['served p50', 'served p99', 'refusal p99'];
  return [
    'Goodput: whole answers within the deadline',
    formatTable([[...header, ...times], ...rows]),
  ].join('\n');
}

function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  const line = (row: readonly string[]): string =>
    row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  ');
  return rows.map(line).join('\n');
}

function milliseconds(value: number): string {
  return value.toFixed(2);
}

function mebibytes(bytes: number): string {
  return (bytes / BYTES_PER_MIB).toFixed(0);
}
