/** The budget of a node at the target's size, line by line. */
import {
  estimateAt,
  phaseOf,
  residentAt,
  RESIDENT_MEASURE,
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
): string {
  const lines = [
    ...processLines(reports),
    memoryLine(reports, slopes),
    ...controlLines(reports, slopes),
    callLine(),
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

function memoryLine(reports: readonly ScaleReport[], slopes: readonly FleetSlope[]): BudgetLine {
  const largest = reports.at(-1)?.nodes ?? 0;
  const slope = slopes.find(({ measure }) => measure.name === RESIDENT_MEASURE);
  return {
    what: 'Memory, resident, whole process',
    ...MEMORY,
    value: slope && residentAt(slope, TARGET.nodes),
    from:
      largest === TARGET.nodes
        ? `real processes among ${figure(largest)} nodes`
        : `line through real processes among up to ${figure(largest)} nodes`,
  };
}

function controlLines(
  reports: readonly ScaleReport[],
  slopes: readonly FleetSlope[],
): BudgetLine[] {
  const largest = reports.at(-1);
  const from =
    largest?.nodes === TARGET.nodes
      ? 'the run at this size'
      : `power fit up to ${figure(largest?.nodes ?? 0)} nodes`;
  const at = (name: string): { value: number | undefined; from: string } => {
    const slope = slopes.find(({ measure }) => measure.name === name);
    return { value: slope && estimateAt(slope, TARGET.nodes)?.value, from };
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
    { what: 'Change in force everywhere, last node', ...TIME, ...at('Change in force, last') },
    { what: 'Restarted node up to date, last', ...TIME, ...at('Restarted node up to date, last') },
    { what: 'Zone back, all up to date', ...TIME, ...at('Zone back, all up to date') },
    { what: 'Region healed, all up to date', ...TIME, ...at('Region healed, all up to date') },
  ];
}

function callLine(): BudgetLine {
  return {
    what: 'Added to a call, p99',
    budget: BUDGET.addedLatencyP99Ms,
    unit: 'ms',
    value: undefined,
    from: 'see *Request path*',
  };
}
