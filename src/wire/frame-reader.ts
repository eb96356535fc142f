/**
 * Splits a byte stream into frames. A frame is a big-endian length of three bytes and a body of that
 * length. Memory is allocated for bytes received, never for the length that a prefix declares.
 */
import { FrameError } from './frame-error.js';

/** Size of the length prefix, in bytes. */
export const LENGTH_PREFIX_BYTES = 3;
/** Maximum size of a frame's body and of an inflated payload, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;

const EMPTY_BUFFER = Buffer.alloc(0);

/** Buffers the bytes of one stream. Call {@link next} until it returns undefined after each {@link push}. */
export class FrameReader {
  private buffer: Buffer = EMPTY_BUFFER;
  private start = 0;
  private end = 0;
  /** Whether `buffer` was allocated here and may therefore be appended to. */
  private ownsBuffer = false;

  /** `maxFrameBytes` limits the body of a frame; it may be changed between frames. */
  constructor(public maxFrameBytes: number = MAX_FRAME_BYTES) {}

  /** Appends received bytes. This invalidates the bodies returned before. */
  push(chunk: Buffer): void {
    if (this.start === this.end) {
      this.buffer = chunk;
      this.start = 0;
      this.end = chunk.length;
      this.ownsBuffer = false;
      return;
    }
    this.reserve(chunk.length);
    chunk.copy(this.buffer, this.end);
    this.end += chunk.length;
  }

  /**
   * Returns the body of the next complete frame, or undefined if more bytes are needed.
   * Throws {@link FrameError} `oversized`, or `malformed` for an empty frame.
   */
  next(): Buffer | undefined {
    if (this.bufferedBytes < LENGTH_PREFIX_BYTES) {
      return this.releaseIfEmpty();
    }
    const length = this.buffer.readUIntBE(this.start, LENGTH_PREFIX_BYTES);
    if (length === 0) {
      throw new FrameError('malformed', 'empty frame');
    }
    if (length > this.maxFrameBytes) {
      throw new FrameError(
        'oversized',
        `body of ${length} bytes exceeds the limit of ${this.maxFrameBytes}`,
      );
    }
    const bodyStart = this.start + LENGTH_PREFIX_BYTES;
    if (this.end < bodyStart + length) {
      return undefined;
    }
    this.start = bodyStart + length;
    return this.buffer.subarray(bodyStart, this.start);
  }

  /** Must be called when the stream ends; throws {@link FrameError} `truncated` inside a frame. */
  finish(): void {
    if (this.bufferedBytes > 0) {
      throw new FrameError('truncated', `${this.bufferedBytes} bytes of an incomplete frame`);
    }
  }

  /** Number of bytes received that are not part of a returned frame. */
  get bufferedBytes(): number {
    return this.end - this.start;
  }

  private releaseIfEmpty(): undefined {
    if (this.bufferedBytes === 0) {
      this.buffer = EMPTY_BUFFER;
      this.start = 0;
      this.end = 0;
      this.ownsBuffer = false;
    }
    return undefined;
  }

  /** Ensures capacity for `bytes` more. Allocates at most twice the number of bytes received. */
  private reserve(bytes: number): void {
    if (this.ownsBuffer && this.end + bytes <= this.buffer.length) {
      return;
    }
    const needed = this.bufferedBytes + bytes;
    const grown = Buffer.allocUnsafeSlow(needed * 2);
    this.buffer.copy(grown, 0, this.start, this.end);
    this.buffer = grown;
    this.end = this.bufferedBytes;
    this.start = 0;
    this.ownsBuffer = true;
  }
}
