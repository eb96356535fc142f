/** Versions of replicated documents and their total order. */

/** Version of a document: its number, and a digest of its content as a tie-breaker. */
export interface DocumentVersion {
  /** Increases with each publication; 0 means that no document has been received. */
  readonly number: number;
  /** Content digest, 32 lower-case hexadecimal digits; see {@link ./document.ts}. */
  readonly digest: string;
}

/** Digest of a document without entries. */
export const EMPTY_DIGEST = '0'.repeat(32);

/** Version before a node has received any document. */
export const NO_VERSION: DocumentVersion = { number: 0, digest: EMPTY_DIGEST };

/**
 * Compares versions like a sort comparator. The higher number is newer. For equal numbers the higher digest is
 * considered newer, so that parts of a fleet that received different documents with the same number converge on
 * one of them.
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

export function isNewer(candidate: DocumentVersion, held: DocumentVersion): boolean {
  return compareVersions(candidate, held) > 0;
}
