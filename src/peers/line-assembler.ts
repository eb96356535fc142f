/** Joins what arrives in pieces to lines, in time that grows with the bytes alone. */

/** The lines of one stream. */
export class LineAssembler {
  /** Pieces of the line whose end is missing. */
  private pieces: string[] = [];
  private unfinishedBytes = 0;

  /** Bytes that arrived of a line whose end is missing. */
  get partialBytes(): number {
    return this.unfinishedBytes;
  }

  /** Takes what arrived next; gives the lines that are whole by it, without their ends. */
  take(text: string): string[] {
    const lines = text.split('\n');
    const rest = lines.pop() ?? '';
    if (lines.length > 0) {
      lines[0] = this.pieces.join('') + (lines[0] ?? '');
      this.pieces = [];
      this.unfinishedBytes = 0;
    }
    if (rest !== '') {
      this.pieces.push(rest);
      this.unfinishedBytes += Buffer.byteLength(rest);
    }
    return lines;
  }
}
