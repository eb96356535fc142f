/** Request bodies: small ones are buffered so that they can be sent again, others are streamed once. */
import type { Readable, Writable } from 'node:stream';

/** A request body that attempts send to endpoints. */
export interface RequestBody {
  /** Length in bytes; undefined for a chunked body, 0 if there is no body. */
  readonly length: number | undefined;
  /** Whether the request declares a body, even an empty one. */
  readonly isDeclared: boolean;
  /** Whether several attempts can send the body concurrently. */
  readonly isBuffered: boolean;
  /** Whether the complete body can still be sent. */
  isReplayable(): boolean;
  /** Whether the body has been received in full. */
  isComplete(): boolean;
  /** Writes the body and ends `destination`; destroys it if the body is cut short. */
  sendTo(destination: Writable): void;
}

/** Source of a streamed body, such as Node's `IncomingMessage`. */
export interface BodySource extends Readable {
  /** Whether the source has received the body in full. */
  readonly complete: boolean;
}

export const EMPTY_BODY: RequestBody = {
  length: 0,
  isDeclared: false,
  isBuffered: true,
  isReplayable: () => true,
  isComplete: () => true,
  sendTo: (destination) => destination.end(),
};

/** A body that is held in memory. */
export class BufferedBody implements RequestBody {
  readonly isDeclared = true;
  readonly isBuffered = true;
  readonly length: number;

  constructor(readonly bytes: Buffer) {
    this.length = bytes.length;
  }

  isReplayable(): boolean {
    return true;
  }

  isComplete(): boolean {
    return true;
  }

  sendTo(destination: Writable): void {
    destination.end(this.bytes);
  }
}

/** A body that is forwarded as it arrives, with backpressure; it can be sent only once. */
export class StreamedBody implements RequestBody {
  readonly isDeclared = true;
  readonly isBuffered = false;
  private wasSent = false;
  private readonly receivedChunks: Buffer[];
  private readonly readAhead: (chunk: Buffer) => void;

  /**
   * `receivedChunks` were already read from `source`; `maxBytes` limits the complete body, including them. Up to
   * `maxAheadBytes` more are read before the body is sent: the end of a connection is not seen while it is not read.
   */
  constructor(
    private readonly source: BodySource,
    readonly length: number | undefined,
    receivedChunks: readonly Buffer[],
    private readonly maxBytes: number,
    maxAheadBytes = 0,
  ) {
    this.receivedChunks = [...receivedChunks];
    let aheadBytes = 0;
    this.readAhead = (chunk) => {
      this.receivedChunks.push(chunk);
      aheadBytes += chunk.length;
      if (aheadBytes >= maxAheadBytes) {
        source.pause();
      }
    };
    if (maxAheadBytes > 0) {
      source.on('data', this.readAhead);
      source.resume();
    }
  }

  isReplayable(): boolean {
    return !this.wasSent;
  }

  isComplete(): boolean {
    return this.source.complete;
  }

  /** Drops the body unless it was sent, and reads the rest, so that the connection can be closed or used again. */
  discard(): void {
    if (!this.wasSent) {
      this.source.off('data', this.readAhead);
      this.receivedChunks.length = 0;
      this.source.resume();
    }
  }

  sendTo(destination: Writable): void {
    this.wasSent = true;
    const { source } = this;
    source.off('data', this.readAhead);
    let forwardedBytes = 0;
    const forward = (chunk: Buffer): void => {
      forwardedBytes += chunk.length;
      if (forwardedBytes > this.maxBytes) {
        destination.destroy();
      } else if (!destination.write(chunk)) {
        source.pause();
      }
    };
    source.on('data', forward);
    source.on('end', () => destination.end());
    source.on('close', () => {
      if (!source.complete) {
        destination.destroy();
      }
    });
    destination.on('drain', () => source.resume());
    destination.on('close', () => {
      source.off('data', forward);
      source.resume();
    });
    this.receivedChunks.splice(0).forEach(forward);
    if (source.readableEnded) {
      destination.end();
    } else if (source.destroyed) {
      destination.destroy();
    } else {
      source.resume();
    }
  }
}
