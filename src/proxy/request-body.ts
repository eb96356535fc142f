/** A request body: held whole where it is small, so that it can be sent again, else streamed once. */
import type { Readable, Writable } from 'node:stream';

/** A body that attempts send on. */
export interface RequestBody {
  /** Length in bytes where it is known; undefined for a chunked body; 0 for none. */
  readonly length: number | undefined;
  /** Whether the message declares a body, even an empty one. */
  readonly isDeclared: boolean;
  /** Whether several attempts may send it at once. */
  readonly isHeld: boolean;
  /** Whether the body can still be sent in whole. */
  isReplayable(): boolean;
  /** Whether it has arrived in full. */
  isWhole(): boolean;
  /** Writes the body and ends `destination`; destroys it when the sender fails. */
  sendTo(destination: Writable): void;
}

/** Where a streamed body comes from; Node's `IncomingMessage` is one. */
export interface BodySource extends Readable {
  /** Whether the body arrived in full. */
  readonly complete: boolean;
}

/** No body. */
export const EMPTY_BODY: RequestBody = {
  length: 0,
  isDeclared: false,
  isHeld: true,
  isReplayable: () => true,
  isWhole: () => true,
  sendTo: (destination) => destination.end(),
};

/** A body that is held whole. */
export class HeldBody implements RequestBody {
  readonly isDeclared = true;
  readonly isHeld = true;
  readonly length: number;

  constructor(readonly bytes: Buffer) {
    this.length = bytes.length;
  }

  isReplayable(): boolean {
    return true;
  }

  isWhole(): boolean {
    return true;
  }

  sendTo(destination: Writable): void {
    destination.end(this.bytes);
  }
}

/** A body passed on as it arrives, with back-pressure; it can be sent only once. */
export class StreamedBody implements RequestBody {
  readonly isDeclared = true;
  readonly isHeld = false;
  private wasSent = false;

  /** `received` is what was already read of `source`; `maxBytes` bounds the whole body. */
  constructor(
    private readonly source: BodySource,
    readonly length: number | undefined,
    private readonly received: readonly Buffer[],
    private readonly maxBytes: number,
  ) {}

  isReplayable(): boolean {
    return !this.wasSent;
  }

  isWhole(): boolean {
    return this.source.complete;
  }

  sendTo(destination: Writable): void {
    this.wasSent = true;
    const { source } = this;
    let passedBytes = 0;
    const pass = (chunk: Buffer): void => {
      passedBytes += chunk.length;
      if (passedBytes > this.maxBytes) {
        destination.destroy();
      } else if (!destination.write(chunk)) {
        source.pause();
      }
    };
    source.on('data', pass);
    source.on('end', () => destination.end());
    source.on('close', () => {
      if (!source.complete) {
        destination.destroy();
      }
    });
    destination.on('drain', () => source.resume());
    destination.on('close', () => {
      source.off('data', pass);
      source.resume();
    });
    this.received.forEach(pass);
    source.resume();
  }
}
