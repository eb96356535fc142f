/** Counts and logs the headroom of one gate: slots that long work leaves free for more urgent work. */
import type { CounterSink } from '../control/control-event.js';

/** Minimum interval between log lines about one endpoint's headroom, in milliseconds. */
const MIN_LOG_INTERVAL_MS = 10_000;

/** Headroom of an endpoint at one moment. */
export interface HeadroomUse {
  /** Slots that long work leaves free. */
  readonly headroomSlots: number;
  readonly slots: number;
  /** Requests whose start headroom has delayed so far. */
  readonly delayedCount: number;
}

export interface GateHeadroomOptions {
  readonly endpointName: string;
  readonly counters: CounterSink;
  readonly logStateChange: (what: string, detail: string) => void;
}

/** Reports changes of one gate's headroom. */
export class GateHeadroom {
  private loggedSlots = 0;
  private loggedAtMs = -Infinity;
  private countedDelays = 0;

  constructor(private readonly options: GateHeadroomOptions) {}

  update({ headroomSlots, slots, delayedCount }: HeadroomUse, nowMs: number): void {
    const { counters, endpointName, logStateChange } = this.options;
    if (delayedCount > this.countedDelays) {
      counters.add('ferryspool_headroom_delays_total', delayedCount - this.countedDelays);
      this.countedDelays = delayedCount;
    }
    if (headroomSlots !== this.loggedSlots && nowMs >= this.loggedAtMs + MIN_LOG_INTERVAL_MS) {
      this.loggedSlots = headroomSlots;
      this.loggedAtMs = nowMs;
      const detail = `${endpointName} keeps ${headroomSlots} of ${slots} slots free for urgent work`;
      logStateChange('endpoint', detail);
    }
  }
}
