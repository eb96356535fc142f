/**
 * Bodies transferred in frames over a relay connection, each with its own flow-control window. The window of an
 * answer is open from the start; that of a request opens when the receiver grants credit.
 */
import { Readable, Writable } from 'node:stream';

/** Maximum number of bytes of one body that are in flight or unread at the receiver. */
export const BODY_WINDOW_BYTES = 64 * 1024;
/** Maximum body bytes per frame, so that frames of other streams can be interleaved. */
const MAX_FRAME_BYTES = 16 * 1024;
/** Number of bytes that are read before credit is returned to the sender. */
const MIN_CREDIT_BYTES = 16 * 1024;

/** Sends one part of a body as a frame. */
export type SendPart = (bytes: Buffer, isLast: boolean) => void;

/** Sending end of a body. */
export class RelayBodyWriter extends Writable {
  private resumeWrite: (() => void) | undefined;

  /** `windowBytes` may be sent before the receiver grants credit. */
  constructor(
    private readonly sendPart: SendPart,
    private windowBytes = BODY_WINDOW_BYTES,
  ) {
    super({ highWaterMark: MAX_FRAME_BYTES });
  }

  /** Extends the window by credit from the receiver. */
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

/** Receiving end of a body. */
export class RelayBodyReader extends Readable {
  private uncreditedBytes = 0;
  private windowBytes = BODY_WINDOW_BYTES;
  /** The part of the window that is withdrawn as it is read. */
  private extensionBytes = 0;
  private isEnded = false;

  /**
   * `sendCredit` grants the sender credit. With `isWindowOpen` false, the initial window is granted only once the
   * body is being read.
   */
  constructor(
    private readonly sendCredit: (bytes: number) => void,
    private isWindowOpen = true,
  ) {
    super({ highWaterMark: BODY_WINDOW_BYTES });
  }

  /** Whether the whole body was received. */
  get complete(): boolean {
    return this.isEnded;
  }

  /** Allows the sender to send `bytes` more, once: no credit is returned for as many of the bytes that are read. */
  extendWindow(bytes: number): void {
    if (!this.isEnded && !this.destroyed) {
      this.windowBytes += bytes;
      this.extensionBytes += bytes;
      this.sendCredit(bytes);
    }
  }

  /** Handles a received part. The body is aborted if the sender exceeds its window. */
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

  /** Called whenever the read buffer has capacity. */
  override _read(): void {
    if (!this.isWindowOpen) {
      this.isWindowOpen = true;
      this.sendCredit(BODY_WINDOW_BYTES);
      return;
    }
    if (this.uncreditedBytes >= MIN_CREDIT_BYTES && !this.isEnded) {
      this.returnCredit();
    }
  }

  private returnCredit(): void {
    const withdrawnBytes = Math.min(this.extensionBytes, this.uncreditedBytes);
    const creditBytes = this.uncreditedBytes - withdrawnBytes;
    this.extensionBytes -= withdrawnBytes;
    this.windowBytes -= withdrawnBytes;
    this.uncreditedBytes = 0;
    if (creditBytes > 0) {
      this.sendCredit(creditBytes);
    }
  }
}
