/** Assembles the chunks of a stream into lines, in time linear in the number of bytes. */

/** Assembles the lines of one stream. */
export class LineAssembler {
  /** Pieces of the incomplete line. */
  private pieces: string[] = [];
  private unfinishedBytes = 0;

  /** Bytes received of the incomplete line. */
  get partialBytes(): number {
    return this.unfinishedBytes;
  }

  /** Adds the next chunk; returns the lines that it completes, without their newlines. */
  push(text: string): string[] {
    const lines = text.split('\n');
    const remainder = lines.pop() ?? '';
    if (lines.length > 0) {
      lines[0] = this.pieces.join('') + (lines[0] ?? '');
      this.pieces = [];
      this.unfinishedBytes = 0;
    }
    if (remainder !== '') {
      this.pieces.push(remainder);
      this.unfinishedBytes += Buffer.byteLength(remainder);
    }
    return lines;
  }
}
