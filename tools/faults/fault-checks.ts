/** Judges a run with failures. Pure. */
import type { VersionFall } from '../demo/version-log.js';
import { BROKEN_PROMISES, type CallAudit } from '../shared/call-audit.js';
import { isServed, type CallRecord } from '../shared/call-record.js';

/** For so long after an unplanned failure ended may calls be cut, in milliseconds. */
export const RECOVERY_MS = 5_000;
/** Time in which the last good version is in force everywhere after the failures, in milliseconds. */
export const CONVERGENCE_BOUND_MS = 30_000;
/** Names listed for each broken promise at most. */
const MAX_LISTED_NAMES = 6;

/** A time in which calls may be cut, in milliseconds since 1970. */
export interface FailureWindow {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A time in which an action stopped, killed or froze one node, until it ran again. */
export interface NodeAbsence extends FailureWindow {
  readonly node: string;
}

/** How a planned stop ended. */
export interface PlannedExit {
  readonly name: string;
  /** Undefined when it did not end in time. */
  readonly code: number | null | undefined;
}

/** What a run has shown. */
export interface FaultRunResult {
  readonly title: string;
  readonly seed: number;
  readonly failures: number;
  readonly audit: CallAudit;
  /** Arrivals that found too many calls outstanding. */
  readonly dropped: number;
  /** Calls left in doubt although no unplanned failure was near. */
  readonly cutWithoutFailure: readonly CallRecord[];
  /** Repeatable calls that were not served although the node that was called ran all along. */
  readonly unservedByUntouched: readonly CallRecord[];
  readonly executions: number;
  readonly falls: readonly VersionFall[];
  readonly versionsPublished: number;
  /** Bad versions that some node was seen to hold. */
  readonly badVersionsHeld: readonly number[];
  readonly peakReaders: number;
  readonly readersRefused: number;
  readonly readerBound: number;
  /** From the end of the failures; undefined when it took longer than it may. */
  readonly convergenceMs: number | undefined;
  /** Nodes that do not hold the last version at the end. */
  readonly behind: readonly string[];
  /** Nodes that do not serve the last version's route. */
  readonly withoutNewRoute: readonly string[];
  readonly plannedExits: readonly PlannedExit[];
  /** Programs that ended although nobody told them to. */
  readonly endedUnasked: readonly string[];
}

/** Whether the caller was left in doubt or its connection broke. */
export function isInDoubt({ end }: CallRecord): boolean {
  switch (end.type) {
    case 'broken':
    case 'timed-out':
      return true;
    case 'answered':
      return end.verdict === 'may-have-run';
    case 'not-sent':
      return false;
  }
}

/** Calls in doubt that met no window of an unplanned failure or of the recovery from it. */
export function findCutWithoutFailure(
  records: readonly CallRecord[],
  windows: readonly FailureWindow[],
): CallRecord[] {
  return records.filter((record) => {
    const endedAt = record.startedAt + record.latencyMs;
    const meets = ({ fromMs, untilMs }: FailureWindow): boolean =>
      record.startedAt <= untilMs + RECOVERY_MS && endedAt >= fromMs;
    return isInDoubt(record) && !windows.some(meets);
  });
}

/**
 * Repeatable calls that were not served although nothing was done to the node that was called, from
 * before the call until after it.
 */
export function findUnservedByUntouched(
  records: readonly CallRecord[],
  absences: readonly NodeAbsence[],
): CallRecord[] {
  return records.filter((record) => {
    const endedAt = record.startedAt + record.latencyMs;
    const isTouched = absences.some(
      ({ node, fromMs, untilMs }) =>
        node === record.node && record.startedAt <= untilMs + RECOVERY_MS && endedAt >= fromMs,
    );
    return record.repeatable && !isServed(record) && !isTouched;
  });
}

/** How many of the calls ended in which way, in words. */
export function countEnds(records: readonly CallRecord[]): string {
  const counts = new Map<string, number>();
  for (const { end } of records) {
    const name = end.type === 'answered' ? `${end.status} ${end.verdict ?? ''}` : end.type;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => `${count} ${name}`).join(', ') || 'none';
}

/** Every promise that broke, in words; empty when none did. */
export function findBroken(result: FaultRunResult): string[] {
  const broken: string[] = [];
  const checkEmpty = (names: readonly string[], what: string): void => {
    if (names.length > 0) {
      broken.push(`${what}: ${listNames(names)}`);
    }
  };
  for (const promise of BROKEN_PROMISES) {
    checkEmpty(result.audit[promise], promise);
  }
  checkEmpty(
    result.cutWithoutFailure.map((record) => record.callId),
    'calls cut although nothing failed',
  );
  checkEmpty(
    result.falls.map(({ node, from, to }) => `${node} ${from}->${to}`),
    'versions fell',
  );
  checkEmpty(result.badVersionsHeld.map(String), 'bad versions held');
  checkEmpty(result.behind, 'without the last version');
  checkEmpty(result.withoutNewRoute, 'without the route of the last version');
  checkEmpty(
    result.plannedExits.filter(({ code }) => code !== 0).map(describeExit),
    'planned stops that did not end cleanly',
  );
  checkEmpty(result.endedUnasked, 'ended unasked');
  if (result.audit.served === 0) {
    broken.push('no call was served');
  }
  if (result.peakReaders > result.readerBound || result.readersRefused > 0) {
    broken.push(
      `readers at the platform: ${result.peakReaders} of ${result.readerBound}, ${result.readersRefused} refused`,
    );
  }
  if (result.convergenceMs === undefined) {
    broken.push(`the last version was not in force everywhere within ${CONVERGENCE_BOUND_MS} ms`);
  }
  return broken;
}

function describeExit({ name, code }: PlannedExit): string {
  return `${name} (${code === undefined ? 'too long' : (code ?? 'by a signal')})`;
}

function listNames(names: readonly string[]): string {
  const rest = names.length - MAX_LISTED_NAMES;
  const listed = names.slice(0, MAX_LISTED_NAMES).join(', ');
  return rest > 0 ? `${listed} and ${rest} more` : listed;
}
