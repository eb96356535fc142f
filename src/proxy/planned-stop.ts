/** The planned stop of a node: what it means for requests that arrive, and the wait for the others. */
import type http from 'node:http';
import type { CallMeter } from './call-meter.js';
import type { ProxyLimits } from './proxy-limits.js';
import type { RequestProxyOptions } from './request-path.js';
import { MACHINE_TIME } from './scheduler.js';
import { drainServers } from './server-drain.js';
import { deadlineWithin, NO_STOP, stopTimes } from './stop-times.js';

/** What the stop needs of its node. */
export interface PlannedStopOptions {
  readonly limits: ProxyLimits;
  readonly meter: CallMeter;
  /**
   * Gives every request under way its final answer while there is time for it to go out: closed
   * connections would leave callers and peers without one. Returns how many there were.
   */
  readonly giveUpAll: () => number;
  readonly logStateChange: RequestProxyOptions['logStateChange'];
}

/** The stop of one node, also before it has begun. */
export class PlannedStop {
  private hasBegun = false;
  private times = NO_STOP;

  constructor(private readonly options: PlannedStopOptions) {}

  /** Whether callers and peers are told that the node is about to stop. */
  get isStopping(): boolean {
    return this.hasBegun;
  }

  /** The node stops without a drain. */
  begin(): void {
    this.hasBegun = true;
  }

  /** Whether new requests are refused. */
  refusesNewWork(): boolean {
    return MACHINE_TIME.now() >= this.times.refusesFromMs;
  }

  /** Whether requests under way get their final answer by now. */
  givesUpRequests(): boolean {
    return MACHINE_TIME.now() >= this.times.givesUpAtMs;
  }

  /** The deadline of a new request that has this one. */
  deadlineWithin(deadlineAtMs: number): number {
    return deadlineWithin(deadlineAtMs, this.times);
  }

  /** Stops taking requests, waits for those in flight, and gives up what is left by then. */
  async drain(servers: readonly http.Server[]): Promise<void> {
    const { limits, meter, giveUpAll, logStateChange } = this.options;
    this.hasBegun = true;
    const startedAtMs = MACHINE_TIME.now();
    this.times = stopTimes(startedAtMs, limits);
    let givenUp = 0;
    const cancelGiveUp = MACHINE_TIME.schedule(limits.stopTimeoutMs, () => {
      givenUp = giveUpAll();
    });
    logStateChange('request-path', `stopping with ${meter.inFlight} in flight`);
    await drainServers(servers, {
      quietMs: limits.stopQuietMs,
      acceptMs: limits.stopAcceptMs,
      timeoutMs: this.times.closesAtMs - startedAtMs,
      lastArrivalAtMs: () => meter.lastArrivalAtMs,
      inFlight: () => meter.inFlight,
      clock: () => MACHINE_TIME.now(),
    });
    cancelGiveUp();
    // A caller that was connected and had sent nothing yet may still send: nobody would wait for its answer.
    this.times = { ...this.times, refusesFromMs: MACHINE_TIME.now() };
    const outcome = `drained to ${meter.inFlight} in flight, ${givenUp} given up`;
    logStateChange('request-path', outcome);
  }
}
