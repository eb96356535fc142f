/**
 * How long what is read of a connection may have lain unread. Node stops to read a connection while answers that
 * wait on it exceed a bound, and what comes meanwhile waits in the system.
 */
import type { Socket } from 'node:net';

/** The pauses of one connection. */
export class ReadingPause {
  private pausedAtMs: number | undefined;
  /** Length of the pause that has just ended; 0 once all that came in it has been read. */
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

  /** Longest time for which a request may have waited that is read now, in milliseconds. */
  get unreadMs(): number {
    // Node takes what it had read already before it tells of the end of the pause.
    return this.pausedAtMs === undefined ? this.lastPauseMs : this.nowMs() - this.pausedAtMs;
  }

  private end(): void {
    if (this.pausedAtMs === undefined) {
      return;
    }
    this.lastPauseMs = this.nowMs() - this.pausedAtMs;
    this.pausedAtMs = undefined;
    // What waited is read in the next whole turn of the event loop.
    setImmediate(() => setImmediate(() => (this.lastPauseMs = 0)));
  }
}
