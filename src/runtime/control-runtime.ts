/**
 * Runs a control component: one js-csp process reads events from a channel in order, passes each to
 * the decision logic with the current time, and executes its effects before it reads the next event.
 */
import csp, { type Channel } from 'js-csp';
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
  CounterSink,
} from '../control/control-event.js';

/** Maximum number of events queued for the decision logic; further events are rejected. */
export const MAX_PENDING_EVENTS = 4_096;
/** Longest wake-up timer, in milliseconds; a later wake time is reached over several timers. */
const MAX_SLEEP_MS = 60_000;

export interface ControlRuntimeOptions {
  readonly component: ControlComponent;
  /** Executes one effect, which was decided on at `decidedAtMs`; must not throw. */
  readonly execute: (effect: ControlEffect, decidedAtMs: number) => void;
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number;
  readonly counters: CounterSink;
  /** Called when the decision logic throws on an event; the event is dropped and processing continues. */
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

  /** Starts the process and queues the component's `start` event. */
  start(): void {
    csp.go(eventLoop, [this.events, (event: ControlEvent) => this.process(event)]);
    this.offer({ type: 'start' });
  }

  /** Queues an event; returns false if the queue is full or the runtime is closed. */
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

  /** Queues the component's `stop` event behind pending events; resolves once it has been processed. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.onStopProcessed = resolve;
      if (!this.offer({ type: 'stop' })) {
        resolve();
      }
    });
  }

  /** Accepts no more events and cancels the timer; does not send the component a `stop` event. */
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
