/**
 * Cursors: the text form of a snapshot's version. A watch that is resumed with a cursor goes on
 * after that snapshot, on any node that passed through it.
 */
import type { SnapshotVersion } from '../model/snapshot.js';
import type { DigestMask } from './digest-mask.js';

const CURSOR_PATTERN = /^(\d{1,16})\.[0-9a-f]{32}-(\d{1,16})\.[0-9a-f]{32}$/;

/** The version numbers that a cursor names. */
export interface CursorNumbers {
  readonly source: number;
  readonly operator: number;
}

/** The cursor of a snapshot. */
export function formatCursor({ source, operator }: SnapshotVersion, mask: DigestMask): string {
  const sourceText = `${source.number}.${mask(source.digest)}`;
  return `${sourceText}-${operator.number}.${mask(operator.digest)}`;
}

/** The numbers in a cursor; undefined when `text` is none. */
export function parseCursor(text: string): CursorNumbers | undefined {
  const match = CURSOR_PATTERN.exec(text);
  const source = Number(match?.[1]);
  const operator = Number(match?.[2]);
  return Number.isSafeInteger(source) && Number.isSafeInteger(operator)
    ? { source, operator }
    : undefined;
}

/** Whether the cursor names something newer than what is held: this node lags behind another. */
export function isAhead(cursor: CursorNumbers, held: SnapshotVersion): boolean {
  return cursor.source > held.source.number || cursor.operator > held.operator.number;
}
