/** What grows with the fleet, and by which power: fits over the reports of several sizes. */
import type { PhaseFigures } from './fleet-sample.js';
import { scaledBack } from './phase-plan.js';
import type { PhaseName, PhaseReport, ScaleReport } from './scale-report.js';
import { fitLinear, fitPower, valueAt, type PowerFit, type SizedValue } from './slope-fit.js';

/** A growth below this exponent is taken for none: it is within the scatter of the runs. */
export const FLAT_EXPONENT = 0.15;

/** Names that other tables look for. */
export const LIVE_MEASURE = 'Live memory of a hollow node';
export const RESIDENT_MEASURE = 'Resident memory of a whole process';

/** One measure over all sizes. */
export interface FleetMeasure {
  readonly name: string;
  /**
   * `node` for processor time and memory of one node: not from runs that share documents. `fleet` for
   * times and bytes: from the run that shares documents where a size was run both ways, since that
   * one tells least of the machine.
   */
  readonly kind: 'node' | 'fleet';
  readonly unit: string;
  readonly of: (report: ScaleReport) => number | undefined;
}

/** A measure with its values and fit. */
export interface FleetSlope {
  readonly measure: FleetMeasure;
  readonly values: readonly SizedValue[];
  readonly fit: PowerFit | undefined;
}

/** A phase of a report. */
export function phaseOf(report: ScaleReport, name: PhaseName): PhaseReport | undefined {
  return report.phases.find((phase) => phase.name === name);
}

type Rate = (figures: PhaseFigures) => number;

/** Bytes a second, sent and received, of one node. */
const bytesRate: Rate = (figures) => figures.sentBytesPerSecond + figures.receivedBytesPerSecond;
/** Processor time of one hollow node, in percent of a core. */
const cpuRate: Rate = (figures) => figures.cpuPercent;

function rateIn(report: ScaleReport, name: PhaseName, rate: Rate): number | undefined {
  const phase = phaseOf(report, name);
  return phase && rate(phase.figures);
}

/** An ordinary day at the target's rates: quiet, and what changes and restarts add to it. */
function dayRate(report: ScaleReport, rate: Rate): number | undefined {
  const { compression } = report;
  const quiet = rateIn(report, 'quiet', rate);
  const changes = rateIn(report, 'changes', rate);
  const restarts = rateIn(report, 'restarts', rate);
  if (quiet === undefined || changes === undefined || restarts === undefined) {
    return undefined;
  }
  return (
    quiet +
    scaledBack(changes, quiet, compression.changes) +
    scaledBack(restarts, quiet, compression.restarts)
  );
}

/** Control bytes a second of an ordinary day, sent and received, for one node. */
export function dayBytes(report: ScaleReport): number | undefined {
  return dayRate(report, bytesRate);
}

/** Processor time of an ordinary day, in percent of a core, for one hollow node. */
export function dayCpuPercent(report: ScaleReport): number | undefined {
  return dayRate(report, cpuRate);
}

/** The most that real processes of one sort took on average at the end of any phase. */
function mostResidentMiB(report: ScaleReport): number {
  return Math.max(
    ...report.phases.flatMap(({ figures: { realElector, realOther } }) => [
      realElector.residentMiB,
      realOther.residentMiB,
    ]),
  );
}

/** What one event of a phase costs above quiet: the rate's unit times seconds. */
function costPerEvent(report: ScaleReport, name: PhaseName, rate: Rate): number | undefined {
  const phase = phaseOf(report, name);
  const quiet = rateIn(report, 'quiet', rate);
  if (phase === undefined || quiet === undefined || phase.events === 0) {
    return undefined;
  }
  return (Math.max(0, rate(phase.figures) - quiet) * phase.figures.seconds) / phase.events;
}

/** What a whole phase costs: the rate's unit times seconds. */
function costOfPhase(report: ScaleReport, name: PhaseName, rate: Rate): number | undefined {
  const phase = phaseOf(report, name);
  return phase && rate(phase.figures) * phase.figures.seconds;
}

/** Percent of a core times seconds, in milliseconds of processor time. */
function asMilliseconds(percentSeconds: number | undefined): number | undefined {
  return percentSeconds === undefined ? undefined : 10 * percentSeconds;
}

const convergence =
  (name: PhaseName, pick: 'p50Ms' | 'p99Ms' | 'maxMs') =>
  (report: ScaleReport): number | undefined =>
    phaseOf(report, name)?.convergence?.[pick];

/** Every measure, in the order of the page. */
export const MEASURES: readonly FleetMeasure[] = [
  {
    name: 'Processor, quiet',
    kind: 'node',
    unit: '% of a core',
    of: (r) => rateIn(r, 'quiet', cpuRate),
  },
  { name: 'Processor, a day', kind: 'node', unit: '% of a core', of: dayCpuPercent },
  {
    name: 'Processor, one change',
    kind: 'node',
    unit: 'ms',
    of: (r) => asMilliseconds(costPerEvent(r, 'changes', cpuRate)),
  },
  {
    name: 'Processor, a cold start',
    kind: 'node',
    unit: 'ms',
    of: (r) => asMilliseconds(costOfPhase(r, 'cold-start', cpuRate)),
  },
  { name: LIVE_MEASURE, kind: 'node', unit: 'MiB', of: (r) => r.liveMiBPerNode },
  {
    name: RESIDENT_MEASURE,
    kind: 'fleet',
    unit: 'MiB',
    of: mostResidentMiB,
  },
  {
    name: 'Control bytes, quiet',
    kind: 'fleet',
    unit: 'bytes/s',
    of: (r) => rateIn(r, 'quiet', bytesRate),
  },
  { name: 'Control bytes, a day', kind: 'fleet', unit: 'bytes/s', of: dayBytes },
  {
    name: 'Control bytes, one change',
    kind: 'fleet',
    unit: 'bytes',
    of: (r) => costPerEvent(r, 'changes', bytesRate),
  },
  {
    name: 'Control bytes, one restart',
    kind: 'fleet',
    unit: 'bytes',
    of: (r) => costPerEvent(r, 'restarts', bytesRate),
  },
  {
    name: 'Control bytes, a zone dies (36 s)',
    kind: 'fleet',
    unit: 'bytes',
    of: (r) => costOfPhase(r, 'zone-dies', bytesRate),
  },
  {
    name: 'Control bytes, a region heals (first 12 s)',
    kind: 'fleet',
    unit: 'bytes',
    of: (r) => costOfPhase(r, 'region-heals', bytesRate),
  },
  {
    name: 'Control bytes, after a region heals',
    kind: 'fleet',
    unit: 'bytes/s',
    of: (r) => rateIn(r, 'region-heals', bytesRate),
  },
  {
    name: 'Control bytes, a cold start',
    kind: 'fleet',
    unit: 'bytes',
    of: (r) => costOfPhase(r, 'cold-start', bytesRate),
  },
  {
    name: 'Messages, quiet',
    kind: 'fleet',
    unit: '1/s',
    of: (r: ScaleReport): number | undefined => {
      const figures = phaseOf(r, 'quiet')?.figures;
      return figures && figures.sentMessagesPerSecond + figures.receivedMessagesPerSecond;
    },
  },
  {
    name: 'Links, mean',
    kind: 'fleet',
    unit: '',
    of: (r) => phaseOf(r, 'quiet')?.figures.meanLinks,
  },
  {
    name: 'Links, most',
    kind: 'fleet',
    unit: '',
    of: (r) => phaseOf(r, 'quiet')?.figures.maxLinks,
  },
  { name: 'Change in force, p50', kind: 'fleet', unit: 'ms', of: convergence('changes', 'p50Ms') },
  { name: 'Change in force, p99', kind: 'fleet', unit: 'ms', of: convergence('changes', 'p99Ms') },
  { name: 'Change in force, last', kind: 'fleet', unit: 'ms', of: convergence('changes', 'maxMs') },
  {
    name: 'Change in force while a zone dies, last',
    kind: 'fleet',
    unit: 'ms',
    of: convergence('zone-dies', 'maxMs'),
  },
  {
    name: 'Change in force in a cut, last',
    kind: 'fleet',
    unit: 'ms',
    of: convergence('region-cut', 'maxMs'),
  },
  {
    name: 'Restarted node up to date, last',
    kind: 'fleet',
    unit: 'ms',
    of: convergence('restarts', 'maxMs'),
  },
  {
    name: 'Zone back, all up to date',
    kind: 'fleet',
    unit: 'ms',
    of: (r) => phaseOf(r, 'zone-returns')?.recoveryMs,
  },
  {
    name: 'Region healed, all up to date',
    kind: 'fleet',
    unit: 'ms',
    of: (r) => phaseOf(r, 'region-heals')?.recoveryMs,
  },
  {
    name: 'Cold start of all, last',
    kind: 'fleet',
    unit: 'ms',
    of: convergence('cold-start', 'maxMs'),
  },
  {
    name: 'Readers at the platform, peak',
    kind: 'fleet',
    unit: '',
    of: (r) => r.phases.at(-1)?.figures.peakReaders,
  },
  {
    name: 'Reads of the platform',
    kind: 'fleet',
    unit: '1/s',
    of: (r) => phaseOf(r, 'quiet')?.figures.platformReadsPerSecond,
  },
];

/** The reports that a measure is taken from: one for each size. */
function reportsFor(measure: FleetMeasure, reports: readonly ScaleReport[]): ScaleReport[] {
  if (measure.kind === 'node') {
    return reports.filter((report) => !report.sharesDocuments);
  }
  const shared = new Set(
    reports.filter((report) => report.sharesDocuments).map(({ nodes }) => nodes),
  );
  return reports.filter((report) => report.sharesDocuments || !shared.has(report.nodes));
}

/** Fits one measure. */
export function slopeOf(measure: FleetMeasure, reports: readonly ScaleReport[]): FleetSlope {
  const values = reportsFor(measure, reports).flatMap((report) => {
    const value = measure.of(report);
    return value === undefined ? [] : [{ nodes: report.nodes, value }];
  });
  return { measure, values, fit: fitPower(values) };
}

/** A value at a size that was run, or by a fit. */
export interface Estimate {
  readonly value: number;
  readonly isMeasured: boolean;
  /** The largest size that was run. */
  readonly largest: number;
}

/** The value at a size: measured where there is a run, else by the power fit. */
export function estimateAt(slope: FleetSlope, nodes: number): Estimate | undefined {
  const { fit } = slope;
  return estimate(slope, nodes, fit && valueAt(fit, nodes));
}

/** The same by a line: memory is a constant and a part for each machine. */
export function linearEstimateAt(slope: FleetSlope, nodes: number): Estimate | undefined {
  const fit = fitLinear(slope.values);
  return estimate(slope, nodes, fit && fit.base + fit.slope * nodes);
}

function estimate(
  { values }: FleetSlope,
  nodes: number,
  fitted: number | undefined,
): Estimate | undefined {
  const largest = Math.max(0, ...values.map((value) => value.nodes));
  const measured = values.find((value) => value.nodes === nodes);
  if (measured !== undefined) {
    return { value: measured.value, isMeasured: true, largest };
  }
  return fitted === undefined ? undefined : { value: fitted, isMeasured: false, largest };
}
