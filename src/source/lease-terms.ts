/** Terms of reader leases: names of slots, times, and the bound that they add up to. */

/** The slot of the one reader that does not depend on a machine list. */
export const RECOVERY_SLOT = 'recovery';
/** Readers beyond the zones' shares: the holder of {@link RECOVERY_SLOT}. */
export const RECOVERY_READERS = 1;
/** Electors of a zone at most: its oldest machines. */
export const MAX_ELECTORS = 5;
/**
 * Part of a lease by which its holder stops early. It covers clocks of holder and elector of which
 * one runs up to this much faster than the other.
 */
export const CLOCK_DRIFT_FRACTION = 0.05;
/** Time that a round of requests waits for answers, in milliseconds. */
export const ROUND_TIMEOUT_MS = 1_000;

/** Times of a lease; the same on every node. */
export interface LeaseTerms {
  /** How long a grant binds an elector, in milliseconds of its own clock. */
  readonly durationMs: number;
  /** Time from one renewal to the next, in milliseconds. */
  readonly renewIntervalMs: number;
}

/** Readers that each zone may have: zone to number. The same on every node. */
export type ReaderShares = Readonly<Record<string, number>>;

/** How long a holder may count on a grant, from when it sent the request. */
export function holderTermMs(durationMs: number): number {
  return durationMs * (1 - CLOCK_DRIFT_FRACTION);
}

/** Name of a slot of a zone's share. */
export function zoneSlot(zone: string, index: number): string {
  return `${zone}/${index}`;
}

/** Names of all slots of a zone's share. */
export function zoneSlots(shares: ReaderShares, zone: string): string[] {
  const share = Object.hasOwn(shares, zone) ? (shares[zone] ?? 0) : 0;
  return Array.from({ length: share }, (_, index) => zoneSlot(zone, index));
}

/** Readers at the platform at most: its bound must not be lower. 0 where no zone has a share. */
export function mostReaders(shares: ReaderShares): number {
  const sum = Object.values(shares).reduce((total, share) => total + share, 0);
  return sum === 0 ? 0 : sum + RECOVERY_READERS;
}

/** Votes that make a majority of `electors`. */
export function majorityOf(electors: number): number {
  return Math.floor(electors / 2) + 1;
}
