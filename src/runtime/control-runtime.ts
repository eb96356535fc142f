/**
 * Runs a control component: one js-csp process takes events from a channel in order, hands each to
 * the decision logic with the time, and executes the effects before it takes the next.
 */
import csp, { type Channel } from 'js-csp';
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
  CounterSink,
} from '../control/control-event.js';

/** Events waiting for the decision logic at most; beyond it the offering side is told no. */
export const MAX_PENDING_EVENTS = 4_096;
/** Longest sleep between two looks at the component's next wake time, in milliseconds. */
const MAX_SLEEP_MS = 60_000;

/** What the runtime needs from its surroundings. */
export interface ControlRuntimeOptions {
  readonly component: ControlComponent;
  /** Executes one effect, which was decided on at the time given; must not throw. */
  readonly execute: (effect: ControlEffect, decidedAtMs: number) => void;
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number;
  readonly counters: CounterSink;
  /** Told of an event that the decision logic failed on; the event is dropped, the node goes on. */
  readonly onFailure: (event: ControlEvent, error: unknown) => void;
}

/** Drives one {@link ControlComponent} in real time. */
export class ControlRuntime {
  private readonly events: Channel<ControlEvent> = csp.chan(csp.buffers.fixed(MAX_PENDING_EVENTS));
  private timer: NodeJS.Timeout | undefined;
  private wakeAt = Infinity;
  private closed = false;
  private onStopProcessed: (() => void) | undefined;

  constructor(private readonly options: ControlRuntimeOptions) {}

  /** Starts the process and hands the component its `start` event. */
  start(): void {
    csp.go(eventLoop, [this.events, (event: ControlEvent) => this.process(event)]);
    this.offer({ type: 'start' });
  }

  /** Queues an event; false when the queue is full or the runtime has stopped. */
  offer(event: ControlEvent): boolean {
    if (this.closed) {
      return false;
    }
    const accepted = csp.offer(this.events, event);
    if (!accepted) {
      this.options.counters.add('ferryspool_control_events_dropped_total');
    }
    return accepted;
  }

  /** Hands the component its `stop` event, after the events before it; resolves when it is done. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.onStopProcessed = resolve;
      if (!this.offer({ type: 'stop' })) {
        resolve();
      }
    });
  }

  /** Takes no more events and timers; the component gets no `stop` event from here. */
  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
    this.events.close();
  }

  private process(event: ControlEvent): void {
    try {
      const nowMs = this.options.now();
      for (const effect of this.options.component.handle(event, nowMs)) {
        this.options.execute(effect, nowMs);
      }
    } catch (error) {
      this.options.counters.add('ferryspool_control_event_failures_total');
      this.options.onFailure(event, error);
    }
    if (event.type === 'stop') {
      this.onStopProcessed?.();
    }
    this.scheduleWake();
  }

  private scheduleWake(): void {
    const next = this.options.component.nextWakeAt();
    if (this.closed || next === this.wakeAt) {
      return;
    }
    this.wakeAt = next;
    clearTimeout(this.timer);
    if (next !== Infinity) {
      this.timer = setTimeout(() => this.wake(), this.delayUntil(next));
    }
  }

  private delayUntil(time: number): number {
    return Math.min(MAX_SLEEP_MS, Math.max(0, Math.ceil(time - this.options.now())));
  }

  private wake(): void {
    this.wakeAt = Infinity;
    if (!this.offer({ type: 'wake' })) {
      this.scheduleWake();
    }
  }
}

function* eventLoop(
  events: Channel<ControlEvent>,
  process: (event: ControlEvent) => void,
): Generator<unknown, void, never> {
  for (;;) {
    const event = (yield csp.take(events)) as ControlEvent | typeof csp.CLOSED;
    if (event === csp.CLOSED) {
      return;
    }
    process(event);
  }
}
