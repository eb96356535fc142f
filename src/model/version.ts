/**
 * Versions of replicated documents and the total rule that says which of two is newer.
 */

/** Position of one document: its number, and a digest of its content that settles a tie. */
export interface DocumentVersion {
  /** Rises with each publication; 0 means nothing held. */
  readonly number: number;
  /** Content digest, 32 lower-case hexadecimal digits; see {@link ./document.ts}. */
  readonly digest: string;
}

/** Digest of a document without entries. */
export const EMPTY_DIGEST = '0'.repeat(32);

/** What a node holds before it has held anything. */
export const NO_VERSION: DocumentVersion = { number: 0, digest: EMPTY_DIGEST };

/**
 * Total order: the higher number is newer; under one number the higher digest is taken as newer, so
 * that two parts of a fleet that met different documents under one number settle on the same one.
 * Returns a negative number, zero or a positive number, as a sort comparator does.
 */
export function compareVersions(left: DocumentVersion, right: DocumentVersion): number {
  if (left.number !== right.number) {
    return left.number - right.number;
  }
  if (left.digest === right.digest) {
    return 0;
  }
  return left.digest < right.digest ? -1 : 1;
}

/** Whether `candidate` is newer than `held`. */
export function isNewer(candidate: DocumentVersion, held: DocumentVersion): boolean {
  return compareVersions(candidate, held) > 0;
}
