/** When a holder reads which document: intervals with jitter, back-off, one read at a time. */
import type {
  ControlEffect,
  PlatformAnswer,
  PlatformDocument,
  RandomSource,
} from '../control/control-event.js';

/** Longest back-off that the platform did not ask for, in milliseconds. */
export const MAX_BACKOFF_MS = 5_000;
/** A read is not begun when the lease leaves less time than this, in milliseconds. */
export const MIN_READ_MS = 20;
/** Reads without an answer in a row after which another node should try. */
export const FAILURES_BEFORE_HANDOVER = 5;
/** Part by which an interval varies either way. */
const JITTER_FRACTION = 0.1;

/** Times of reads, in milliseconds. */
export interface PollTerms {
  readonly configurationIntervalMs: number;
  readonly machinesIntervalMs: number;
  readonly requestTimeoutMs: number;
}

interface Schedule {
  nextAtMs: number;
  /** Reads in a row that brought nothing to follow. */
  fruitless: number;
}

interface PendingRead {
  readonly document: PlatformDocument;
  readonly readId: number;
}

/** Schedules one holder's reads, from `start` to `stop`. */
export class PlatformPoll {
  /** Reads in a row that the platform did not answer. */
  failures = 0;
  private readonly schedules: Record<PlatformDocument, Schedule> = {
    source: { nextAtMs: Infinity, fruitless: 0 },
    machines: { nextAtMs: Infinity, fruitless: 0 },
  };
  private pending: PendingRead | undefined;
  private lastReadId = 0;

  constructor(
    private readonly terms: PollTerms,
    private readonly random: RandomSource,
  ) {}

  /** Reading may begin: both documents are due. */
  start(nowMs: number): void {
    this.failures = 0;
    this.schedules.source = { nextAtMs: nowMs, fruitless: 0 };
    this.schedules.machines = { nextAtMs: nowMs, fruitless: 0 };
  }

  /** Reading must end; an answer that is under way is no longer known. */
  stop(): void {
    this.pending = undefined;
    this.schedules.source.nextAtMs = Infinity;
    this.schedules.machines.nextAtMs = Infinity;
  }

  nextWakeAt(): number {
    return this.pending === undefined
      ? Math.min(this.schedules.source.nextAtMs, this.schedules.machines.nextAtMs)
      : Infinity;
  }

  /** The read that is due, if any, which ends before `endsAtMs`. */
  due(
    heldNumber: (document: PlatformDocument) => number,
    endsAtMs: number,
    nowMs: number,
  ): ControlEffect | undefined {
    const abortAfterMs = Math.min(this.terms.requestTimeoutMs, Math.floor(endsAtMs - nowMs));
    if (this.pending !== undefined || nowMs < this.nextWakeAt()) {
      return undefined;
    }
    if (abortAfterMs < MIN_READ_MS) {
      this.postpone(endsAtMs);
      return undefined;
    }
    const document = this.mostOverdue();
    this.lastReadId += 1;
    this.pending = { document, readId: this.lastReadId };
    const knownNumber = heldNumber(document);
    const readId = this.lastReadId;
    return { type: 'read-platform', document, readId, knownNumber, abortAfterMs };
  }

  /** Whether an answer belongs to the read under way. */
  isPending(document: PlatformDocument, readId: number): boolean {
    return this.pending?.document === document && this.pending.readId === readId;
  }

  /** Takes the answer of the read under way; `wasFollowed`: it changed what this node holds. */
  answered(answer: PlatformAnswer, wasFollowed: boolean, nowMs: number): void {
    const document = this.pending?.document;
    if (document === undefined) {
      return;
    }
    this.pending = undefined;
    this.failures = answer.outcome === 'unavailable' ? this.failures + 1 : 0;
    const schedule = this.schedules[document];
    const isFruitful = wasFollowed || answer.outcome === 'not-modified';
    schedule.fruitless = isFruitful ? 0 : schedule.fruitless + 1;
    const askedForMs = answer.outcome === 'unavailable' ? (answer.retryAfterMs ?? 0) : 0;
    const delayMs = Math.max(this.delayMs(document, schedule.fruitless), askedForMs);
    schedule.nextAtMs = nowMs + delayMs * (1 + JITTER_FRACTION * (2 * this.random() - 1));
    if (askedForMs > 0) {
      this.postpone(nowMs + askedForMs);
    }
  }

  private delayMs(document: PlatformDocument, fruitless: number): number {
    const intervalMs =
      document === 'source' ? this.terms.configurationIntervalMs : this.terms.machinesIntervalMs;
    const backedOffMs = intervalMs * 2 ** Math.min(fruitless, 10);
    return Math.max(intervalMs, Math.min(backedOffMs, MAX_BACKOFF_MS));
  }

  private mostOverdue(): PlatformDocument {
    const { source, machines } = this.schedules;
    return source.nextAtMs <= machines.nextAtMs ? 'source' : 'machines';
  }

  /** Neither document is read before `untilMs`. */
  private postpone(untilMs: number): void {
    for (const schedule of Object.values(this.schedules)) {
      schedule.nextAtMs = Math.max(schedule.nextAtMs, untilMs);
    }
  }
}
