/**
 * Determines how long data that is read from a connection may have been waiting. Node stops reading
 * a connection while the responses queued on it exceed a limit; data that arrives meanwhile stays
 * in the receive buffer of the operating system.
 */
import type { Socket } from 'node:net';

/** Tracks the read pauses of one connection. */
export class ReadingPause {
  private pausedAtMs: number | undefined;
  /**
   * Length of the pause that has just ended; 0 once all data that arrived during it has been read.
   */
  private lastPauseMs = 0;

  constructor(
    socket: Socket,
    private readonly nowMs: () => number,
  ) {
    socket.on('pause', () => {
      this.pausedAtMs ??= nowMs();
    });
    socket.on('resume', () => this.end());
  }

  /** Maximum time for which a request that is read now may have been waiting, in milliseconds. */
  get unreadMs(): number {
    // Node processes the data that it has already read before it reports the end of the pause.
    return this.pausedAtMs === undefined ? this.lastPauseMs : this.nowMs() - this.pausedAtMs;
  }

  private end(): void {
    if (this.pausedAtMs === undefined) {
      return;
    }
    this.lastPauseMs = this.nowMs() - this.pausedAtMs;
    this.pausedAtMs = undefined;
    // The data that was waiting is read in the next full iteration of the event loop.
    setImmediate(() => setImmediate(() => (this.lastPauseMs = 0)));
  }
}
