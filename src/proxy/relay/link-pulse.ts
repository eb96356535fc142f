/**
 * Detects whether a connection with pending work is still alive. A connection can become permanently
 * unresponsive without a reset while new connections to the same address work. After an idle period a ping
 * is sent; if it times out, based on the measured round-trip times, the connection is suspect and a new one is
 * opened. The old one is considered silent only once the new one works: a stalled peer or a congested link
 * delays both alike. Performs no I/O: it maps timestamps to steps.
 */

/** Minimum ping timeout, in milliseconds; most pauses of a process are shorter. */
export const MIN_PING_TIMEOUT_MS = 150;
/** Maximum ping timeout, in milliseconds: a congested link has up to half a second of bytes queued. */
export const MAX_PING_TIMEOUT_MS = 1_000;
/** Time for any bytes to arrive once a new connection works, in milliseconds: a few event loop iterations. */
export const CONFIRMATION_GRACE_MS = 50;
/**
 * Time from the ping until the connection is lost and nothing more is expected on it, in milliseconds. TCP
 * retransmits a lost packet after 0.2 s, 0.6 s, 1.4 s and 3.0 s; at 3% packet loss one in a million is lost
 * four times. With 1 s, answers that arrived 1.9 s late were discarded, including those to requests that must
 * not be repeated.
 */
export const LOSS_TIMEOUT_MS = 3_100;
/**
 * Ping timeout while other bytes arrive, in milliseconds: these may be answers to requests sent before the
 * outbound direction failed, or bytes that the acknowledgement is queued behind.
 */
export const ONE_WAY_PING_TIMEOUT_MS = 2_000;
/** Interval of pings while work is pending and bytes arrive, in milliseconds. */
const BUSY_PING_INTERVAL_MS = 1_000;
/** Weights of a new round-trip time in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Number of deviations above the mean in the ping timeout, as in RFC 6298. */
const DEVIATIONS = 4;
/** Delay of a check, in milliseconds, beyond which this process itself is assumed to have been paused. */
const LATE_CHECK_MS = 50;
/** Maximum number of postponements of a timeout by late checks: a process may be late at every check. */
const MAX_POSTPONEMENTS = 2;

/**
 * - `none`: no action is needed.
 * - `ping`: send a ping.
 * - `suspect`: the ping timed out; send no new requests on the connection and open a new one.
 * - `silent`: the new connection works; requests that are safe to repeat can be retried elsewhere.
 * - `lost`: nothing has arrived for longer still; expect no more answers. If no new connection works, the peer may
 *   be paused: once one works, the connection becomes silent and then lost again, unless anything arrives.
 */
export type LivenessStep = 'none' | 'ping' | 'suspect' | 'silent' | 'lost';

/** Settings that differ between the two ends of a connection, in milliseconds. */
export interface LivenessLimits {
  /** Idle time after which to send a ping. */
  readonly quietMs: number;
  /** Time from the ping to the loss if no new connection confirms that the peer is alive. */
  readonly unconfirmedLossTimeoutMs: number;
}

/** A ping without an acknowledgement. */
interface PendingPing {
  readonly sentAtMs: number;
  dueAtMs: number;
  postponements: number;
  stage: 'pending' | 'suspect' | 'silent' | 'lost';
}

/** Liveness of one connection. */
export class ConnectionLiveness {
  private pendingPing: PendingPing | undefined;
  private lastPingAtMs: number;
  private lastReceivedAtMs: number;
  private peerConfirmedAtMs = -Infinity;
  /** Since when work is pending, as of the latest check; undefined if none is. */
  private awaitingSinceMs: number | undefined;
  private meanRoundTripMs: number;
  private roundTripDeviationMs: number;

  /** `connectMs` is the time to open the connection, used as its first round-trip time; 0 if unknown. */
  constructor(
    private readonly limits: LivenessLimits,
    connectMs: number,
    nowMs: number,
  ) {
    this.lastReceivedAtMs = nowMs;
    this.lastPingAtMs = nowMs;
    this.meanRoundTripMs = connectMs;
    this.roundTripDeviationMs = connectMs / 2;
  }

  /** Current timeout of a ping, in milliseconds. */
  get pingTimeoutMs(): number {
    const expectedMs = this.meanRoundTripMs + DEVIATIONS * this.roundTripDeviationMs;
    return Math.min(MAX_PING_TIMEOUT_MS, Math.max(MIN_PING_TIMEOUT_MS, expectedMs));
  }

  /** Time since anything arrived, in milliseconds. */
  idleMs(nowMs: number): number {
    return nowMs - this.lastReceivedAtMs;
  }

  /** Time until an extra check is due; undefined while the periodic checks suffice. */
  msToNextCheck(nowMs: number): number | undefined {
    const dueAtMs = this.pendingPing && this.nextStepDueAtMs(this.pendingPing);
    return dueAtMs !== undefined && dueAtMs < Infinity ? Math.max(0, dueAtMs - nowMs) : undefined;
  }

  /** Bytes arrived. They show that the peer is alive and the inbound direction works, but not the outbound one. */
  recordReceived(nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    if (this.pendingPing?.stage === 'pending') {
      const dueAtMs = this.pendingPing.sentAtMs + ONE_WAY_PING_TIMEOUT_MS;
      this.pendingPing.dueAtMs = Math.max(this.pendingPing.dueAtMs, dueAtMs);
    }
  }

  /** The ping sent at `pingSentAtMs` was acknowledged. */
  recordAcknowledgement(pingSentAtMs: number, nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    if (this.pendingPing?.sentAtMs === pingSentAtMs) {
      this.pendingPing = undefined;
      this.recordRoundTrip(nowMs - pingSentAtMs);
    }
  }

  /** Another connection to or from the same process was opened. */
  confirmPeerAlive(nowMs: number): void {
    this.peerConfirmedAtMs = nowMs;
    // Otherwise requests on a connection that became silent before its peer restarted would wait until their deadlines.
    if (this.pendingPing?.stage === 'lost') {
      this.pendingPing.stage = 'suspect';
      this.pendingPing.dueAtMs = nowMs + MAX_PING_TIMEOUT_MS;
    }
  }

  /** Must be called periodically while work is pending, and after {@link msToNextCheck}. */
  check(isAwaiting: boolean, nowMs: number): LivenessStep {
    if (this.pendingPing !== undefined) {
      return this.checkPing(this.pendingPing, nowMs);
    }
    if (!isAwaiting) {
      this.awaitingSinceMs = undefined;
      return 'none';
    }
    this.awaitingSinceMs ??= nowMs;
    const isIdle = this.idleMs(nowMs) >= this.limits.quietMs;
    const uncheckedSinceMs = Math.max(this.awaitingSinceMs, this.lastPingAtMs);
    if (!isIdle && nowMs - uncheckedSinceMs < BUSY_PING_INTERVAL_MS) {
      return 'none';
    }
    const sentAtMs = Math.floor(nowMs);
    this.lastPingAtMs = sentAtMs;
    this.pendingPing = {
      sentAtMs,
      dueAtMs: nowMs + this.pingTimeoutMs,
      postponements: 0,
      stage: 'pending',
    };
    return 'ping';
  }

  private checkPing(ping: PendingPing, nowMs: number): LivenessStep {
    const stepDueAtMs = this.nextStepDueAtMs(ping);
    if (nowMs < stepDueAtMs) {
      return 'none';
    }
    if (nowMs - stepDueAtMs > LATE_CHECK_MS && ping.postponements < MAX_POSTPONEMENTS) {
      ping.postponements += 1;
      ping.dueAtMs = nowMs + this.pingTimeoutMs;
      return 'none';
    }
    const isUnconfirmedLoss =
      !this.isPeerConfirmed(ping) && nowMs >= this.unconfirmedLossAtMs(ping);
    ping.stage = stageAfter(ping.stage, isUnconfirmedLoss);
    return ping.stage === 'pending' ? 'none' : ping.stage;
  }

  /** When the next step is due; `Infinity` if that depends on a new connection. */
  private nextStepDueAtMs(ping: PendingPing): number {
    const { stage, dueAtMs, sentAtMs } = ping;
    const unconfirmedLossAtMs = this.unconfirmedLossAtMs(ping);
    switch (stage) {
      case 'pending':
        return dueAtMs;
      case 'suspect': {
        const silentAtMs = this.isPeerConfirmed(ping)
          ? this.peerConfirmedAtMs + CONFIRMATION_GRACE_MS
          : Infinity;
        return Math.max(dueAtMs, Math.min(silentAtMs, unconfirmedLossAtMs));
      }
      case 'silent':
        return Math.max(dueAtMs, Math.max(sentAtMs, this.lastReceivedAtMs) + LOSS_TIMEOUT_MS);
      case 'lost':
        return Infinity;
    }
  }

  /** Whether a new connection was opened since bytes last arrived or the ping was sent. */
  private isPeerConfirmed({ sentAtMs }: PendingPing): boolean {
    return this.peerConfirmedAtMs > Math.min(this.lastReceivedAtMs, sentAtMs);
  }

  private unconfirmedLossAtMs({ sentAtMs }: PendingPing): number {
    return Math.max(sentAtMs, this.lastReceivedAtMs) + this.limits.unconfirmedLossTimeoutMs;
  }

  private recordRoundTrip(roundTripMs: number): void {
    const errorMs = Math.abs(roundTripMs - this.meanRoundTripMs);
    this.roundTripDeviationMs += (errorMs - this.roundTripDeviationMs) * DEVIATION_WEIGHT;
    this.meanRoundTripMs += (roundTripMs - this.meanRoundTripMs) * MEAN_WEIGHT;
  }
}

function stageAfter(stage: PendingPing['stage'], isUnconfirmedLoss: boolean): PendingPing['stage'] {
  if (stage === 'pending') {
    return 'suspect';
  }
  return stage === 'suspect' && !isUnconfirmedLoss ? 'silent' : 'lost';
}
