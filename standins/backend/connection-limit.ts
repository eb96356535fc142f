/** Enforces the back end's connection limit and the cost of a new connection. */
import type { Socket } from 'node:net';

/** Open connections and since when each of them can serve. */
export class ConnectionLimit {
  private readonly readyAtMs = new Map<Socket, number>();
  private peak = 0;
  private refused = 0;

  /** Whether the connection is kept; one over the limit is closed at once. */
  admit(socket: Socket, limit: number, readyAtMs: number): boolean {
    if (this.readyAtMs.size >= limit) {
      this.refused += 1;
      socket.destroy();
      return false;
    }
    this.readyAtMs.set(socket, readyAtMs);
    this.peak = Math.max(this.peak, this.readyAtMs.size);
    socket.once('close', () => this.readyAtMs.delete(socket));
    return true;
  }

  /** Time until the connection can serve, in milliseconds; 0 once it can. */
  waitMs(socket: Socket, nowMs: number): number {
    return Math.max(0, (this.readyAtMs.get(socket) ?? 0) - nowMs);
  }

  counters(): { connections: number; peakConnections: number; connectionsRefused: number } {
    return {
      connections: this.readyAtMs.size,
      peakConnections: this.peak,
      connectionsRefused: this.refused,
    };
  }
}
