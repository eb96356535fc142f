/**
 * Whether a connection that owes something is still alive. A connection may go silent for good, without
 * a reset, while new ones to the same place work. After some quiet its user asks for a sign of life; when
 * none comes in the time that its measured round trips let one expect, the connection is suspect, and a
 * new one is opened. Only once that one works is the old one taken for silent: a peer that is held up,
 * and a link that is full, delay both alike. Pure: times go in, steps come out.
 */

/** Least time to wait for a sign of life, in milliseconds; most pauses of a process are shorter. */
export const MIN_PING_TIMEOUT_MS = 150;
/** Longest such time, in milliseconds: a full link has up to half a second of bytes waiting. */
export const MAX_PING_TIMEOUT_MS = 1_000;
/** Time for a sign of life once a new connection works, in milliseconds: some turns of an event loop. */
export const CONFIRMATION_GRACE_MS = 50;
/**
 * Time from the question to the loss, in milliseconds: nothing more is awaited then. TCP sends a lost packet
 * again after 0.2 s, 0.6 s, 1.4 s and 3.0 s; at a loss of 3% one of a million is lost four times. At 1 s,
 * answers that came 1.9 s late were thrown away, also of requests that may not be sent again.
 */
export const LOSS_TIMEOUT_MS = 3_100;
/**
 * Time for an answer while other bytes arrive, in milliseconds: they may be answers to what was sent
 * before the way there went silent, or those that the answer has to wait behind.
 */
export const ONE_WAY_PING_TIMEOUT_MS = 2_000;
/** Time between two questions at least while bytes arrive, in milliseconds. */
const BUSY_PING_INTERVAL_MS = 1_000;
/** Weights of a new round trip in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations beyond the mean that a round trip may take, as in RFC 6298. */
const DEVIATIONS = 4;
/** How late a look may be, in milliseconds, before it shows that this process itself stood still. */
const LATE_CHECK_MS = 50;
/** How often a question is put off for such lateness: a process may be late at each look. */
const MAX_POSTPONEMENTS = 2;

/**
 * - `none`: nothing is to be done.
 * - `ask`: ask for a sign of life.
 * - `suspect`: none came; nothing new is to be sent on the connection, and a new one is to be opened.
 * - `silent`: the new one works. What may be sent again is given up here.
 * - `lost`: nothing came for longer still. Nothing more is awaited. Where no new connection works, the peer may
 *   stand still: once one works, the connection is taken for silent and then for lost, unless anything comes.
 */
export type LivenessStep = 'none' | 'ask' | 'suspect' | 'silent' | 'lost';

/** What differs between the ends of a connection, in milliseconds. */
export interface LivenessLimits {
  /** Silence after which to ask. */
  readonly quietMs: number;
  /** Time from the question to the loss where no new connection proves that the peer is alive. */
  readonly unconfirmedLossTimeoutMs: number;
}

/** A question under way. */
interface PendingPing {
  readonly sentAtMs: number;
  dueAtMs: number;
  postponements: number;
  stage: 'asked' | 'suspect' | 'silent' | 'lost';
}

/** The pulse of one connection. */
export class ConnectionLiveness {
  private pendingPing: PendingPing | undefined;
  private lastPingAtMs: number;
  private lastReceivedAtMs: number;
  private peerConfirmedAtMs = -Infinity;
  private meanRoundTripMs: number;
  private roundTripDeviationMs: number;

  /** `openingMs` is what the opening of the connection took, as its first round trip; 0 if not known. */
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

  /** How long a sign of life is waited for at present, in milliseconds. */
  get pingTimeoutMs(): number {
    const expectedMs = this.meanRoundTripMs + DEVIATIONS * this.roundTripDeviationMs;
    return Math.min(MAX_PING_TIMEOUT_MS, Math.max(MIN_PING_TIMEOUT_MS, expectedMs));
  }

  /** Time since anything arrived, in milliseconds. */
  idleMs(nowMs: number): number {
    return nowMs - this.lastReceivedAtMs;
  }

  /** Time until the next look that may matter; undefined while the regular ones are enough. */
  msToNextCheck(nowMs: number): number | undefined {
    const dueAtMs = this.pendingPing && this.nextStepDueAtMs(this.pendingPing);
    return dueAtMs !== undefined && dueAtMs < Infinity ? Math.max(0, dueAtMs - nowMs) : undefined;
  }

  /** Anything arrived. It proves the way here, and that the peer lives, but not the way there. */
  recordReceived(nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    if (this.pendingPing?.stage === 'asked') {
      const dueAtMs = this.pendingPing.sentAtMs + ONE_WAY_PING_TIMEOUT_MS;
      this.pendingPing.dueAtMs = Math.max(this.pendingPing.dueAtMs, dueAtMs);
    }
  }

  /** The question that was asked at `askedAtMs` is answered. */
  recordAcknowledgement(pingSentAtMs: number, nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    if (this.pendingPing?.sentAtMs === pingSentAtMs) {
      this.pendingPing = undefined;
      this.recordRoundTrip(nowMs - pingSentAtMs);
    }
  }

  /** Another connection to, or from, the same process was opened. */
  confirmPeerAlive(nowMs: number): void {
    this.peerConfirmedAtMs = nowMs;
    // Without this, what a connection carried that fell silent before its peer's restart was awaited to its deadline.
    if (this.pendingPing?.stage === 'lost') {
      this.pendingPing.stage = 'suspect';
      this.pendingPing.dueAtMs = nowMs + MAX_PING_TIMEOUT_MS;
    }
  }

  /** To be called now and then while something is owed, and after {@link msToNextCheck}. */
  check(isAwaiting: boolean, nowMs: number): LivenessStep {
    if (this.pendingPing !== undefined) {
      return this.checkPing(this.pendingPing, nowMs);
    }
    const isIdle = this.idleMs(nowMs) >= this.limits.quietMs;
    const isRecentlyPinged = nowMs - this.lastPingAtMs < BUSY_PING_INTERVAL_MS;
    if (!isAwaiting || (!isIdle && isRecentlyPinged)) {
      return 'none';
    }
    const sentAtMs = Math.floor(nowMs);
    this.lastPingAtMs = sentAtMs;
    this.pendingPing = {
      sentAtMs,
      dueAtMs: nowMs + this.pingTimeoutMs,
      postponements: 0,
      stage: 'asked',
    };
    return 'ask';
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
    return ping.stage === 'asked' ? 'none' : ping.stage;
  }

  /** When the question's next step is due, as far as is known. */
  private nextStepDueAtMs(ping: PendingPing): number {
    const { stage, dueAtMs, sentAtMs } = ping;
    const unconfirmedLossAtMs = this.unconfirmedLossAtMs(ping);
    switch (stage) {
      case 'asked':
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

  /** Whether a new connection has worked since the peer was heard or asked. */
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
  if (stage === 'asked') {
    return 'suspect';
  }
  return stage === 'suspect' && !isUnconfirmedLoss ? 'silent' : 'lost';
}
