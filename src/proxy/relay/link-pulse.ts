/**
 * Whether a connection that owes something is still alive. A connection may go silent for good, without
 * a reset, while new ones to the same place work. After some quiet its user asks for a sign of life; when
 * none comes in the time that its measured round trips let one expect, the connection is suspect, and a
 * new one is opened. Only once that one works is the old one taken for silent: a peer that is held up,
 * and a link that is full, delay both alike. Pure: times go in, steps come out.
 */

/** Least time to wait for a sign of life, in milliseconds; most pauses of a process are shorter. */
export const MIN_WAIT_MS = 150;
/** Longest such time, in milliseconds: a full link has up to half a second of bytes waiting. */
export const MAX_WAIT_MS = 1_000;
/** Time for a sign of life once a new connection works, in milliseconds: some turns of an event loop. */
export const PROOF_GRACE_MS = 50;
/**
 * Time from the question to the loss, in milliseconds: nothing more is awaited then. TCP sends a lost packet
 * again after 0.2 s, 0.6 s, 1.4 s and 3.0 s; at a loss of 3% one of a million is lost four times. At 1 s,
 * answers that came 1.9 s late were thrown away, also of requests that may not be sent again.
 */
export const LOSS_MS = 3_100;
/**
 * Time for an answer while other bytes arrive, in milliseconds: they may be answers to what was sent
 * before the way there went silent, or those that the answer has to wait behind.
 */
export const ONE_WAY_WAIT_MS = 2_000;
/** Time between two questions at least while bytes arrive, in milliseconds. */
const BUSY_INTERVAL_MS = 1_000;
/** Weights of a new round trip in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations beyond the mean that a round trip may take, as in RFC 6298. */
const DEVIATIONS = 4;
/** How late a look may be, in milliseconds, before it shows that this process itself stood still. */
const LATE_LOOK_MS = 50;
/** How often a question is put off for such lateness: a process may be late at each look. */
const MAX_PUT_OFFS = 2;

/**
 * - `none`: nothing is to be done.
 * - `ask`: ask for a sign of life.
 * - `suspect`: none came; nothing new is to be sent on the connection, and a new one is to be opened.
 * - `silent`: the new one works. What may be sent again is given up here.
 * - `lost`: nothing came for longer still. Nothing more is awaited. Where no new connection works, the peer may
 *   stand still: once one works, the connection is taken for silent and then for lost, unless anything comes.
 */
export type PulseStep = 'none' | 'ask' | 'suspect' | 'silent' | 'lost';

/** What differs between the ends of a connection, in milliseconds. */
export interface PulseLimits {
  /** Silence after which to ask. */
  readonly quietMs: number;
  /** Time from the question to the loss where no new connection proves that the peer is alive. */
  readonly unprovenLossMs: number;
}

/** A question under way. */
interface Question {
  readonly askedAtMs: number;
  dueAtMs: number;
  putOffs: number;
  stage: 'asked' | 'suspect' | 'silent' | 'lost';
}

/** The pulse of one connection. */
export class LinkPulse {
  private question: Question | undefined;
  private askedAtMs: number;
  private heardAtMs: number;
  private provenAtMs = -Infinity;
  private meanMs: number;
  private deviationMs: number;

  /** `openingMs` is what the opening of the connection took, as its first round trip; 0 if not known. */
  constructor(
    private readonly limits: PulseLimits,
    openingMs: number,
    nowMs: number,
  ) {
    this.heardAtMs = nowMs;
    this.askedAtMs = nowMs;
    this.meanMs = openingMs;
    this.deviationMs = openingMs / 2;
  }

  /** How long a sign of life is waited for at present, in milliseconds. */
  get waitMs(): number {
    const expectedMs = this.meanMs + DEVIATIONS * this.deviationMs;
    return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, expectedMs));
  }

  /** Time since anything arrived, in milliseconds. */
  quietForMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /** Time until the next look that may matter; undefined while the regular ones are enough. */
  msToNextLook(nowMs: number): number | undefined {
    const atMs = this.question && this.nextStepAtMs(this.question);
    return atMs !== undefined && atMs < Infinity ? Math.max(0, atMs - nowMs) : undefined;
  }

  /** Anything arrived. It proves the way here, and that the peer lives, but not the way there. */
  heard(nowMs: number): void {
    this.heardAtMs = nowMs;
    if (this.question?.stage === 'asked') {
      const dueAtMs = this.question.askedAtMs + ONE_WAY_WAIT_MS;
      this.question.dueAtMs = Math.max(this.question.dueAtMs, dueAtMs);
    }
  }

  /** The question that was asked at `askedAtMs` is answered. */
  answered(askedAtMs: number, nowMs: number): void {
    this.heardAtMs = nowMs;
    if (this.question?.askedAtMs === askedAtMs) {
      this.question = undefined;
      this.measured(nowMs - askedAtMs);
    }
  }

  /** Another connection to, or from, the same process was opened. */
  proven(nowMs: number): void {
    this.provenAtMs = nowMs;
    // Without this, what a connection carried that fell silent before its peer's restart was awaited to its deadline.
    if (this.question?.stage === 'lost') {
      this.question.stage = 'suspect';
      this.question.dueAtMs = nowMs + MAX_WAIT_MS;
    }
  }

  /** To be called now and then while something is owed, and after {@link msToNextLook}. */
  look(isOwed: boolean, nowMs: number): PulseStep {
    if (this.question !== undefined) {
      return this.lookForAnswer(this.question, nowMs);
    }
    const isQuiet = this.quietForMs(nowMs) >= this.limits.quietMs;
    const isAskedLately = nowMs - this.askedAtMs < BUSY_INTERVAL_MS;
    if (!isOwed || (!isQuiet && isAskedLately)) {
      return 'none';
    }
    const askedAtMs = Math.floor(nowMs);
    this.askedAtMs = askedAtMs;
    this.question = { askedAtMs, dueAtMs: nowMs + this.waitMs, putOffs: 0, stage: 'asked' };
    return 'ask';
  }

  private lookForAnswer(question: Question, nowMs: number): PulseStep {
    const atMs = this.nextStepAtMs(question);
    if (nowMs < atMs) {
      return 'none';
    }
    if (nowMs - atMs > LATE_LOOK_MS && question.putOffs < MAX_PUT_OFFS) {
      question.putOffs += 1;
      question.dueAtMs = nowMs + this.waitMs;
      return 'none';
    }
    const isUnprovenLoss = !this.isProven(question) && nowMs >= this.unprovenLossAtMs(question);
    question.stage = stageAfter(question.stage, isUnprovenLoss);
    return question.stage === 'asked' ? 'none' : question.stage;
  }

  /** When the question's next step is due, as far as is known. */
  private nextStepAtMs(question: Question): number {
    const { stage, dueAtMs, askedAtMs } = question;
    const unprovenAtMs = this.unprovenLossAtMs(question);
    switch (stage) {
      case 'asked':
        return dueAtMs;
      case 'suspect': {
        const provenAtMs = this.isProven(question) ? this.provenAtMs + PROOF_GRACE_MS : Infinity;
        return Math.max(dueAtMs, Math.min(provenAtMs, unprovenAtMs));
      }
      case 'silent':
        return Math.max(dueAtMs, Math.max(askedAtMs, this.heardAtMs) + LOSS_MS);
      case 'lost':
        return Infinity;
    }
  }

  /** Whether a new connection has worked since the peer was heard or asked. */
  private isProven({ askedAtMs }: Question): boolean {
    return this.provenAtMs > Math.min(this.heardAtMs, askedAtMs);
  }

  private unprovenLossAtMs({ askedAtMs }: Question): number {
    return Math.max(askedAtMs, this.heardAtMs) + this.limits.unprovenLossMs;
  }

  private measured(roundTripMs: number): void {
    const errorMs = Math.abs(roundTripMs - this.meanMs);
    this.deviationMs += (errorMs - this.deviationMs) * DEVIATION_WEIGHT;
    this.meanMs += (roundTripMs - this.meanMs) * MEAN_WEIGHT;
  }
}

function stageAfter(stage: Question['stage'], isUnprovenLoss: boolean): Question['stage'] {
  if (stage === 'asked') {
    return 'suspect';
  }
  return stage === 'suspect' && !isUnprovenLoss ? 'silent' : 'lost';
}
