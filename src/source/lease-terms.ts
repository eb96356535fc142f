/** Terms of reader leases: slot names, durations, and the resulting maximum number of readers. */

/** Slot of the one reader that does not depend on a machine list. */
export const RECOVERY_SLOT = 'recovery';
/** Readers beyond the zones' shares: the holder of {@link RECOVERY_SLOT}. */
export const RECOVERY_READERS = 1;
/** Maximum number of electors of a zone; they are its oldest machines. */
export const MAX_ELECTORS = 5;
/**
 * Fraction of the lease duration by which the holder stops early. It allows for the clocks of holder and elector
 * running at rates that differ by up to this fraction.
 */
export const CLOCK_DRIFT_FRACTION = 0.05;
/** Time that a round waits for answers, in milliseconds. */
export const ROUND_TIMEOUT_MS = 1_000;

/** Timing of a lease; the same on every node. */
export interface LeaseTerms {
  /** Time for which a grant binds an elector, in milliseconds of the elector's clock. */
  readonly durationMs: number;
  /** Interval between renewals, in milliseconds. */
  readonly renewIntervalMs: number;
}

/** Number of readers that each zone may have, by zone. The same on every node. */
export type ReaderShares = Readonly<Record<string, number>>;

/** Time for which a holder may rely on a grant, starting when it sent the request. */
export function holderTermMs(durationMs: number): number {
  return durationMs * (1 - CLOCK_DRIFT_FRACTION);
}

/** Name of one slot of a zone's share. */
export function zoneSlot(zone: string, index: number): string {
  return `${zone}/${index}`;
}

/** Names of all slots of a zone's share. */
export function zoneSlots(shares: ReaderShares, zone: string): string[] {
  const share = Object.hasOwn(shares, zone) ? (shares[zone] ?? 0) : 0;
  return Array.from({ length: share }, (_, index) => zoneSlot(zone, index));
}

/** Maximum number of platform readers; the platform's limit must not be lower. 0 if no zone has a share. */
export function maxReaders(shares: ReaderShares): number {
  const sum = Object.values(shares).reduce((total, share) => total + share, 0);
  return sum === 0 ? 0 : sum + RECOVERY_READERS;
}

export function majorityOf(electors: number): number {
  return Math.floor(electors / 2) + 1;
}
