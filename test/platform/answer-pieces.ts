/** Bytes of an answer that arrive in pieces. */

/** Passes `text` on in pieces of `pieceBytes`. */
export function arriveInPieces(
  reader: { write(chunk: Buffer): void },
  text: string,
  pieceBytes = 7,
): void {
  const bytes = Buffer.from(text);
  for (let start = 0; start < bytes.length; start += pieceBytes) {
    reader.write(bytes.subarray(start, start + pieceBytes));
  }
}
