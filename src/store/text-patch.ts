/**
 * Patches between two versions of a long text, such as a configuration in which one route changed. A patch consists
 * of ranges of the old text and of new text. Pure.
 */

/** Texts are split before this character, which begins each object in JSON. */
const PIECE_START = '{';

/**
 * Maximum length of a patched text, in characters. Without a limit, a patch with many ranges of a long text could
 * produce a text that exceeds the memory of any process.
 */
export const MAX_TEXT_LENGTH = 4 * 1024 * 1024;

/** A part of the new text: a range of the old text, or literal text. */
export type PatchPart = readonly [start: number, end: number] | string;

/** The parts of the new text, in order. */
export type TextPatch = readonly PatchPart[];

/** Creates a patch that converts `oldText` to `newText`. */
export function createPatch(oldText: string, newText: string): TextPatch {
  const startOf = new Map<string, number>();
  let offset = 0;
  for (const piece of piecesOf(oldText)) {
    if (!startOf.has(piece)) {
      startOf.set(piece, offset);
    }
    offset += piece.length;
  }
  const parts: PatchPart[] = [];
  for (const piece of piecesOf(newText)) {
    const rangeEnd = endOfRange(parts.at(-1));
    const continuesRange = rangeEnd !== undefined && oldText.startsWith(piece, rangeEnd);
    append(parts, piece, continuesRange ? rangeEnd : startOf.get(piece));
  }
  return parts;
}

/** Returns the new text; undefined if the patch does not match `oldText` or the new text would be too long. */
export function applyPatch(oldText: string, patch: TextPatch): string | undefined {
  let text = '';
  for (const part of patch) {
    const piece = typeof part === 'string' ? part : rangeOf(oldText, part);
    if (piece === undefined || text.length + piece.length > MAX_TEXT_LENGTH) {
      return undefined;
    }
    text += piece;
  }
  return text;
}

function rangeOf(
  oldText: string,
  [start, end]: readonly [start: number, end: number],
): string | undefined {
  const isWithin = start >= 0 && start <= end && end <= oldText.length;
  return isWithin ? oldText.slice(start, end) : undefined;
}

/** Appends a piece, merging it with the last part if they are adjacent. */
function append(parts: PatchPart[], piece: string, start: number | undefined): void {
  const last = parts.at(-1);
  if (start === undefined) {
    if (typeof last === 'string') {
      parts[parts.length - 1] = last + piece;
    } else {
      parts.push(piece);
    }
    return;
  }
  const end = start + piece.length;
  if (last !== undefined && typeof last !== 'string' && last[1] === start) {
    parts[parts.length - 1] = [last[0], end];
  } else {
    parts.push([start, end]);
  }
}

/** End of a part's range in the old text; undefined if the part is literal text. */
function endOfRange(part: PatchPart | undefined): number | undefined {
  return part === undefined || typeof part === 'string' ? undefined : part[1];
}

function* piecesOf(text: string): IterableIterator<string> {
  let start = 0;
  while (start < text.length) {
    const next = text.indexOf(PIECE_START, start + 1);
    const end = next < 0 ? text.length : next;
    yield text.slice(start, end);
    start = end;
  }
}
