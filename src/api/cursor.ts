/**
 * Cursors: the text form of a snapshot's version. A watch that is resumed with a cursor continues
 * after that snapshot, on any node whose change log contains it.
 */
import type { SnapshotVersion } from '../model/snapshot.js';
import type { DigestMask } from './digest-mask.js';

const CURSOR_PATTERN = /^(\d{1,16})\.[0-9a-f]{32}-(\d{1,16})\.[0-9a-f]{32}$/;

/** The version numbers in a cursor. */
export interface CursorNumbers {
  readonly source: number;
  readonly operator: number;
}

export function formatCursor({ source, operator }: SnapshotVersion, mask: DigestMask): string {
  const sourceText = `${source.number}.${mask(source.digest)}`;
  return `${sourceText}-${operator.number}.${mask(operator.digest)}`;
}

/** Parses the numbers in a cursor; returns undefined if `text` is not a cursor. */
export function parseCursor(text: string): CursorNumbers | undefined {
  const match = CURSOR_PATTERN.exec(text);
  const source = Number(match?.[1]);
  const operator = Number(match?.[2]);
  return Number.isSafeInteger(source) && Number.isSafeInteger(operator)
    ? { source, operator }
    : undefined;
}

/** Whether the cursor is newer than the held version, so that this node lags behind another. */
export function isAhead(cursor: CursorNumbers, held: SnapshotVersion): boolean {
  return cursor.source > held.source.number || cursor.operator > held.operator.number;
}
