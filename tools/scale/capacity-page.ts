/** The figures of docs/CAPACITY.md, made from the reports of scale runs. Pure. */
import type { LoadReport } from '../load/load-report.js';
import { budgetTable } from './budget-table.js';
import { FLAT_EXPONENT, MEASURES, phaseOf, slopeOf, type FleetSlope } from './fleet-slopes.js';
import { keptSection } from './kept-sections.js';
import { figure, table } from './markdown.js';
import { CAPACITY_TEXT } from './capacity-text.js';
import { rolesTable } from './roles-table.js';
import type { ScaleReport } from './scale-report.js';

const DISTRIBUTION_SECTION = 'distribution-compared';
const PLATFORM_SECTION = 'on-the-platform';
const REQUEST_SECTION = 'request-path';

/** The page; `previous` is what it was before, whose kept sections stay. */
export function capacityPage(
  reports: readonly ScaleReport[],
  previous: string,
  load: LoadReport | undefined,
): string {
  const sorted = [...reports].sort(
    (left, right) =>
      left.nodes - right.nodes || Number(left.sharesDocuments) - Number(right.sharesDocuments),
  );
  const slopes = MEASURES.map((measure) => slopeOf(measure, sorted));
  const sections = [
    CAPACITY_TEXT.introduction,
    '## Runs',
    runsTable(sorted),
    CAPACITY_TEXT.runs,
    '## Against the budget',
    budgetTable(sorted, slopes, load),
    CAPACITY_TEXT.budget,
    '## What grows with the fleet',
    slopesTable(sorted, slopes),
    growthText(slopes),
    '## Phases',
    ...sorted.slice(-2).map(phasesTable),
    CAPACITY_TEXT.phases,
    '## Roles',
    rolesTable(sorted, slopes),
    CAPACITY_TEXT.roles,
    CAPACITY_TEXT.connections,
    CAPACITY_TEXT.limits,
    '## Request path',
    keptSection(previous, REQUEST_SECTION, 'Not measured yet.'),
    '## Distribution compared',
    keptSection(
      previous,
      DISTRIBUTION_SECTION,
      'Not compared on this page yet: `npm run compare`.',
    ),
    "## On the users' platform",
    keptSection(previous, PLATFORM_SECTION, 'Not measured yet.'),
  ];
  return `${sections.join('\n\n')}\n`;
}

function runsTable(reports: readonly ScaleReport[]): string {
  const headings = [
    'Nodes',
    'Commit',
    'Started',
    'Processes',
    'Resources',
    'Memory of the run, GiB',
  ];
  return table(
    [...headings, 'Late event loops, p99 ms (quiet, worst)', 'Load (quiet, worst)', 'Calls served'],
    reports.map((report) => [
      `${figure(report.nodes)}${report.sharesDocuments ? ', documents shared' : ''}`,
      `\`${report.commit}\`${report.isModified ? ' (modified)' : ''}`,
      report.startedAt.slice(0, 16).replace('T', ' '),
      figure(report.processes),
      figure(report.resources),
      figure(report.peakResidentMiB / 1_024),
      `${figure(phaseOf(report, 'quiet')?.figures.loopDelayP99Ms ?? 0)}, ${figure(worstDelay(report))}`,
      `${figure(phaseOf(report, 'quiet')?.figures.loadAverage ?? 0)}, ${figure(worstLoad(report))}`,
      `${figure(report.calls.served)} of ${figure(report.calls.started)}`,
    ]),
  );
}

function worstLoad(report: ScaleReport): number {
  return Math.max(...report.phases.map(({ figures }) => figures.loadAverage));
}

function worstDelay(report: ScaleReport): number {
  return Math.max(...report.phases.map(({ figures }) => figures.loopDelayP99Ms));
}

function slopesTable(reports: readonly ScaleReport[], slopes: readonly FleetSlope[]): string {
  const sizes = [...new Set(reports.map(({ nodes }) => nodes))];
  return table(
    ['For one node', 'Unit', ...sizes.map((nodes) => `N = ${figure(nodes)}`), 'Exponent', 'R²'],
    slopes.map(({ measure, values, fit }) => [
      measure.name,
      measure.unit,
      ...sizes.map((nodes) => {
        const found = values.find((value) => value.nodes === nodes);
        return found === undefined ? '–' : figure(found.value);
      }),
      fit === undefined ? '–' : fit.exponent.toFixed(2),
      fit === undefined ? '–' : fit.r2.toFixed(2),
    ]),
  );
}

function growthText(slopes: readonly FleetSlope[]): string {
  const growing = slopes
    .flatMap(({ measure, fit }) =>
      fit !== undefined && fit.exponent >= FLAT_EXPONENT && fit.r2 >= MIN_R2
        ? [{ name: measure.name, exponent: fit.exponent }]
        : [],
    )
    .sort((left, right) => right.exponent - left.exponent)
    .map(({ name, exponent }) => `${name} (N^${exponent.toFixed(2)})`);
  return growing.length === 0
    ? 'Nothing grows with the fleet beyond the scatter of the runs.'
    : `Grows with the fleet (exponent of at least ${FLAT_EXPONENT}, R² of at least ${MIN_R2}): ${growing.join('; ')}.`;
}

const MIN_R2 = 0.5;

function phasesTable(report: ScaleReport): string {
  const rows = report.phases.map(({ name, figures, convergence, recoveryMs, events }) => [
    name,
    figure(events),
    figure(figures.seconds),
    figure(figures.cpuPercent),
    `${figure(figures.sentBytesPerSecond)} / ${figure(figures.receivedBytesPerSecond)}`,
    `${figure(figures.sentMessagesPerSecond)} / ${figure(figures.receivedMessagesPerSecond)}`,
    convergence === undefined
      ? '–'
      : `${figure(convergence.p50Ms)} / ${figure(convergence.p99Ms)} / ${figure(convergence.maxMs)}`,
    convergence === undefined
      ? '–'
      : `${convergence.missing} of ${convergence.samples + convergence.missing}`,
    recoveryMs === undefined ? '–' : figure(recoveryMs),
    figure(figures.peakReaders),
    figure(figures.loopDelayP99Ms),
    topTypes(figures.sentBytesPerSecondByType),
  ]);
  const headings = ['Phase', 'Events', 'Seconds', 'Processor, %', 'Bytes/s, sent / received'];
  return `The run at ${figure(report.nodes)} nodes, figures for one hollow node${report.sharesDocuments ? ' (documents shared: its processor time is not that of a node alone)' : ''}:\n\n${table(
    [
      ...headings,
      'Messages/s, sent / received',
      'In force after, ms: p50 / p99 / last',
      'Missing',
      'All up to date, ms',
      'Readers, peak',
      'Late loops, p99 ms',
      'Most bytes sent: type (bytes/s)',
    ],
    rows,
  )}`;
}

const SHOWN_TYPES = 3;

function topTypes(byType: Readonly<Record<string, number>>): string {
  return Object.entries(byType)
    .slice(0, SHOWN_TYPES)
    .map(([type, rate]) => `${type} (${figure(rate)})`)
    .join(', ');
}
