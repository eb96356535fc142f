/**
 * Tells whether the data that the event loop has read from its sockets is current. Without this
 * check, a process that loses the CPU after a read would close connections on which requests have
 * arrived since.
 */
import { MACHINE_TIME } from './scheduler.js';

/**
 * Maximum age of a read that counts as current, in milliseconds: a quarter of the time after which
 * a request counts as unread.
 */
const MAX_AGE_MS = 50;
/** Maximum number of event loop iterations in which a current read is attempted. */
const MAX_ITERATIONS = 40;

/** The latest read of all sockets by the event loop. */
export class SocketPoll {
  /** All data that had arrived by this time has been read. */
  private polledAtMs = -Infinity;

  constructor(private readonly nowMs: () => number = () => MACHINE_TIME.now()) {}

  /**
   * Whether all data that had arrived up to {@link MAX_AGE_MS} ago has been read; false again after
   * a pause of the process.
   */
  get isCurrent(): boolean {
    return this.nowMs() - this.polledAtMs <= MAX_AGE_MS;
  }

  /** Resolves once the event loop has read all sockets, if possible in a short iteration. */
  async renew(): Promise<void> {
    await afterPollPhase();
    for (let iterations = 0; iterations < MAX_ITERATIONS; iterations += 1) {
      const startedAtMs = this.nowMs();
      await afterPollPhase();
      this.polledAtMs = startedAtMs;
      if (this.isCurrent) {
        return;
      }
    }
  }
}

/**
 * Resolves after the event loop has polled its sockets; the second call in a row covers a full
 * iteration.
 */
function afterPollPhase(): Promise<void> {
  return new Promise(setImmediate);
}
