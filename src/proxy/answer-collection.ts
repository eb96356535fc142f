/**
 * Buffers answers in full while a node shuts down, regardless of how fast callers read them. Requests behind a large
 * answer on the same connection wait in the node's memory and would be lost when the process exits, and each further
 * flow-control window of a body costs one event-loop turn in this process and one in the peer's.
 */

/** Memory reserved for an answer without a declared length. */
const CHUNKED_ANSWER_RESERVATION_BYTES = 512 * 1024;

/** Starts reading a body without backpressure from its receiver; up to `maxBytes` of it may be buffered. */
export type StartBuffering = (maxBytes: number) => void;

/** A body that is forwarded at the receiver's pace. */
interface StreamingBody {
  readonly contentLength: number | undefined;
  readonly startBuffering: StartBuffering;
}

/** The memory budget of one node for answers that are buffered during its shutdown. */
export class ShutdownBuffering {
  private isActive = false;
  private readonly streamingBodies = new Set<StreamingBody>();

  /** `availableBytes` bounds all buffered answers together; reservations are never released. */
  constructor(private availableBytes: number) {}

  /** Starts the shutdown: buffers the answers in progress and all later ones. */
  begin(): void {
    this.isActive = true;
    const bodies = [...this.streamingBodies];
    this.streamingBodies.clear();
    for (const { contentLength, startBuffering } of bodies) {
      const reservedBytes = this.reserve(contentLength);
      if (reservedBytes > 0) {
        startBuffering(reservedBytes);
      }
    }
  }

  /** Reserves memory for a new answer; returns 0 if the answer must be forwarded at its receiver's pace. */
  reserve(contentLength: number | undefined): number {
    const neededBytes = contentLength ?? CHUNKED_ANSWER_RESERVATION_BYTES;
    if (!this.isActive || neededBytes > this.availableBytes) {
      return 0;
    }
    this.availableBytes -= neededBytes;
    return neededBytes;
  }

  /** Calls `startBuffering` when the shutdown begins, if memory is available. Returns an unregister function. */
  register(contentLength: number | undefined, startBuffering: StartBuffering): () => void {
    const body = { contentLength, startBuffering };
    this.streamingBodies.add(body);
    return () => this.streamingBodies.delete(body);
  }
}
