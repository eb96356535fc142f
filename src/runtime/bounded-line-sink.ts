/**
 * Writes log lines without ever waiting for their reader. Lines that would have to wait beyond a
 * bound are dropped and counted; a line says how many once there is room again.
 */
import type { LineSink } from './logger.js';

/** Bytes that may wait for a slow reader. */
const MAX_WAITING_BYTES = 256 * 1024;

/** A stream that keeps what its reader has not taken yet. */
export interface BufferingStream {
  readonly writableLength: number;
  write(text: string): unknown;
}

/** The sink. */
export class BoundedLineSink implements LineSink {
  private droppedLines = 0;

  constructor(
    private readonly stream: BufferingStream,
    private readonly maxWaitingBytes = MAX_WAITING_BYTES,
  ) {}

  write(line: string): void {
    if (this.stream.writableLength > this.maxWaitingBytes) {
      this.droppedLines += 1;
      return;
    }
    this.reportDropped();
    this.stream.write(line);
  }

  private reportDropped(): void {
    if (this.droppedLines > 0) {
      const lines = this.droppedLines;
      this.droppedLines = 0;
      this.stream.write(
        `${JSON.stringify({ event: 'log-lines-dropped', lines, cause: 'reader' })}\n`,
      );
    }
  }
}
