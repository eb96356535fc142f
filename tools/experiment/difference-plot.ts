/** A plot of differences in worth with their intervals, as SVG. */
import type { Comparison } from './experiment.js';
import type { PairedDifference } from './paired-difference.js';

/** Sizes of the drawing, in pixels. */
const WIDTH = 900;
/** Where the axis begins, right of the labels. */
const AXIS_LEFT = 420;
const AXIS_WIDTH = 440;
const ROW_HEIGHT = 18;
const TOP = 40;
/** The axis covers at least this difference on both sides of 0. */
const MIN_REACH = 0.01;

interface PlotRow {
  readonly label: string;
  readonly difference: PairedDifference;
}

/** A row for the worth, whole and of each class, of each variant in each scenario. */
export function plotDifferences(comparisons: readonly Comparison[]): string {
  const rows = comparisons.flatMap(rowsOf);
  const reach = Math.max(MIN_REACH, ...rows.flatMap(({ difference }) => reachOf(difference)));
  const height = TOP + rows.length * ROW_HEIGHT + ROW_HEIGHT;
  const xOf = (value: number): number => AXIS_LEFT + (AXIS_WIDTH * (value / reach + 1)) / 2;
  const lines = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" ` +
      'font-family="sans-serif" font-size="12">',
    `<rect width="${WIDTH}" height="${height}" fill="white"/>`,
    `<text x="10" y="20">Difference in worth, with its 95% interval (emulated fleet)</text>`,
    ...[-reach, 0, reach].map((value) => gridLine(value, xOf(value), height)),
    ...rows.flatMap((row, index) => drawRow(row, TOP + (index + 0.5) * ROW_HEIGHT, xOf)),
    '</svg>',
  ];
  return `${lines.join('\n')}\n`;
}

function rowsOf({ scenario, variant, differences }: Comparison): PlotRow[] {
  return differences
    .filter(({ measure }) => measure.startsWith('worth'))
    .map((difference) => ({ label: `${scenario}, ${variant}: ${difference.measure}`, difference }));
}

function reachOf({ difference, low, high }: PairedDifference): number[] {
  return [difference, low, high].filter(Number.isFinite).map(Math.abs);
}

function gridLine(value: number, x: number, height: number): string {
  return (
    `<line x1="${x}" y1="${TOP - 4}" x2="${x}" y2="${height - 8}" stroke="#bbb"/>` +
    `<text x="${x}" y="${TOP - 8}" text-anchor="middle">${value.toFixed(3)}</text>`
  );
}

function drawRow(row: PlotRow, y: number, xOf: (value: number) => number): string[] {
  const { difference, low, high } = row.difference;
  const interval = Number.isFinite(low)
    ? [`<line x1="${xOf(low)}" y1="${y}" x2="${xOf(high)}" y2="${y}" stroke="black"/>`]
    : [];
  return [
    `<text x="10" y="${y + 4}">${escapeText(row.label)}</text>`,
    ...interval,
    `<circle cx="${xOf(difference)}" cy="${y}" r="3"/>`,
  ];
}

function escapeText(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;');
}
