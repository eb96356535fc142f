/** Times at which the soak's own process stood still: what it saw then, it may have seen late. */
import type { SoakPause } from './soak-record.js';

/** Time between two looks, in milliseconds. */
const LOOK_MS = 20;
/** Shorter pauses are turns of a busy event loop, in milliseconds. */
const LEAST_PAUSE_MS = 100;

/** Watches the event loop until it is stopped. */
export class PauseWatch {
  readonly pauses: SoakPause[] = [];
  private readonly timer: NodeJS.Timeout;
  private lookedAtMs: number;

  constructor(private readonly nowMs: () => number) {
    this.lookedAtMs = nowMs();
    this.timer = setInterval(() => this.look(), LOOK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.look();
  }

  private look(): void {
    const untilMs = this.nowMs();
    if (untilMs - this.lookedAtMs >= LEAST_PAUSE_MS) {
      this.pauses.push({ fromMs: this.lookedAtMs, untilMs });
    }
    this.lookedAtMs = untilMs;
  }
}
