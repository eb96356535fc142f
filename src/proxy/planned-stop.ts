/**
 * Decisions of a planned stop (graceful shutdown): what is accepted, refused, given up and closed,
 * and when. Pure: events with the time in, effects out. `server-drain.ts` executes the effects.
 *
 * A connection is closed only when no request that was read from it awaits its response, or at the
 * time limit.
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
 * - `taking`: new requests are accepted; responses close their connections, and callers learn to
 *   use other nodes.
 * - `refusing`: the listeners are closed and new requests are refused; requests in flight are
 *   awaited.
 * - `answering`: every request in flight has been given its final response, which is being sent.
 * - `closing`: idle connections are closed; the last refusals are being sent.
 * - `closed`: no connection is open any more.
 */
export type StopState = 'serving' | 'taking' | 'refusing' | 'answering' | 'closing' | 'closed';

/** Time limits of a planned stop, in milliseconds. */
export interface PlannedStopLimits extends StopLimits {
  /**
   * Time that callers need to notice the stop; until then new requests are accepted even if there
   * is no traffic.
   */
  readonly stopNoticeMs: number;
  /** Time without a new request after which a stop ends early. */
  readonly stopQuietMs: number;
  readonly stopCloseMs: number;
  /** Maximum event loop lag by which a stop ends earlier; 0 when absent. */
  readonly maxEventLoopLagMs?: number;
  /**
   * Time for which callers may still read responses before their connections are closed forcibly,
   * if the stop has that much time left; none when absent.
   */
  readonly stopLingerMs?: number;
}

/** An event that a planned stop handles. */
export type StopEvent =
  | {
      readonly type: 'stop';
      /** Maximum age of the signal when it is handled, in milliseconds; 0 when absent. */
      readonly signalAgeMs?: number;
    }
  /** The periodic check, after pending socket data has been read. */
  | {
      readonly type: 'look';
      /** Number of requests that await their response or whose response is being sent. */
      readonly inFlight: number;
      /**
       * Number of connections that were closed here but not by their callers yet; 0 when absent.
       */
      readonly lingering?: number;
      /** Number of open connections of callers without a request in flight; 0 when absent. */
      readonly idle?: number;
      readonly lastArrivalAtMs: number;
      /** Recent event loop lag, in milliseconds; 0 when absent. */
      readonly eventLoopLagMs?: number;
    }
  /** The listeners are closed; `acceptedCount` pending connections were accepted before. */
  | { readonly type: 'listeners-shut'; readonly acceptedCount: number }
  | { readonly type: 'peers-closed' }
  /** Ends the stop immediately. */
  | { readonly type: 'abort' };

/** An action that a planned stop requests. */
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
  /** When pending connections were last accepted; their requests are yet to arrive. */
  private acceptedPendingAtMs = -Infinity;

  constructor(private readonly limits: PlannedStopLimits) {}

  get state(): StopState {
    return this.current;
  }

  /** Whether responses close their connections and peers are directed to other nodes. */
  get isStopping(): boolean {
    return this.current !== 'serving';
  }

  /** Whether an arriving request is refused because its response would come too late. */
  refusesNewWork(nowMs: number): boolean {
    const isAccepting = this.current === 'serving' || this.current === 'taking';
    return !isAccepting || nowMs >= this.times.refusesFromMs;
  }

  /** Whether a request that starts only now is given up immediately. */
  givesUp(nowMs: number): boolean {
    return nowMs >= this.times.givesUpAtMs;
  }

  /**
   * Returns the deadline of an arriving request, limited to the time for which the stop awaits
   * requests.
   */
  deadlineWithin(deadlineAtMs: number): number {
    return deadlineWithin(deadlineAtMs, this.times);
  }

  /** Time until the next time limit, which takes effect in any case, in milliseconds. */
  msToNextBound(nowMs: number): number {
    return Math.max(0, this.nextBoundMs() - nowMs);
  }

  /** Handles an event; the effects are to be executed in order. */
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

  /** Adjusts the rest of the stop to the longest lag: a process that was late may be late again. */
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

  /**
   * Passes at most one time limit per check, so that responses produced at one limit are sent
   * before the next one takes effect.
   */
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

  /** Whether callers have had time to notice the stop and no request arrives any more. */
  private hasTrafficEnded(status: DrainStatus, nowMs: number): boolean {
    return nowMs - this.startedAtMs >= this.limits.stopNoticeMs && this.isQuiet(status, nowMs);
  }

  /** Whether nothing is in flight and nothing has arrived for `stopQuietMs`. */
  private isQuiet({ inFlight, lastArrivalAtMs }: DrainStatus, nowMs: number): boolean {
    const lastAtMs = Math.max(this.startedAtMs, lastArrivalAtMs, this.acceptedPendingAtMs);
    return inFlight === 0 && nowMs - lastAtMs >= this.limits.stopQuietMs;
  }

  /** Whether there is no traffic and no connection is waiting to be accepted. */
  private isDrained(status: DrainStatus, nowMs: number): boolean {
    return this.areListenersShut && this.isQuiet(status, nowMs);
  }

  /**
   * Whether the last refusals have been sent and the connections of peers and callers are closed.
   */
  private isEmpty({ inFlight, lingering = 0, idle = 0 }: DrainStatus): boolean {
    return this.arePeersClosed && inFlight === 0 && lingering === 0 && idle === 0;
  }

  /** Closes connections that a pause of the process kept open, or that have become idle since. */
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
