/**
 * Cursors: the text form of a snapshot's version. A watch that is resumed with a cursor goes on
 * after that snapshot, on any node that passed through it.
 */
import type { SnapshotVersion } from '../model/snapshot.js';
import { isNewer, type DocumentVersion } from '../model/version.js';

const CURSOR_PATTERN = /^(\d{1,16})\.([0-9a-f]{32})-(\d{1,16})\.([0-9a-f]{32})$/;

/** The cursor of a snapshot. */
export function formatCursor({ source, operator }: SnapshotVersion): string {
  return `${source.number}.${source.digest}-${operator.number}.${operator.digest}`;
}

/** The version that a cursor stands for; undefined when `text` is none. */
export function parseCursor(text: string): SnapshotVersion | undefined {
  const match = CURSOR_PATTERN.exec(text);
  const source = versionOf(match?.[1], match?.[2]);
  const operator = versionOf(match?.[3], match?.[4]);
  return source === undefined || operator === undefined ? undefined : { source, operator };
}

/** Whether the cursor names something newer than what is held: this node lags behind another. */
export function isAhead(cursor: SnapshotVersion, held: SnapshotVersion): boolean {
  return isNewer(cursor.source, held.source) || isNewer(cursor.operator, held.operator);
}

function versionOf(number: string | undefined, digest?: string): DocumentVersion | undefined {
  const parsed = Number(number);
  return digest === undefined || !Number.isSafeInteger(parsed)
    ? undefined
    : { number: parsed, digest };
}
