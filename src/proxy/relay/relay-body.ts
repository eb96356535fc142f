/**
 * Bodies that cross a relay connection in parts, each with a window of its own. An answer's window is
 * open from the start; a request's opens when its receiver gives credit.
 */
import { Readable, Writable } from 'node:stream';

/** Bytes of one body that may be on their way or unread at the receiver. */
export const BODY_WINDOW_BYTES = 64 * 1024;
/** Bytes of one frame of a body at most: others get their turn in between. */
const MAX_FRAME_BYTES = 16 * 1024;
/** Bytes that are read before the sender is told that there is room. */
const MIN_CREDIT_BYTES = 16 * 1024;

/** Sends one part of a body. */
export type SendPart = (bytes: Buffer, isLast: boolean) => void;

/** The sending end. */
export class RelayBodyWriter extends Writable {
  private resumeWrite: (() => void) | undefined;

  /** `windowBytes` may be sent before the receiver gives credit. */
  constructor(
    private readonly sendPart: SendPart,
    private windowBytes = BODY_WINDOW_BYTES,
  ) {
    super({ highWaterMark: MAX_FRAME_BYTES });
  }

  /** The receiver has room for more. */
  addCredit(bytes: number): void {
    this.windowBytes += bytes;
    const resume = this.resumeWrite;
    this.resumeWrite = undefined;
    resume?.();
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: () => void): void {
    this.sendParts(chunk, done);
  }

  override _final(done: () => void): void {
    this.sendPart(Buffer.alloc(0), true);
    done();
  }

  private sendParts(chunk: Buffer, done: () => void): void {
    let remaining = chunk;
    while (remaining.length > 0 && this.windowBytes > 0) {
      const part = remaining.subarray(0, Math.min(MAX_FRAME_BYTES, this.windowBytes));
      this.sendPart(part, false);
      this.windowBytes -= part.length;
      remaining = remaining.subarray(part.length);
    }
    if (remaining.length === 0) {
      done();
    } else {
      this.resumeWrite = () => this.sendParts(remaining, done);
    }
  }
}

/** The receiving end. */
export class RelayBodyReader extends Readable {
  private uncreditedBytes = 0;
  private windowBytes = BODY_WINDOW_BYTES;
  private isEnded = false;

  /**
   * `sendCredit` tells the sender that there is room for so many bytes more; with `isOpen` false, also for
   * the first ones, once somebody reads.
   */
  constructor(
    private readonly sendCredit: (bytes: number) => void,
    private isWindowOpen = true,
  ) {
    super({ highWaterMark: BODY_WINDOW_BYTES });
  }

  /** Whether the body arrived in full. */
  get complete(): boolean {
    return this.isEnded;
  }

  /** Lets the sender have so many bytes more on their way, or unread here. */
  extendWindow(bytes: number): void {
    if (!this.isEnded && !this.destroyed) {
      this.windowBytes += bytes;
      this.sendCredit(bytes);
    }
  }

  /** Takes a part that arrived. A sender that goes beyond its window breaks the body off. */
  receive(bytes: Buffer, isLast: boolean): void {
    this.uncreditedBytes += bytes.length;
    if (this.uncreditedBytes > this.windowBytes) {
      this.destroy();
      return;
    }
    if (bytes.length > 0) {
      this.push(bytes);
    }
    if (isLast) {
      this.isEnded = true;
      this.push(null);
    }
  }

  /** Called whenever there is room here again. */
  override _read(): void {
    if (!this.isWindowOpen) {
      this.isWindowOpen = true;
      this.sendCredit(BODY_WINDOW_BYTES);
      return;
    }
    if (this.uncreditedBytes >= MIN_CREDIT_BYTES && !this.isEnded) {
      this.sendCredit(this.uncreditedBytes);
      this.uncreditedBytes = 0;
    }
  }
}
