/**
 * When a node seeks which lease. Every node may become a reader, yet only a few ask: the electors,
 * who see when a grant runs out, and the others at intervals that grow with their rank, so that the
 * requests of a zone of n nodes add up to about ln(n) for each interval of the first.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Elector } from './elector.js';
import { ENTRY_GUARD_DURATIONS, type Electorate, type ElectorTarget } from './electorate.js';
import { RECOVERY_SLOT } from './lease-terms.js';
import type { CandidatePolicy } from './lease-candidate.js';

/** Time between two requests of the first node that is no elector, in milliseconds. */
export const ASK_INTERVAL_MS = 4_000;
/** Jitter before electors take over a free slot, for each rank, in milliseconds. */
export const TAKEOVER_JITTER_MS = 500;
/** Without a sign of a reader for this long, the recovery slot is sought, in milliseconds. */
export const RECOVERY_AFTER_MS = 30_000;
/** Rounds that must have failed as well before the recovery slot is sought. */
export const RECOVERY_AFTER_FAILURES = 3;
/** Leases for which the recovery slot is kept once it is no longer needed: electors get ready. */
export const RECOVERY_HOLD_DURATIONS = 4;

const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_DOUBLINGS = 4;

/** What both policies decide from. */
export interface PolicyContext {
  readonly electorate: Electorate;
  readonly elector: Elector;
  readonly random: RandomSource;
  readonly durationMs: number;
}

/** Whether some reader of the own zone was heard of. */
export class ReaderEvidence {
  private seenAtMs = -Infinity;
  private failuresWhenSeen = 0;

  /** A reader works, or will soon. */
  note(failures: number, nowMs: number): void {
    this.seenAtMs = nowMs;
    this.failuresWhenSeen = failures;
  }

  /** Whether there has been no sign for long, although this node kept asking. */
  isMissing(failures: number, nowMs: number): boolean {
    const failed = failures - this.failuresWhenSeen;
    return nowMs - this.seenAtMs >= RECOVERY_AFTER_MS && failed >= RECOVERY_AFTER_FAILURES;
  }
}

/** Common part: a pause, and delays by rank. */
abstract class RankedPolicy implements CandidatePolicy {
  private restsUntilMs = -Infinity;

  constructor(protected readonly context: PolicyContext) {}

  abstract electors(): readonly ElectorTarget[];
  abstract wantedSlot(nowMs: number): string | undefined;
  abstract keeps(nowMs: number): boolean;
  protected abstract slots(): readonly string[];
  protected abstract rank(): number;
  protected abstract isElector(): boolean;

  /** Seeks and keeps nothing until then, so that another node takes over. */
  rest(untilMs: number): void {
    this.restsUntilMs = untilMs;
  }

  delayMs(failures: number, nowMs: number): number {
    if (this.context.electorate.slots.length === 0 || this.electors().length === 0) {
      return Infinity;
    }
    const restMs = Math.max(0, this.restsUntilMs - nowMs);
    return restMs + (this.isElector() ? this.electorDelayMs(failures, nowMs) : this.askDelayMs());
  }

  protected isResting(nowMs: number): boolean {
    return nowMs < this.restsUntilMs;
  }

  /** Slots that this node, as an elector, has not granted; all of them on other nodes. */
  protected freeSlots(nowMs: number): string[] {
    return this.slots().filter((slot) => this.context.elector.grantedUntilMs(slot) <= nowMs);
  }

  private askDelayMs(): number {
    return ASK_INTERVAL_MS * (1 + this.rank()) * (0.5 + this.context.random());
  }

  private electorDelayMs(failures: number, nowMs: number): number {
    const { elector, electorate, random } = this.context;
    const freeAtMs = Math.min(...this.slots().map((slot) => elector.grantedUntilMs(slot)));
    const guardedUntilMs = Math.min(...this.slots().map((slot) => electorate.guardedUntilMs(slot)));
    const readyAtMs = Math.max(freeAtMs, guardedUntilMs);
    if (readyAtMs > nowMs) {
      return readyAtMs - nowMs + TAKEOVER_JITTER_MS * (1 + this.rank()) * random();
    }
    const doublings = Math.min(failures, MAX_BACKOFF_DOUBLINGS);
    return FIRST_BACKOFF_MS * 2 ** doublings * (0.5 + random());
  }
}

/** Seeks a slot of the own zone's share. */
export class ZonePolicy extends RankedPolicy {
  electors(): readonly ElectorTarget[] {
    return this.context.electorate.zoneElectors;
  }

  wantedSlot(nowMs: number): string | undefined {
    const free = this.isResting(nowMs) ? [] : this.freeSlots(nowMs);
    return free[Math.floor(this.context.random() * free.length)];
  }

  keeps(nowMs: number): boolean {
    return !this.isResting(nowMs);
  }

  protected slots(): readonly string[] {
    return this.context.electorate.slots;
  }

  protected rank(): number {
    return this.context.electorate.zoneRank();
  }

  protected isElector(): boolean {
    return this.context.electorate.isZoneElector();
  }
}

/**
 * Seeks the recovery slot: while no machine list is held, when its holder ends before the own zone's
 * electors grant anything, and when these have given no lease for long, as when most of them died at
 * once.
 */
export class RecoveryPolicy extends RankedPolicy {
  private keptUntilMs = -Infinity;

  /** `zoneFailures` counts failed rounds for the zone's slots; `holdsZone`: one of them is held. */
  constructor(
    context: PolicyContext,
    private readonly evidence: ReaderEvidence,
    private readonly zoneFailures: () => number,
    private readonly holdsZone: (nowMs: number) => boolean,
  ) {
    super(context);
  }

  electors(): readonly ElectorTarget[] {
    return this.context.electorate.recoveryElectors;
  }

  wantedSlot(nowMs: number): string | undefined {
    const isWanted = !this.isResting(nowMs) && this.isNeeded(nowMs);
    return isWanted ? this.freeSlots(nowMs)[0] : undefined;
  }

  keeps(nowMs: number): boolean {
    if (this.isResting(nowMs) || this.holdsZone(nowMs)) {
      return false;
    }
    if (this.isNeeded(nowMs)) {
      this.keptUntilMs = nowMs + RECOVERY_HOLD_DURATIONS * this.context.durationMs;
    }
    return nowMs < this.keptUntilMs;
  }

  protected slots(): readonly string[] {
    return [RECOVERY_SLOT];
  }

  protected rank(): number {
    return this.context.electorate.recoveryRank();
  }

  protected isElector(): boolean {
    return this.context.electorate.isRecoveryElector();
  }

  private isNeeded(nowMs: number): boolean {
    const { electorate, elector } = this.context;
    if (electorate.isCold()) {
      return true;
    }
    if (electorate.slots.some((slot) => elector.isEstablished(slot, nowMs))) {
      return false;
    }
    return this.isYoungFleet(nowMs) || this.evidence.isMissing(this.zoneFailures(), nowMs);
  }

  /**
   * Whether the zone's electors do not grant yet, while the recovery slot, as this node knows from
   * its own grants, was in use until now or until lately: its holder was the only reader.
   */
  private isYoungFleet(nowMs: number): boolean {
    const { electorate, elector, durationMs } = this.context;
    const grantedLatelyMs = ENTRY_GUARD_DURATIONS * durationMs;
    const wasInUse = nowMs < elector.grantedUntilMs(RECOVERY_SLOT) + grantedLatelyMs;
    return wasInUse && electorate.isEntering(nowMs);
  }
}
