/**
 * Decisions of a planned stop: what is taken, refused, given up and closed, and when. Pure: events with the
 * time in, effects out. `server-drain.ts` carries the effects out.
 *
 * A connection is closed only when nothing that was read on it waits for an answer, or at the bound.
 */
import {
  deadlineWithin,
  NO_DELAYS,
  NO_STOP,
  stopTimes,
  type StopDelays,
  type StopLimits,
  type StopTimes,
} from './stop-times.js';

/**
 * - `serving`: no stop has begun.
 * - `taking`: new requests are taken, answers close their connections; callers learn to go elsewhere.
 * - `refusing`: the listeners are shut and new requests are refused; those under way are waited for.
 * - `answering`: every request under way has been given its final answer, which goes out.
 * - `closing`: idle connections are closed; what was refused last goes out.
 * - `closed`: nothing is open any more.
 */
export type StopState = 'serving' | 'taking' | 'refusing' | 'answering' | 'closing' | 'closed';

/** Bounds of a planned stop, in milliseconds. */
export interface PlannedStopLimits extends StopLimits {
  /** Time that callers need to notice the stop: until then it goes on taking however quiet it is. */
  readonly stopNoticeMs: number;
  /** Time without a new request after which a stop ends early. */
  readonly stopQuietMs: number;
  readonly stopCloseMs: number;
  /** Lateness of the process by which a stop ends earlier, at most; none when absent. */
  readonly maxEventLoopLagMs?: number;
  /**
   * Time for which callers may still read what was answered before their connections are cut, where a stop has
   * that much left; none when absent.
   */
  readonly stopLingerMs?: number;
}

/** Something that happened. */
export type StopEvent =
  | {
      readonly type: 'stop';
      /** Longest time for which the signal may have waited, in milliseconds; 0 when absent. */
      readonly signalAgeMs?: number;
    }
  /** A regular look, after what waited in the system has been read. */
  | {
      readonly type: 'look';
      /** Requests that wait for their answer, or whose answer is going out. */
      readonly inFlight: number;
      /** Connections that are closed here and not by their callers yet; none when absent. */
      readonly lingering?: number;
      /** Connections of callers on which nothing is under way and that are not closed yet; none when absent. */
      readonly idle?: number;
      readonly lastArrivalAtMs: number;
      /** How late the process has lately been, in milliseconds; 0 when absent. */
      readonly eventLoopLagMs?: number;
    }
  /** The listeners are shut; so many connections that waited were taken before. */
  | { readonly type: 'listeners-shut'; readonly acceptedCount: number }
  | { readonly type: 'peers-closed' }
  /** Everything ends at once. */
  | { readonly type: 'abort' };

/** Something to be done. */
export type StopEffect = 'shut-listeners' | 'give-up' | 'close-idle' | 'close-peers' | 'close-all';

type DrainStatus = Extract<StopEvent, { type: 'look' }>;

/** The planned stop of one node. */
export class PlannedStop {
  private current: StopState = 'serving';
  private times: StopTimes = NO_STOP;
  private delays: StopDelays = NO_DELAYS;
  private startedAtMs = -Infinity;
  private closesByMs = Infinity;
  private areListenersShut = false;
  private arePeersClosed = false;
  /** When connections that waited were taken last: their requests are still to come. */
  private acceptedPendingAtMs = -Infinity;

  constructor(private readonly limits: PlannedStopLimits) {}

  /** How far the stop has come. */
  get state(): StopState {
    return this.current;
  }

  /** Whether answers close their connections, and peers are told to go elsewhere. */
  get isStopping(): boolean {
    return this.current !== 'serving';
  }

  /** Whether a request that arrives is refused: its answer would come too late. */
  refusesNewWork(nowMs: number): boolean {
    const isAccepting = this.current === 'serving' || this.current === 'taking';
    return !isAccepting || nowMs >= this.times.refusesFromMs;
  }

  /** Whether a request that only starts now is given up at once. */
  givesUp(nowMs: number): boolean {
    return nowMs >= this.times.givesUpAtMs;
  }

  /** The deadline of a request that arrives. */
  deadlineWithin(deadlineAtMs: number): number {
    return deadlineWithin(deadlineAtMs, this.times);
  }

  /** Time to the next moment at which something is due whatever happens, in milliseconds. */
  msToNextBound(nowMs: number): number {
    return Math.max(0, this.nextBoundMs() - nowMs);
  }

  /** Takes an event; effects are to be executed in order. */
  handle(event: StopEvent, nowMs: number): StopEffect[] {
    switch (event.type) {
      case 'stop':
        this.begin(nowMs, event.signalAgeMs ?? 0);
        return [];
      case 'look':
        return this.advance(event, nowMs);
      case 'listeners-shut':
        this.areListenersShut = true;
        this.acceptedPendingAtMs = event.acceptedCount > 0 ? nowMs : -Infinity;
        return [];
      case 'peers-closed':
        this.arePeersClosed = true;
        return [];
      case 'abort':
        return this.close();
    }
  }

  private begin(nowMs: number, signalAgeMs: number): void {
    if (this.current === 'serving') {
      this.current = 'taking';
      this.startedAtMs = nowMs;
      this.setDelays({ signalAgeMs, eventLoopLagMs: 0 });
    }
  }

  private setDelays(delays: StopDelays): void {
    this.delays = delays;
    this.times = stopTimes(this.startedAtMs, this.limits, delays);
  }

  /** A process that was late may be so again: what is left of the stop goes by the longest delay. */
  private applyEventLoopLag(eventLoopLagMs: number): void {
    const { maxEventLoopLagMs = 0 } = this.limits;
    const countedMs = Math.min(eventLoopLagMs, maxEventLoopLagMs);
    if (countedMs > this.delays.eventLoopLagMs) {
      this.setDelays({ ...this.delays, eventLoopLagMs: countedMs });
    }
  }

  private nextBoundMs(): number {
    switch (this.current) {
      case 'taking':
        return this.times.refusesFromMs;
      case 'refusing':
        return this.times.givesUpAtMs;
      case 'answering':
        return this.times.closesAtMs;
      case 'closing':
        return this.arePeersClosed
          ? Math.min(this.closesByMs, this.times.endsByMs)
          : this.times.endsByMs;
      case 'serving':
      case 'closed':
        return Infinity;
    }
  }

  /** Passes one bound at most: answers that were just given go out before the next. */
  private advance(status: DrainStatus, nowMs: number): StopEffect[] {
    this.applyEventLoopLag(status.eventLoopLagMs ?? 0);
    const isDue = nowMs >= this.nextBoundMs();
    switch (this.current) {
      case 'taking':
        return isDue || this.hasTrafficEnded(status, nowMs) ? this.shutListeners() : [];
      case 'refusing':
        return this.drainOrGiveUp(status, nowMs, isDue);
      case 'answering':
        return isDue || this.isDrained(status, nowMs) ? this.beginClosing(nowMs) : [];
      case 'closing':
        return isDue || this.isEmpty(status) ? this.close() : this.closeRemainingIdle(status);
      case 'serving':
      case 'closed':
        return [];
    }
  }

  private shutListeners(): StopEffect[] {
    return this.enter('refusing', ['shut-listeners']);
  }

  private drainOrGiveUp(status: DrainStatus, nowMs: number, isDue: boolean): StopEffect[] {
    if (this.isDrained(status, nowMs)) {
      return this.beginClosing(nowMs);
    }
    return isDue ? this.enter('answering', ['give-up']) : [];
  }

  /** Callers have had time to notice the stop, and none comes any more. */
  private hasTrafficEnded(status: DrainStatus, nowMs: number): boolean {
    return nowMs - this.startedAtMs >= this.limits.stopNoticeMs && this.isQuiet(status, nowMs);
  }

  /** Nothing is in flight and nothing has arrived for a while. */
  private isQuiet({ inFlight, lastArrivalAtMs }: DrainStatus, nowMs: number): boolean {
    const lastAtMs = Math.max(this.startedAtMs, lastArrivalAtMs, this.acceptedPendingAtMs);
    return inFlight === 0 && nowMs - lastAtMs >= this.limits.stopQuietMs;
  }

  /** Quiet, and no connection waits to be taken. */
  private isDrained(status: DrainStatus, nowMs: number): boolean {
    return this.areListenersShut && this.isQuiet(status, nowMs);
  }

  /** The last refusals have gone out, and the connections of peers and callers are closed. */
  private isEmpty({ inFlight, lingering = 0, idle = 0 }: DrainStatus): boolean {
    return this.arePeersClosed && inFlight === 0 && lingering === 0 && idle === 0;
  }

  /** Connections that a pause of the process kept open, or that have become idle since. */
  private closeRemainingIdle({ idle = 0 }: DrainStatus): StopEffect[] {
    return idle > 0 ? ['close-idle'] : [];
  }

  private beginClosing(nowMs: number): StopEffect[] {
    const { stopLingerMs = 0, stopCloseMs } = this.limits;
    this.closesByMs = Math.min(nowMs + stopLingerMs, this.times.closesAtMs) + stopCloseMs;
    return this.enter('closing', ['close-idle', 'close-peers']);
  }

  private close(): StopEffect[] {
    return this.current === 'closed' ? [] : this.enter('closed', ['close-all']);
  }

  private enter(state: StopState, effects: StopEffect[]): StopEffect[] {
    this.current = state;
    return effects;
  }
}
