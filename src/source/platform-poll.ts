/** Schedules a lease holder's reads of the platform: one at a time, at intervals with jitter and back-off. */
import type {
  ControlEffect,
  PlatformAnswer,
  PlatformDocument,
  RandomSource,
} from '../control/control-event.js';

/** Maximum back-off, unless the platform requests a longer delay, in milliseconds. */
export const MAX_BACKOFF_MS = 5_000;
/** No read is started if less time than this remains of the lease, in milliseconds. */
export const MIN_READ_MS = 20;
/** Consecutive `unavailable` reads after which another node should take over. */
export const FAILURES_BEFORE_HANDOVER = 5;
/** Fraction by which an interval varies in either direction. */
const JITTER_FRACTION = 0.1;

/** Timing of reads, in milliseconds. */
export interface PollTerms {
  readonly configurationIntervalMs: number;
  readonly machinesIntervalMs: number;
  readonly requestTimeoutMs: number;
}

interface Schedule {
  nextAtMs: number;
  /** Consecutive reads that returned neither `not-modified` nor a document that was adopted. */
  unsuccessfulReads: number;
}

interface PendingRead {
  readonly document: PlatformDocument;
  readonly readId: number;
}

/** Schedules the reads of one lease holder, from `start` to `stop`. */
export class PlatformPoll {
  /** Consecutive `unavailable` reads. */
  failures = 0;
  private readonly schedules: Record<PlatformDocument, Schedule> = {
    source: { nextAtMs: Infinity, unsuccessfulReads: 0 },
    machines: { nextAtMs: Infinity, unsuccessfulReads: 0 },
  };
  private pending: PendingRead | undefined;
  private lastReadId = 0;

  constructor(
    private readonly terms: PollTerms,
    private readonly random: RandomSource,
  ) {}

  /** Starts polling; both documents are due immediately. */
  start(nowMs: number): void {
    this.failures = 0;
    this.schedules.source = { nextAtMs: nowMs, unsuccessfulReads: 0 };
    this.schedules.machines = { nextAtMs: nowMs, unsuccessfulReads: 0 };
  }

  /** Stops polling; the answer to a pending read will be ignored. */
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

  /** The read that is due, if any; it is aborted before `endsAtMs`. */
  nextRead(
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

  /** Whether an answer belongs to the pending read. */
  isPending(document: PlatformDocument, readId: number): boolean {
    return this.pending?.document === document && this.pending.readId === readId;
  }

  /** Handles the answer to the pending read; `wasAdopted` is whether it changed the version held by this node. */
  handleAnswer(answer: PlatformAnswer, wasAdopted: boolean, nowMs: number): void {
    const document = this.pending?.document;
    if (document === undefined) {
      return;
    }
    this.pending = undefined;
    this.failures = answer.outcome === 'unavailable' ? this.failures + 1 : 0;
    const schedule = this.schedules[document];
    const isSuccessful = wasAdopted || answer.outcome === 'not-modified';
    schedule.unsuccessfulReads = isSuccessful ? 0 : schedule.unsuccessfulReads + 1;
    const requestedDelayMs = answer.outcome === 'unavailable' ? (answer.retryAfterMs ?? 0) : 0;
    const delayMs = Math.max(this.delayMs(document, schedule.unsuccessfulReads), requestedDelayMs);
    schedule.nextAtMs = nowMs + delayMs * (1 + JITTER_FRACTION * (2 * this.random() - 1));
    if (requestedDelayMs > 0) {
      this.postpone(nowMs + requestedDelayMs);
    }
  }

  private delayMs(document: PlatformDocument, unsuccessfulReads: number): number {
    const intervalMs =
      document === 'source' ? this.terms.configurationIntervalMs : this.terms.machinesIntervalMs;
    const backoffMs = intervalMs * 2 ** Math.min(unsuccessfulReads, 10);
    return Math.max(intervalMs, Math.min(backoffMs, MAX_BACKOFF_MS));
  }

  private mostOverdue(): PlatformDocument {
    const { source, machines } = this.schedules;
    return source.nextAtMs <= machines.nextAtMs ? 'source' : 'machines';
  }

  /** Postpones the reads of both documents until `untilMs`. */
  private postpone(untilMs: number): void {
    for (const schedule of Object.values(this.schedules)) {
      schedule.nextAtMs = Math.max(schedule.nextAtMs, untilMs);
    }
  }
}
