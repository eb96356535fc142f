/** The budget of a node at the target's size, line by line. */
import type { LoadReport } from '../load/load-report.js';
import {
  estimateAt,
  linearEstimateAt,
  phaseOf,
  RESIDENT_MEASURE,
  type Estimate,
  type FleetSlope,
} from './fleet-slopes.js';
import { figure, table } from './markdown.js';
import { BUDGET, TARGET } from './scale-plan.js';
import type { ScaleReport } from './scale-report.js';

/** One line; `value` is undefined where nothing was measured. */
interface BudgetLine {
  readonly what: string;
  readonly budget: number;
  readonly unit: string;
  readonly value: number | undefined;
  readonly from: string;
}

const CPU = { budget: BUDGET.cpuPercent, unit: '% of a core' } as const;
const TIME = { budget: BUDGET.convergenceMs, unit: 'ms' } as const;
const BYTES = { budget: BUDGET.bytesPerSecond, unit: 'bytes/s' } as const;
const MEMORY = { budget: BUDGET.memoryMiB, unit: 'MiB' } as const;

/** The table; `reports` by rising size. */
export function budgetTable(
  reports: readonly ScaleReport[],
  slopes: readonly FleetSlope[],
  load: LoadReport | undefined,
): string {
  const lines = [
    ...processLines(reports),
    memoryLine(slopes),
    ...controlLines(reports, slopes),
    ...callLines(load),
  ];
  return table(
    ['What', 'Budget', `At ${figure(TARGET.nodes)} nodes`, 'Verdict', 'From'],
    lines.map(({ what, budget, unit, value, from }) => [
      what,
      `${figure(budget)} ${unit}`,
      value === undefined ? 'not measured' : `${figure(value)} ${unit}`,
      verdict(value, budget),
      from,
    ]),
  );
}

function verdict(value: number | undefined, budget: number): string {
  if (value === undefined) {
    return 'open';
  }
  return value <= budget ? 'met' : '**missed**';
}

/** Whole processes in quiet: most of their processor time does not depend on the fleet. */
function processLines(reports: readonly ScaleReport[]): BudgetLine[] {
  const largest = reports.at(-1);
  const quiet = largest && phaseOf(largest, 'quiet')?.figures;
  const from = `real processes among ${figure(largest?.nodes ?? 0)} nodes`;
  return [
    {
      what: 'Processor, whole process in quiet, elector and reader',
      ...CPU,
      value: quiet?.realElector.cpuPercent,
      from,
    },
    {
      what: 'Processor, whole process in quiet, any other',
      ...CPU,
      value: quiet?.realOther.cpuPercent,
      from,
    },
  ];
}

function memoryLine(slopes: readonly FleetSlope[]): BudgetLine {
  const slope = slopeNamed(slopes, RESIDENT_MEASURE);
  const found = slope && linearEstimateAt(slope, TARGET.nodes);
  return {
    what: 'Memory, resident, whole process, most at the end of a phase',
    ...MEMORY,
    value: found?.value,
    from: originOf(found, 'line'),
  };
}

function controlLines(
  reports: readonly ScaleReport[],
  slopes: readonly FleetSlope[],
): BudgetLine[] {
  const largest = reports.at(-1);
  const at = (name: string): { value: number | undefined; from: string } => {
    const slope = slopeNamed(slopes, name);
    const found = slope && estimateAt(slope, TARGET.nodes);
    return { value: found?.value, from: originOf(found, 'power fit') };
  };
  return [
    {
      what: 'Processor, control of an ordinary day, hollow nodes',
      ...CPU,
      ...at('Processor, a day'),
    },
    {
      what: 'Control bytes of an ordinary day, sent and received, mean',
      ...BYTES,
      ...at('Control bytes, a day'),
    },
    {
      what: 'Control bytes in quiet, node with the most',
      ...BYTES,
      value: largest && phaseOf(largest, 'quiet')?.figures.maxBytesPerSecond,
      from: `the run at ${figure(largest?.nodes ?? 0)} nodes`,
    },
    {
      what: 'Control bytes in the seconds after a region heals, mean',
      ...BYTES,
      ...at('Control bytes, after a region heals'),
    },
    { what: 'Change in force everywhere, last node', ...TIME, ...at('Change in force, last') },
    {
      what: 'Change in force while a zone dies, last node',
      ...TIME,
      ...at('Change in force while a zone dies, last'),
    },
    { what: 'Restarted node up to date, last', ...TIME, ...at('Restarted node up to date, last') },
    { what: 'Zone back, all up to date', ...TIME, ...at('Zone back, all up to date') },
    { what: 'Region healed, all up to date', ...TIME, ...at('Region healed, all up to date') },
  ];
}

function slopeNamed(slopes: readonly FleetSlope[], name: string): FleetSlope | undefined {
  return slopes.find(({ measure }) => measure.name === name);
}

function originOf(found: Estimate | undefined, fit: string): string {
  if (found === undefined) {
    return 'no run';
  }
  return found.isMeasured ? 'the run at this size' : `${fit} up to ${figure(found.largest)} nodes`;
}

/** What nodes add to a call: from the load tool, where it was run. */
function callLines(load: LoadReport | undefined): BudgetLine[] {
  const ways = load?.added?.ways;
  const line = (way: 'one node' | 'two nodes'): BudgetLine => ({
    what: `Added to a call over ${way}, p99`,
    budget: BUDGET.addedLatencyP99Ms,
    unit: 'ms',
    value: ways && ways[way].p99Ms - ways.straight.p99Ms,
    from: load === undefined ? 'see *Request path*' : `\`npm run load\` at \`${load.commit}\``,
  });
  return [line('one node'), line('two nodes')];
}
