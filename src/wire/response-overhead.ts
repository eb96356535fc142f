/**
 * Bounds the bytes of an HTTP response that are not part of its body. A parser reads empty lines, interim responses,
 * and the digits of a chunk size without a limit and reports none of them.
 *
 * Load: servers that send such bytes without end, quickly or a few at a time. Pure: reads in, verdict out.
 */

/** Bytes that a response may have besides its body: several heads of the maximum size. */
export const MAX_OVERHEAD_BYTES = 64 * 1024;
/** Additional overhead per byte of the body; a chunk of one byte has an overhead of five. */
export const MAX_OVERHEAD_PER_BODY_BYTE = 16;
/** Bytes between the data of two chunks: two line breaks and a size of 16 digits, with some margin. */
const MAX_CHUNK_HEADER_BYTES = 24;
/** Time in which a chunk header or the trailers have to arrive, in milliseconds. */
const MAX_CHUNK_HEADER_MS = 5_000;

/** Time limits of one response. */
export interface ResponseTimes {
  /** When the response is due; after it, only a body in progress continues. */
  readonly deadlineAtMs: number;
  /** Maximum time without a byte of the body, in milliseconds. */
  readonly bodyIdleTimeoutMs: number;
}

/**
 * - `too-many-bytes`: the response has more overhead than its size justifies.
 * - `too-slow`: bytes arrive, but none of them has been part of the body for too long.
 */
export type OverheadFault = 'too-many-bytes' | 'too-slow';

/** The overhead of one response. */
export class ResponseOverhead {
  private readBytes = 0;
  private bodyBytes = 0;
  private hasHead = false;
  /** Whether the head or a part of the body has been parsed since the last read was recorded. */
  private hasProgress = false;
  private lastProgressAtMs = 0;
  private bytesSinceProgress = 0;

  constructor(private readonly times: ResponseTimes) {}

  /** The final head was parsed. */
  recordHead(): void {
    this.hasHead = true;
    this.hasProgress = true;
  }

  /** A part of the body was parsed. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
    this.hasProgress = true;
  }

  /** Must be called for each read, after the head and the parts of the body in it were recorded. */
  recordRead(bytes: number, nowMs: number): OverheadFault | undefined {
    this.readBytes += bytes;
    const maxOverheadBytes = MAX_OVERHEAD_BYTES + this.bodyBytes * MAX_OVERHEAD_PER_BODY_BYTE;
    if (this.readBytes - this.bodyBytes > maxOverheadBytes) {
      return 'too-many-bytes';
    }
    if (this.hasProgress) {
      this.hasProgress = false;
      this.lastProgressAtMs = nowMs;
      this.bytesSinceProgress = 0;
      return undefined;
    }
    this.bytesSinceProgress += bytes;
    return this.hasHead && this.isTooSlow(nowMs) ? 'too-slow' : undefined;
  }

  /** A read without a part of the body; one that is in progress may have begun with a chunk header of its own. */
  private isTooSlow(nowMs: number): boolean {
    const isDue = nowMs >= this.times.deadlineAtMs;
    const idleMs = nowMs - this.lastProgressAtMs;
    const isChunkHeader = this.bodyBytes > 0 || !isDue;
    const isShort = this.bytesSinceProgress <= MAX_CHUNK_HEADER_BYTES;
    const maxIdleMs = isDue ? 0 : MAX_CHUNK_HEADER_MS;
    return isChunkHeader && isShort
      ? idleMs > this.times.bodyIdleTimeoutMs
      : idleMs > Math.min(maxIdleMs, this.times.bodyIdleTimeoutMs);
  }
}
