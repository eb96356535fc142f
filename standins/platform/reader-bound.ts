/** Enforces and counts how many readers are connected at once. */
import type { Socket } from 'node:net';

/** A refused connection that sends nothing is closed after this time, in milliseconds. */
const REFUSAL_WAIT_MS = 1_000;

const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Readers: each open connection is one. */
export class ReaderBound {
  private readonly readers = new Set<Socket>();
  private bytesOfClosedReaders = 0;
  private refused = 0;
  private peak = 0;

  constructor(
    /** Readers at once at most. */
    public bound: number,
  ) {}

  /** Whether the connection may read; one over the bound is answered 503 and closed. */
  admit(socket: Socket): boolean {
    if (this.readers.size >= this.bound) {
      this.refuse(socket);
      return false;
    }
    this.readers.add(socket);
    this.peak = Math.max(this.peak, this.readers.size);
    socket.once('close', () => {
      this.readers.delete(socket);
      this.bytesOfClosedReaders += socket.bytesWritten;
    });
    return true;
  }

  /** Breaks the connection of every reader. */
  disconnectAll(): void {
    for (const socket of this.readers) {
      socket.resetAndDestroy();
    }
  }

  counters(): {
    readers: number;
    peakReaders: number;
    readersRefused: number;
    bytesOut: number;
  } {
    const open = [...this.readers].reduce((sum, socket) => sum + socket.bytesWritten, 0);
    return {
      readers: this.readers.size,
      peakReaders: this.peak,
      readersRefused: this.refused,
      bytesOut: this.bytesOfClosedReaders + open,
    };
  }

  private refuse(socket: Socket): void {
    this.refused += 1;
    socket.on('error', () => socket.destroy());
    socket.setTimeout(REFUSAL_WAIT_MS, () => socket.destroy());
    // Answering only after the request has come keeps a client from meeting an answer to nothing.
    socket.once('data', () => socket.end(REFUSAL));
  }
}
