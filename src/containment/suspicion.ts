/** What nodes know, and tell each other, of requests under which endpoints ended. */

/** What is known against one request. Crashes are ends of an endpoint's process, by their names. */
export interface Suspicion {
  /** See {@link RequestFingerprint}. */
  readonly fingerprint: string;
  /** Time since its newest crash, in milliseconds. */
  readonly ageMs: number;
  /** The crashes at which it was at work. */
  readonly crashes: readonly string[];
  /** Those of them that count no more: the request was answered since, or an operator let it go. */
  readonly cleared: readonly string[];
}

/** A suspicion as operators see it. */
export interface SuspicionReport extends Suspicion {
  readonly standing: Standing;
  /** How much longer the request is contained, in milliseconds; 0 when it is not. */
  readonly containedForMs: number;
}

/** Requests under suspicion, as operators see them. */
export interface SuspicionView {
  report(): readonly SuspicionReport[];
  /** Lets a request go; false when nothing stood against it. */
  release(fingerprint: string): boolean;
}

/**
 * - `clear`: nothing stands against the request.
 * - `suspect`: an endpoint ended while it was at work.
 * - `accused`: two did, or it was contained and its time is over: it is tried alone, at one endpoint.
 * - `contained`: three did: it is not sent to endpoints.
 */
export type Standing = 'clear' | 'suspect' | 'accused' | 'contained';

/** Hexadecimal digits of the name of a crash. */
export const CRASH_NAME_DIGITS = 12;
/** Crashes that make a request `accused`. */
export const CRASHES_TO_ACCUSE = 2;
/** Crashes that make a request `contained`: one may be another's doing, three in a row are not. */
export const CRASHES_TO_CONTAIN = 3;
/** Crashes that are kept of one request at most. */
export const MAX_CRASHES = 8;

/**
 * Time for which a request is contained after its third crash, in milliseconds; each further crash doubles
 * it. Long beside the seconds in which an endpoint is back, short beside a working day: a request that
 * was mended meanwhile is served again without anybody's help, at the price of one endpoint otherwise.
 */
export const CONTAINED_MS = 5 * 60_000;
/** The longest such time, in milliseconds. */
export const MAX_CONTAINED_MS = 2 * 3_600_000;
/** Time for which a request is kept in mind besides, in milliseconds. */
const REMEMBERED_MS = 5 * 60_000;

/** How long a request with so many crashes is contained after the newest one, in milliseconds. */
export function containedMs(crashes: number): number {
  const doublings = crashes - CRASHES_TO_CONTAIN;
  return doublings < 0 ? 0 : Math.min(MAX_CONTAINED_MS, CONTAINED_MS * 2 ** doublings);
}

/** How long a request with so many crashes is kept in mind after the newest one, in milliseconds. */
export function rememberedMs(crashes: number): number {
  return containedMs(crashes) + REMEMBERED_MS;
}

/** The standing of a request with so many crashes that count, the newest of which was `ageMs` ago. */
export function standingAfter(crashes: number, ageMs: number): Standing {
  if (crashes >= CRASHES_TO_CONTAIN && ageMs < containedMs(crashes)) {
    return 'contained';
  }
  if (crashes >= CRASHES_TO_ACCUSE) {
    return 'accused';
  }
  return crashes > 0 ? 'suspect' : 'clear';
}
