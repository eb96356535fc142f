/**
 * Combines the era and the revision of a store into one number. A store that is restored from a backup starts a
 * new era and reissues earlier revisions. Ordering by era first gives later writes the higher number. Pure.
 */

/** Revisions per era: enough for three years at 10,000 changes a second. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Highest revision within an era. */
export const MAX_REVISION_IN_ERA = REVISIONS_PER_ERA - 1;
/** Highest era for which combined revisions are safe integers. */
export const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / REVISIONS_PER_ERA) - 1;

/** Combines an era and the store's revision within it. */
export function revisionOf(era: number, revisionInEra: number): number {
  return era * REVISIONS_PER_ERA + revisionInEra;
}

/** The era of a combined revision; 0 for stores without eras. */
export function eraOf(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** The store's revision within its era, from a combined revision. */
export function revisionInEra(revision: number): number {
  return revision % REVISIONS_PER_ERA;
}
