/**
 * Holds back requests that are about to be sent until the process has read what arrived before. A process that was late
 * reads a request, or whatever it waited for, before the close or the cancellation behind it; sent on at once, the
 * request would run although nobody waits for it. A process that is on time sends at once.
 */
import { InputAge } from './input-age.js';

/** Longest poll of the sockets, with the handling of what was read, that counts as current, in milliseconds. */
const MAX_POLL_MS = 100;
/** Time for which held actions run before the sockets are polled again, in milliseconds. */
const MAX_BATCH_MS = 50;
/** Number of polls after which a held action runs although none of them was current. */
const MAX_POLLS = 3;
/**
 * Number of current polls in a row, without an accepted connection, after which the process has caught up: a request is
 * read one poll after its connection was accepted, and the end behind it in the next one.
 */
const SETTLED_POLLS = 3;

interface HeldAction {
  readonly run: () => void;
  polls: number;
}

export class InputBarrier {
  private readonly age: InputAge;
  private held: HeldAction[] = [];
  private isCatchingUp = false;
  private currentPolls = 0;
  /** Whether a connection was accepted in this poll; the event loop accepts one in each. */
  private hasAccepted = false;
  private settledFromMs = 0;

  /** `afterPoll` runs its action after the current or next poll of the sockets. */
  constructor(
    private readonly nowMs: () => number,
    private readonly afterPoll: (action: () => void) => void = setImmediate,
  ) {
    this.age = new InputAge(nowMs());
  }

  /** The periodic check; see {@link InputAge.check}. */
  check(): void {
    const nowMs = this.nowMs();
    this.age.check(nowMs);
    if (this.age.isLate(nowMs)) {
      this.catchUp();
    }
  }

  /** Longest time for which input may be unread, in milliseconds; 0 if the process is on time. */
  get maxUnreadMs(): number {
    return this.age.maxUnreadMs(this.nowMs());
  }

  /**
   * Runs the action at once, or if the process is late, once it has read what had arrived by now. Actions run in order.
   */
  pass(run: () => void): void {
    if (!this.isCatchingUp && !this.age.isLate(this.nowMs())) {
      run();
      return;
    }
    this.held.push({ run, polls: 0 });
    this.catchUp();
  }

  /** Must be called for each accepted connection: more may be waiting, with requests and ends that are unread. */
  connectionAccepted(): void {
    this.hasAccepted = true;
  }

  private catchUp(): void {
    if (!this.isCatchingUp) {
      this.isCatchingUp = true;
      this.currentPolls = 0;
      this.afterPoll(() => this.poll());
    }
  }

  private poll(): void {
    const startedAtMs = this.nowMs();
    const ready = this.held;
    this.held = [];
    this.afterPoll(() => this.handlePolled(startedAtMs, ready));
  }

  private handlePolled(startedAtMs: number, ready: HeldAction[]): void {
    const isCurrent = this.nowMs() - startedAtMs <= MAX_POLL_MS;
    this.recordPoll(startedAtMs, isCurrent);
    ready.forEach((action) => (action.polls += 1));
    const left = this.runBatch(ready, isCurrent);
    this.held = [...left, ...this.held];
    if (this.currentPolls >= SETTLED_POLLS && this.held.length === 0) {
      this.isCatchingUp = false;
      this.age.caughtUp(this.settledFromMs);
    } else {
      this.poll();
    }
  }

  private recordPoll(startedAtMs: number, isCurrent: boolean): void {
    if (this.currentPolls === 0) {
      this.settledFromMs = startedAtMs;
    }
    this.currentPolls = isCurrent && !this.hasAccepted ? this.currentPolls + 1 : 0;
    this.hasAccepted = false;
  }

  /** Runs the actions that may run after this poll; returns the others. */
  private runBatch(ready: readonly HeldAction[], isCurrent: boolean): HeldAction[] {
    const startedAtMs = this.nowMs();
    const endIdx = ready.findIndex((action) => {
      const mayRun = isCurrent || action.polls >= MAX_POLLS;
      if (!mayRun || this.nowMs() - startedAtMs > MAX_BATCH_MS) {
        return true;
      }
      action.run();
      return false;
    });
    return endIdx < 0 ? [] : ready.slice(endIdx);
  }
}
