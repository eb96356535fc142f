/** What grows with the fleet, and by which power: fits over the reports of several sizes. */
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

/** Bytes a second in quiet, sent and received, for one node. */
function quietBytes(report: ScaleReport): number {
  return bytesIn(report, 'quiet');
}

function bytesIn(report: ScaleReport, name: PhaseName): number {
  const figures = phaseOf(report, name)?.figures;
  return figures === undefined ? 0 : figures.sentBytesPerSecond + figures.receivedBytesPerSecond;
}

function cpuIn(report: ScaleReport, name: PhaseName): number {
  return phaseOf(report, name)?.figures.cpuPercent ?? 0;
}

/** An ordinary day at the target's rates: quiet, and what changes and restarts add to it. */
export function dayBytes(report: ScaleReport): number {
  const { changes, restarts } = report.compression;
  const quiet = quietBytes(report);
  return (
    quiet +
    scaledBack(bytesIn(report, 'changes'), quiet, changes) +
    scaledBack(bytesIn(report, 'restarts'), quiet, restarts)
  );
}

/** Processor time of an ordinary day, in percent of a core, for one hollow node. */
export function dayCpuPercent(report: ScaleReport): number {
  const { changes, restarts } = report.compression;
  const quiet = cpuIn(report, 'quiet');
  return (
    quiet +
    scaledBack(cpuIn(report, 'changes'), quiet, changes) +
    scaledBack(cpuIn(report, 'restarts'), quiet, restarts)
  );
}

/** Bytes that one change costs one node, sent and received. */
function bytesPerChange(report: ScaleReport): number {
  return bytesPerEvent(report, 'changes');
}

function bytesPerEvent(report: ScaleReport, name: PhaseName): number {
  const phase = phaseOf(report, name);
  const extra = Math.max(0, bytesIn(report, name) - quietBytes(report));
  return phase === undefined || phase.events === 0
    ? 0
    : (extra * phase.figures.seconds) / phase.events;
}

/** Processor time that one change costs one node, in milliseconds. */
function cpuMsPerChange(report: ScaleReport): number {
  const phase = phaseOf(report, 'changes');
  const extra = Math.max(0, cpuIn(report, 'changes') - cpuIn(report, 'quiet'));
  return phase === undefined || phase.events === 0
    ? 0
    : (extra * 10 * phase.figures.seconds) / phase.events;
}

/** Processor time of a cold start for one node, in milliseconds. */
function coldStartCpuMs(report: ScaleReport): number {
  const phase = phaseOf(report, 'cold-start');
  return phase === undefined ? 0 : phase.figures.cpuPercent * 10 * phase.figures.seconds;
}

function totalBytesIn(report: ScaleReport, name: PhaseName): number {
  return bytesIn(report, name) * (phaseOf(report, name)?.figures.seconds ?? 0);
}

const convergence =
  (name: PhaseName, pick: 'p50Ms' | 'p99Ms' | 'maxMs') =>
  (report: ScaleReport): number | undefined =>
    phaseOf(report, name)?.convergence?.[pick];

/** Every measure, in the order of the page. */
export const MEASURES: readonly FleetMeasure[] = [
  { name: 'Processor, quiet', unit: '% of a core', of: (r) => cpuIn(r, 'quiet') },
  { name: 'Processor, a day', unit: '% of a core', of: dayCpuPercent },
  { name: 'Processor, one change', unit: 'ms', of: cpuMsPerChange },
  { name: 'Processor, a cold start', unit: 'ms', of: coldStartCpuMs },
  { name: LIVE_MEASURE, unit: 'MiB', of: (r) => r.liveMiBPerNode },
  {
    name: RESIDENT_MEASURE,
    unit: 'MiB',
    of: (r) => phaseOf(r, 'region-heals')?.figures.realElector.residentMiB,
  },
  { name: 'Control bytes, quiet', unit: 'bytes/s', of: quietBytes },
  { name: 'Control bytes, a day', unit: 'bytes/s', of: dayBytes },
  { name: 'Control bytes, one change', unit: 'bytes', of: bytesPerChange },
  { name: 'Control bytes, one restart', unit: 'bytes', of: (r) => bytesPerEvent(r, 'restarts') },
  {
    name: 'Control bytes, a zone dies (36 s)',
    unit: 'bytes',
    of: (r) => totalBytesIn(r, 'zone-dies'),
  },
  {
    name: 'Control bytes, a region heals (first 12 s)',
    unit: 'bytes',
    of: (r) => totalBytesIn(r, 'region-heals'),
  },
  {
    name: 'Control bytes, a cold start',
    unit: 'bytes',
    of: (r) => totalBytesIn(r, 'cold-start'),
  },
  {
    name: 'Messages, quiet',
    unit: '1/s',
    of: (r: ScaleReport): number | undefined => {
      const figures = phaseOf(r, 'quiet')?.figures;
      return figures && figures.sentMessagesPerSecond + figures.receivedMessagesPerSecond;
    },
  },
  { name: 'Links, mean', unit: '', of: (r) => phaseOf(r, 'quiet')?.figures.meanLinks },
  { name: 'Links, most', unit: '', of: (r) => phaseOf(r, 'quiet')?.figures.maxLinks },
  { name: 'Change in force, p50', unit: 'ms', of: convergence('changes', 'p50Ms') },
  { name: 'Change in force, p99', unit: 'ms', of: convergence('changes', 'p99Ms') },
  { name: 'Change in force, last', unit: 'ms', of: convergence('changes', 'maxMs') },
  {
    name: 'Change in force while a zone dies, last',
    unit: 'ms',
    of: convergence('zone-dies', 'maxMs'),
  },
  { name: 'Change in force in a cut, last', unit: 'ms', of: convergence('region-cut', 'maxMs') },
  { name: 'Restarted node up to date, last', unit: 'ms', of: convergence('restarts', 'maxMs') },
  {
    name: 'Zone back, all up to date',
    unit: 'ms',
    of: (r) => phaseOf(r, 'zone-returns')?.recoveryMs,
  },
  {
    name: 'Region healed, all up to date',
    unit: 'ms',
    of: (r) => phaseOf(r, 'region-heals')?.recoveryMs,
  },
  { name: 'Cold start of all, last', unit: 'ms', of: convergence('cold-start', 'maxMs') },
  {
    name: 'Readers at the platform, peak',
    unit: '',
    of: (r) => phaseOf(r, 'region-heals')?.figures.peakReaders,
  },
  {
    name: 'Reads of the platform',
    unit: '1/s',
    of: (r) => phaseOf(r, 'quiet')?.figures.platformReadsPerSecond,
  },
];

/** Fits one measure. */
export function slopeOf(measure: FleetMeasure, reports: readonly ScaleReport[]): FleetSlope {
  const values = reports.flatMap((report) => {
    const value = measure.of(report);
    return value === undefined ? [] : [{ nodes: report.nodes, value }];
  });
  return { measure, values, fit: fitPower(values) };
}

/** The value at a size: measured where there is a run, else by the fit. */
export function estimateAt(
  slope: FleetSlope,
  nodes: number,
): { readonly value: number; readonly isMeasured: boolean } | undefined {
  const measured = slope.values.find((value) => value.nodes === nodes);
  if (measured !== undefined) {
    return { value: measured.value, isMeasured: true };
  }
  if (slope.fit === undefined) {
    return undefined;
  }
  return { value: valueAt(slope.fit, nodes), isMeasured: false };
}

/** Resident memory by a line rather than a power: most of it is Node itself. */
export function residentAt(slope: FleetSlope, nodes: number): number | undefined {
  const measured = slope.values.find((value) => value.nodes === nodes);
  const fit = fitLinear(slope.values);
  return measured?.value ?? (fit && fit.base + fit.slope * nodes);
}
