/**
 * Whether what the event loop has read of its sockets is current. A process that loses the processor after a read
 * would otherwise close connections under requests that arrived since.
 */
import { MACHINE_TIME } from './scheduler.js';

/** Age up to which a read is current, in milliseconds: a quarter of the time in which a request counts as unread. */
const MAX_AGE_MS = 50;
/** Turns of the event loop in which a current read is looked for, at most. */
const MAX_ITERATIONS = 40;

/** The latest read of all sockets by the event loop. */
export class SocketPoll {
  /** What had arrived by then has been read. */
  private polledAtMs = -Infinity;

  constructor(private readonly nowMs: () => number = () => MACHINE_TIME.now()) {}

  /** Whether all that had arrived up to a moment ago has been read; false again after a pause of the process. */
  get isCurrent(): boolean {
    return this.nowMs() - this.polledAtMs <= MAX_AGE_MS;
  }

  /** Resolves once the event loop has read all sockets, in a turn that was short where there is one. */
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

/** Resolves after the event loop has polled; after a second call, it has polled in a whole turn. */
function afterPollPhase(): Promise<void> {
  return new Promise(setImmediate);
}
