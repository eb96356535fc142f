/** The result of an experiment as a table and as comma-separated values. */
import type { Comparison } from './experiment.js';
import { isTold, type PairedDifference } from './paired-difference.js';

const HEAD = ['measure', 'base', 'variant', 'difference', 'std. error', '95% interval', ''];
const CSV_HEAD =
  'scenario,base,variant,measure,pairs,base_mean,variant_mean,difference,standard_error,low,high';
/** Marks a difference whose interval lies on one side of 0. */
const TOLD_MARK = '*';
/** Values from this size on are written without digits after the point. */
const LARGE = 1_000;

/** A table for each variant in each scenario. */
export function formatTables(comparisons: readonly Comparison[]): string {
  return comparisons.map(formatTable).join('\n\n');
}

/** One line for each measure of each variant in each scenario. */
export function formatCsv(comparisons: readonly Comparison[]): string {
  const lines = comparisons.flatMap(({ scenario, base, variant, differences }) =>
    differences.map((one) => [scenario, base, variant, one.measure, ...numbersOf(one)].join(',')),
  );
  return `${[CSV_HEAD, ...lines].join('\n')}\n`;
}

function numbersOf(one: PairedDifference): number[] {
  const { pairs, baseMean, variantMean, difference, standardError, low, high } = one;
  return [pairs, baseMean, variantMean, difference, standardError, low, high];
}

function formatTable({ scenario, base, variant, differences }: Comparison): string {
  const rows = [HEAD, ...differences.map(rowOf)];
  const widths = HEAD.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  const lines = rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '),
  );
  const pairs = differences[0]?.pairs ?? 0;
  const title = `${scenario}: ${variant} against ${base}, ${pairs} pairs`;
  return [title, ...lines.map((line) => `  ${line.trimEnd()}`)].join('\n');
}

function rowOf(one: PairedDifference): string[] {
  const { measure, baseMean, variantMean, difference, standardError, low, high } = one;
  return [
    measure,
    number(baseMean),
    number(variantMean),
    signed(difference),
    number(standardError),
    `${signed(low)} to ${signed(high)}`,
    isTold(one) ? TOLD_MARK : '',
  ];
}

function signed(value: number): string {
  return value > 0 ? `+${number(value)}` : number(value);
}

function number(value: number): string {
  return value.toFixed(Math.abs(value) >= LARGE ? 0 : 4);
}
