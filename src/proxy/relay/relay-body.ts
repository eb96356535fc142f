/**
 * Bodies that cross a relay connection in parts, each with a window of its own. An answer's window is
 * open from the start; a request's opens when its receiver gives credit.
 */
import { Readable, Writable } from 'node:stream';

/** Bytes of one body that may be on their way or unread at the receiver. */
export const BODY_WINDOW_BYTES = 64 * 1024;
/** Bytes of one frame of a body at most: others get their turn in between. */
const MAX_PART_BYTES = 16 * 1024;
/** Bytes that are read before the sender is told that there is room. */
const CREDIT_STEP_BYTES = 16 * 1024;

/** Sends one part of a body. */
export type SendPart = (bytes: Buffer, isLast: boolean) => void;

/** The sending end. */
export class RelayBodyWriter extends Writable {
  private waiting: (() => void) | undefined;

  /** `windowBytes` may be sent before the receiver gives credit. */
  constructor(
    private readonly sendPart: SendPart,
    private windowBytes = BODY_WINDOW_BYTES,
  ) {
    super({ highWaterMark: MAX_PART_BYTES });
  }

  /** The receiver has room for more. */
  addCredit(bytes: number): void {
    this.windowBytes += bytes;
    const resume = this.waiting;
    this.waiting = undefined;
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
    let rest = chunk;
    while (rest.length > 0 && this.windowBytes > 0) {
      const part = rest.subarray(0, Math.min(MAX_PART_BYTES, this.windowBytes));
      this.sendPart(part, false);
      this.windowBytes -= part.length;
      rest = rest.subarray(part.length);
    }
    if (rest.length === 0) {
      done();
    } else {
      this.waiting = () => this.sendParts(rest, done);
    }
  }
}

/** The receiving end. */
export class RelayBodyReader extends Readable {
  private unreportedBytes = 0;
  private windowBytes = BODY_WINDOW_BYTES;
  private isEnded = false;

  /**
   * `sendCredit` tells the sender that there is room for so many bytes more; with `isOpen` false, also for
   * the first ones, once somebody reads.
   */
  constructor(
    private readonly sendCredit: (bytes: number) => void,
    private isOpen = true,
  ) {
    super({ highWaterMark: BODY_WINDOW_BYTES });
  }

  /** Whether the body arrived in full. */
  get complete(): boolean {
    return this.isEnded;
  }

  /** Lets the sender have so many bytes more on their way, or unread here. */
  widen(bytes: number): void {
    if (!this.isEnded && !this.destroyed) {
      this.windowBytes += bytes;
      this.sendCredit(bytes);
    }
  }

  /** Takes a part that arrived. A sender that goes beyond its window breaks the body off. */
  receive(bytes: Buffer, isLast: boolean): void {
    this.unreportedBytes += bytes.length;
    if (this.unreportedBytes > this.windowBytes) {
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
    if (!this.isOpen) {
      this.isOpen = true;
      this.sendCredit(BODY_WINDOW_BYTES);
      return;
    }
    if (this.unreportedBytes >= CREDIT_STEP_BYTES && !this.isEnded) {
      this.sendCredit(this.unreportedBytes);
      this.unreportedBytes = 0;
    }
  }
}
