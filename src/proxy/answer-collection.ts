/**
 * Reads answers to their ends while a node stops, whatever their callers take. What comes behind a large answer on a
 * connection waits for it in the node's memory and would end with the process, and each further window of a body
 * takes a turn of this process and one of the peer's.
 */

/** Room for an answer that declares no length, in bytes. */
const UNDECLARED_BYTES = 512 * 1024;

/** Reads a body without waiting for its receiver; `mostBytes` may be held of it. */
export type CollectBody = (mostBytes: number) => void;

/** A body that is passed on at the pace of its receiver. */
interface PacedBody {
  readonly contentLength: number | undefined;
  readonly collect: CollectBody;
}

/** The answers of one node. */
export class AnswerCollection {
  private isCollecting = false;
  private readonly paced = new Set<PacedBody>();

  /** `roomBytes` may be held of all answers together; no room is given back. */
  constructor(private roomBytes: number) {}

  /** The node stops: from now on answers are read to their ends, those under way among them. */
  begin(): void {
    this.isCollecting = true;
    const bodies = [...this.paced];
    this.paced.clear();
    for (const { contentLength, collect } of bodies) {
      const mostBytes = this.takeRoom(contentLength);
      if (mostBytes > 0) {
        collect(mostBytes);
      }
    }
  }

  /** Bytes that may be held of a new answer; 0 where it goes at the pace of its receiver. */
  takeRoom(contentLength: number | undefined): number {
    const mostBytes = contentLength ?? UNDECLARED_BYTES;
    if (!this.isCollecting || mostBytes > this.roomBytes) {
      return 0;
    }
    this.roomBytes -= mostBytes;
    return mostBytes;
  }

  /** Calls `collect` once the node stops; returns what ends that. */
  watch(contentLength: number | undefined, collect: CollectBody): () => void {
    const body = { contentLength, collect };
    this.paced.add(body);
    return () => this.paced.delete(body);
  }
}
