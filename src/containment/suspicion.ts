/** What nodes know and exchange about requests that endpoints were processing when they crashed. */

/** The crashes attributed to one request. A crash is the end of an endpoint's process, identified by an id. */
export interface Suspicion {
  /** See {@link RequestFingerprint}. */
  readonly fingerprint: string;
  /** Time since the newest crash, in milliseconds. */
  readonly ageMs: number;
  /** Ids of the crashes during which the request was being processed. */
  readonly crashes: readonly string[];
  /** Ids of the crashes that no longer count, because the request was answered since or an operator released it. */
  readonly cleared: readonly string[];
}

/** A suspicion as reported to operators. */
export interface SuspicionReport extends Suspicion {
  readonly standing: Standing;
  /** Time for which the request remains contained, in milliseconds; 0 when it is not contained. */
  readonly containedForMs: number;
}

/** Access to the suspicions for operators. */
export interface SuspicionView {
  report(): readonly SuspicionReport[];
  /** Clears a request for all callers; false when no crash counted against it. */
  release(fingerprint: string): boolean;
}

/**
 * - `clear`: no crash counts against the request.
 * - `suspect`: one endpoint crashed while processing the request.
 * - `accused`: two endpoints crashed, or the containment period is over. The request is tried at one endpoint,
 *   without other suspects.
 * - `contained`: three endpoints crashed. The request is not sent to endpoints.
 */
export type Standing = 'clear' | 'suspect' | 'accused' | 'contained';

/** Hexadecimal digits of a crash id. */
export const CRASH_ID_DIGITS = 12;
/** Number of crashes that make a request `accused`. */
export const CRASHES_TO_ACCUSE = 2;
/** Number of crashes that make a request `contained`: one may have another cause, three in a row do not. */
export const CRASHES_TO_CONTAIN = 3;
/** Maximum number of crashes stored for one request. */
export const MAX_CRASHES = 8;

/**
 * Containment period after the third crash of a request, in milliseconds; each further crash doubles it. Long
 * compared with the seconds that an endpoint needs to restart, short compared with a working day: a request whose
 * fault has been fixed is served again without intervention, at the cost of one more crash if it has not.
 */
export const CONTAINED_MS = 5 * 60_000;
/** Maximum containment period, in milliseconds. */
export const MAX_CONTAINED_MS = 2 * 3_600_000;
/** Time for which an entry is retained beyond its containment period, in milliseconds. */
const RETENTION_MS = 5 * 60_000;

/** Containment period of a request with this many crashes, from the newest one, in milliseconds. */
export function containedMs(crashes: number): number {
  const doublings = crashes - CRASHES_TO_CONTAIN;
  return doublings < 0 ? 0 : Math.min(MAX_CONTAINED_MS, CONTAINED_MS * 2 ** doublings);
}

/** Retention period of a request with this many crashes, from the newest one, in milliseconds. */
export function retentionMs(crashes: number): number {
  return containedMs(crashes) + RETENTION_MS;
}

/** The standing of a request with this many counted crashes, the newest of which was `ageMs` ago. */
export function standingAfter(crashes: number, ageMs: number): Standing {
  if (crashes >= CRASHES_TO_CONTAIN && ageMs < containedMs(crashes)) {
    return 'contained';
  }
  if (crashes >= CRASHES_TO_ACCUSE) {
    return 'accused';
  }
  return crashes > 0 ? 'suspect' : 'clear';
}
