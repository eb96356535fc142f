/** Figures of one phase: the difference of two samples of the whole fleet. */
import type { HollowSample, NodeTotals } from './hollow-sample.js';
import type { ProcessUsage } from '../shared/process-usage.js';
import { ELECTOR_MACHINES } from './scale-plan.js';

/** One real node. */
export interface RealNodeUsage extends ProcessUsage {
  /** Whether it is an elector of its zone, and so likely to be its reader too. */
  readonly isElector: boolean;
}

/** Usage of real nodes of one sort, on average. */
export interface RealNodeFigures {
  readonly cpuPercent: number;
  readonly residentMiB: number;
}

/** Everything at one moment. */
export interface FleetSample {
  /** Milliseconds since 1970. */
  readonly at: number;
  readonly hollow: readonly HollowSample[];
  /** Real nodes. */
  readonly real: readonly RealNodeUsage[];
  /** Resident memory of every process of the run. */
  readonly residentBytes: number;
  readonly peakReaders: number;
  readonly readersRefused: number;
  readonly platformReads: number;
  /** Load of the machine over the last minute. */
  readonly loadAverage: number;
}

/** Figures of one phase; rates are for one hollow node unless named otherwise. */
export interface PhaseFigures {
  readonly seconds: number;
  readonly runningNodes: number;
  readonly cpuPercent: number;
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  /** Sent and received, of the node with the most. */
  readonly maxBytesPerSecond: number;
  readonly sentMessagesPerSecond: number;
  readonly receivedMessagesPerSecond: number;
  readonly meanLinks: number;
  readonly maxLinks: number;
  /** Sent and received, of the electors on average. */
  readonly electorBytesPerSecond: number;
  readonly realElector: RealNodeFigures;
  readonly realOther: RealNodeFigures;
  /** Resident memory of the hollow processes, divided by their nodes. */
  readonly hollowResidentMiB: number;
  readonly loopDelayP99Ms: number;
  readonly loopDelayMaxMs: number;
  readonly loadAverage: number;
  readonly platformReadsPerSecond: number;
  readonly peakReaders: number;
  readonly readersRefused: number;
  /** Bytes sent a second by message type. */
  readonly sentBytesPerSecondByType: Readonly<Record<string, number>>;
  /** What counters rose by in the phase, all hollow nodes together. */
  readonly counterRises: Readonly<Record<string, number>>;
}

const BYTES_PER_MIB = 1_048_576;

/** The figures between two samples. */
export function phaseFigures(before: FleetSample, after: FleetSample): PhaseFigures {
  const seconds = (after.at - before.at) / 1_000;
  const earlier = new Map(nodesOf(before).map((node) => [node.index, node]));
  const nodes = nodesOf(after);
  const running = nodes.filter((node) => node.isRunning);
  const count = Math.max(1, nodes.length);
  const rate = (pick: (node: NodeTotals) => number): number =>
    sum(nodes.map((node) => pick(node) - pickOr(earlier.get(node.index), pick))) / seconds / count;
  const bytes = nodes.map((node) => bytesOf(node) - pickOr(earlier.get(node.index), bytesOf));
  const cpuMs = totalCpuMs(after) - totalCpuMs(before);
  const resident = sum(after.hollow.map((sample) => sample.residentBytes));
  return {
    seconds: round(seconds),
    runningNodes: running.length,
    cpuPercent: round(cpuMs / 10 / seconds / count, 4),
    sentBytesPerSecond: round(rate((node) => node.sentBytes)),
    receivedBytesPerSecond: round(rate((node) => node.receivedBytes)),
    maxBytesPerSecond: round(Math.max(0, ...bytes) / seconds),
    sentMessagesPerSecond: round(rate((node) => node.sentMessages)),
    receivedMessagesPerSecond: round(rate((node) => node.receivedMessages)),
    meanLinks: round(sum(running.map((node) => node.links)) / Math.max(1, running.length)),
    maxLinks: Math.max(0, ...running.map((node) => node.links)),
    electorBytesPerSecond: round(
      mean(bytes.filter((_, position) => isElector(nodes[position]))) / seconds,
    ),
    realElector: realFigures(before, after, seconds, true),
    realOther: realFigures(before, after, seconds, false),
    hollowResidentMiB: round(resident / BYTES_PER_MIB / count, 2),
    loopDelayP99Ms: round(Math.max(0, ...after.hollow.map((sample) => sample.loopDelayP99Ms))),
    loopDelayMaxMs: round(Math.max(0, ...after.hollow.map((sample) => sample.loopDelayMaxMs))),
    loadAverage: round(after.loadAverage),
    platformReadsPerSecond: round((after.platformReads - before.platformReads) / seconds),
    peakReaders: after.peakReaders,
    readersRefused: after.readersRefused - before.readersRefused,
    sentBytesPerSecondByType: bytesByType(before, after, seconds * count),
    counterRises: counterRises(before, after),
  };
}

function isElector(node: NodeTotals | undefined): boolean {
  return node !== undefined && node.index < ELECTOR_MACHINES;
}

function realFigures(
  before: FleetSample,
  after: FleetSample,
  seconds: number,
  electors: boolean,
): RealNodeFigures {
  const chosen = after.real.flatMap((usage, position) =>
    usage.isElector === electors ? { usage, before: before.real[position] } : [],
  );
  const cpuMs = chosen.map(({ usage, before: earlier }) => usage.cpuMs - (earlier?.cpuMs ?? 0));
  const resident = chosen.map(({ usage }) => usage.residentBytes);
  return {
    cpuPercent: round(mean(cpuMs) / 10 / seconds, 3),
    residentMiB: round(mean(resident) / BYTES_PER_MIB),
  };
}

function bytesByType(
  before: FleetSample,
  after: FleetSample,
  nodeSeconds: number,
): Record<string, number> {
  const total = (sample: FleetSample, type: string): number =>
    sum(sample.hollow.map((hollow) => hollow.sentBytesByType[type] ?? 0));
  const types = new Set(after.hollow.flatMap((hollow) => Object.keys(hollow.sentBytesByType)));
  const rates = [...types].map(
    (type) => [type, round((total(after, type) - total(before, type)) / nodeSeconds, 2)] as const,
  );
  return Object.fromEntries(rates.filter(([, rate]) => rate > 0).sort((a, b) => b[1] - a[1]));
}

function counterRises(before: FleetSample, after: FleetSample): Record<string, number> {
  const names = new Set(after.hollow.flatMap(({ counters }) => Object.keys(counters)));
  const total = (sample: FleetSample, name: string): number =>
    sum(sample.hollow.map(({ counters }) => counters[name] ?? 0));
  const rises = [...names].map((name) => [name, total(after, name) - total(before, name)] as const);
  return Object.fromEntries(rises.filter(([, rise]) => rise > 0).sort((a, b) => b[1] - a[1]));
}

function nodesOf(sample: FleetSample): NodeTotals[] {
  return sample.hollow.flatMap((hollow) => hollow.nodes);
}

function bytesOf(node: NodeTotals): number {
  return node.sentBytes + node.receivedBytes;
}

function pickOr(node: NodeTotals | undefined, pick: (node: NodeTotals) => number): number {
  return node === undefined ? 0 : pick(node);
}

function totalCpuMs(sample: FleetSample): number {
  return sum(sample.hollow.map((hollow) => hollow.cpuMs));
}

function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Rounds to so many digits after the point. */
export function round(value: number, digits = 1): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}
