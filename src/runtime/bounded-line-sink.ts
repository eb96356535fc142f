/**
 * Writes log lines without blocking on a slow reader. While the stream buffers more than a limit,
 * lines are dropped and counted; the next line that can be written is preceded by a report of the count.
 */
import type { LineSink } from './logger.js';

/** Bytes that the stream may buffer for a slow reader. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** A stream that buffers data until its reader consumes it. */
export interface BufferingStream {
  readonly writableLength: number;
  write(text: string): unknown;
}

export class BoundedLineSink implements LineSink {
  private droppedLines = 0;

  constructor(
    private readonly stream: BufferingStream,
    private readonly maxBufferedBytes = MAX_BUFFERED_BYTES,
  ) {}

  write(line: string): void {
    if (this.stream.writableLength > this.maxBufferedBytes) {
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
