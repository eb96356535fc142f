/**
 * Policies that decide when a node requests which lease. Every node may become a reader, but only a few send
 * requests: electors, which know when a grant expires, and other nodes at intervals that grow with their rank,
 * so that the n nodes of a zone send about ln(n) requests per request interval of the first-ranked node.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Elector } from './elector.js';
import { ENTRY_GUARD_DURATIONS, type Electorate, type ElectorTarget } from './electorate.js';
import { RECOVERY_SLOT } from './lease-terms.js';
import type { CandidatePolicy } from './lease-candidate.js';

/** Interval between two requests of the first-ranked node that is not an elector, in milliseconds. */
export const REQUEST_INTERVAL_MS = 4_000;
/** Maximum jitter per rank before electors request a free slot, in milliseconds. */
export const TAKEOVER_JITTER_MS = 500;
/** Time without evidence of a reader after which the recovery slot is requested, in milliseconds. */
export const RECOVERY_AFTER_MS = 30_000;
/** Number of rounds that must also have failed before the recovery slot is requested. */
export const RECOVERY_AFTER_FAILURES = 3;
/**
 * Lease durations for which the recovery slot is kept after it is no longer needed, so that the zone's electors
 * have time to start granting.
 */
export const RECOVERY_HOLD_DURATIONS = 4;

const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_DOUBLINGS = 4;

/** Inputs shared by both policies. */
export interface PolicyContext {
  readonly electorate: Electorate;
  readonly elector: Elector;
  readonly random: RandomSource;
  readonly durationMs: number;
}

/** Tracks evidence of a reader in this node's zone. */
export class ReaderEvidence {
  private lastSeenAtMs = -Infinity;
  private failuresAtLastSeen = 0;

  /** Records that a reader is active, or will be soon. */
  recordReader(failures: number, nowMs: number): void {
    this.lastSeenAtMs = nowMs;
    this.failuresAtLastSeen = failures;
  }

  /** Whether there has been no evidence of a reader for a long time although this node kept sending requests. */
  isMissing(failures: number, nowMs: number): boolean {
    const failed = failures - this.failuresAtLastSeen;
    return nowMs - this.lastSeenAtMs >= RECOVERY_AFTER_MS && failed >= RECOVERY_AFTER_FAILURES;
  }
}

/** Base class with a pause and rank-dependent delays. */
abstract class RankedPolicy implements CandidatePolicy {
  private pausedUntilMs = -Infinity;

  constructor(protected readonly context: PolicyContext) {}

  abstract electors(): readonly ElectorTarget[];
  abstract wantedSlot(nowMs: number): string | undefined;
  abstract shouldKeep(nowMs: number): boolean;
  protected abstract slots(): readonly string[];
  protected abstract rank(): number;
  protected abstract isElector(): boolean;

  /** Requests and keeps no lease until `untilMs`, so that another node can take over. */
  pauseUntil(untilMs: number): void {
    this.pausedUntilMs = untilMs;
  }

  delayMs(failures: number, nowMs: number): number {
    if (this.context.electorate.slots.length === 0 || this.electors().length === 0) {
      return Infinity;
    }
    const pauseMs = Math.max(0, this.pausedUntilMs - nowMs);
    return pauseMs + (this.isElector() ? this.electorDelayMs(failures, nowMs) : this.rankDelayMs());
  }

  protected isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }

  /** Slots without a grant from this node's elector; all slots if this node is not an elector. */
  protected freeSlots(nowMs: number): string[] {
    return this.slots().filter((slot) => this.context.elector.grantedUntilMs(slot) <= nowMs);
  }

  private rankDelayMs(): number {
    return REQUEST_INTERVAL_MS * (1 + this.rank()) * (0.5 + this.context.random());
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

/** Requests a slot from the share of this node's zone. */
export class ZonePolicy extends RankedPolicy {
  electors(): readonly ElectorTarget[] {
    return this.context.electorate.zoneElectors;
  }

  wantedSlot(nowMs: number): string | undefined {
    const free = this.isPaused(nowMs) ? [] : this.freeSlots(nowMs);
    return free[Math.floor(this.context.random() * free.length)];
  }

  shouldKeep(nowMs: number): boolean {
    return !this.isPaused(nowMs);
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
 * Requests the recovery slot in three cases: no machine list is known; the holder of the recovery slot exits
 * before the zone's electors start granting; or the zone's electors have granted no lease for a long time, for
 * example because most of them failed at once.
 */
export class RecoveryPolicy extends RankedPolicy {
  private keptUntilMs = -Infinity;

  /**
   * `zoneFailures` returns the number of failed rounds for the zone's slots, `holdsZoneSlot` whether this node
   * holds one of them.
   */
  constructor(
    context: PolicyContext,
    private readonly evidence: ReaderEvidence,
    private readonly zoneFailures: () => number,
    private readonly holdsZoneSlot: (nowMs: number) => boolean,
  ) {
    super(context);
  }

  electors(): readonly ElectorTarget[] {
    return this.context.electorate.recoveryElectors;
  }

  wantedSlot(nowMs: number): string | undefined {
    const isWanted = !this.isPaused(nowMs) && this.isNeeded(nowMs);
    return isWanted ? this.freeSlots(nowMs)[0] : undefined;
  }

  shouldKeep(nowMs: number): boolean {
    if (this.isPaused(nowMs) || this.holdsZoneSlot(nowMs)) {
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
    if (electorate.hasNoMachines()) {
      return true;
    }
    if (electorate.slots.some((slot) => elector.isEstablished(slot, nowMs))) {
      return false;
    }
    return this.isNewFleet(nowMs) || this.evidence.isMissing(this.zoneFailures(), nowMs);
  }

  /**
   * Whether the zone's electors are not granting yet while, according to this node's own grants, the recovery
   * slot is or was recently in use. Its holder was then the only reader.
   */
  private isNewFleet(nowMs: number): boolean {
    const { electorate, elector, durationMs } = this.context;
    const recentUseMs = ENTRY_GUARD_DURATIONS * durationMs;
    const wasInUse = nowMs < elector.grantedUntilMs(RECOVERY_SLOT) + recentUseMs;
    return wasInUse && electorate.isInEntryGuard(nowMs);
  }
}
