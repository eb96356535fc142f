/**
 * Cuts a byte stream into frames. A frame is a length of three bytes, big-endian, and a body of that
 * length. Memory follows the bytes that arrived, never a length that was only announced.
 */
import { FrameError } from './frame-error.js';

/** Bytes of the length before each body. */
export const LENGTH_PREFIX_BYTES = 3;
/** Longest body of a frame, and longest payload once inflated, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;

const NOTHING = Buffer.alloc(0);

/** Collects the bytes of one stream. Take every frame with {@link next} after each {@link push}. */
export class FrameReader {
  private buffer: Buffer = NOTHING;
  private start = 0;
  private end = 0;
  /** Whether `buffer` was allocated here, so that its free part may be written. */
  private owned = false;

  /** `maxFrameBytes` bounds the body of a frame; it may be changed between two frames. */
  constructor(public maxFrameBytes: number = MAX_FRAME_BYTES) {}

  /** Adds bytes that arrived. Bodies that were returned before are invalid from here on. */
  push(chunk: Buffer): void {
    if (this.start === this.end) {
      this.buffer = chunk;
      this.start = 0;
      this.end = chunk.length;
      this.owned = false;
      return;
    }
    this.reserve(chunk.length);
    chunk.copy(this.buffer, this.end);
    this.end += chunk.length;
  }

  /**
   * The body of the next whole frame, or undefined until more bytes come.
   * Throws {@link FrameError} `oversized`, or `malformed` for an empty frame.
   */
  next(): Buffer | undefined {
    if (this.bufferedBytes < LENGTH_PREFIX_BYTES) {
      return this.releaseWhenEmpty();
    }
    const length = this.buffer.readUIntBE(this.start, LENGTH_PREFIX_BYTES);
    if (length === 0) {
      throw new FrameError('malformed', 'no body');
    }
    if (length > this.maxFrameBytes) {
      throw new FrameError('oversized', `${length} bytes, at most ${this.maxFrameBytes}`);
    }
    const bodyStart = this.start + LENGTH_PREFIX_BYTES;
    if (this.end < bodyStart + length) {
      return undefined;
    }
    this.start = bodyStart + length;
    return this.buffer.subarray(bodyStart, this.start);
  }

  /** To be called when the stream ends; throws {@link FrameError} `truncated` inside a frame. */
  finish(): void {
    if (this.bufferedBytes > 0) {
      throw new FrameError('truncated', `${this.bufferedBytes} bytes of an unfinished frame`);
    }
  }

  /** Bytes that arrived and belong to no returned frame. */
  get bufferedBytes(): number {
    return this.end - this.start;
  }

  private releaseWhenEmpty(): undefined {
    if (this.bufferedBytes === 0) {
      this.buffer = NOTHING;
      this.start = 0;
      this.end = 0;
      this.owned = false;
    }
    return undefined;
  }

  /** Makes room for `bytes` more: at most twice what has arrived. */
  private reserve(bytes: number): void {
    if (this.owned && this.end + bytes <= this.buffer.length) {
      return;
    }
    const needed = this.bufferedBytes + bytes;
    const grown = Buffer.allocUnsafeSlow(needed * 2);
    this.buffer.copy(grown, 0, this.start, this.end);
    this.buffer = grown;
    this.end = this.bufferedBytes;
    this.start = 0;
    this.owned = true;
  }
}
