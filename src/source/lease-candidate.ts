/**
 * Acquires and renews one lease. A round sends a request to one elector first and to the others once it has
 * granted. The lease is renewed while it is held; grants of failed rounds are released. The
 * {@link CandidatePolicy} decides when to send requests.
 */
import type { RandomSource } from '../control/control-event.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { isTarget } from '../control/target-links.js';
import type {
  LeaseAnswerMessage,
  LeaseReleaseMessage,
  LeaseRequestMessage,
} from '../wire/message.js';
import type { ElectorTarget } from './electorate.js';
import { ROUND_TIMEOUT_MS, type LeaseTerms } from './lease-terms.js';
import { ReaderLease, type RoundState } from './reader-lease.js';

/** Round numbers start at a random number below this bound, so that they differ between processes. */
const FIRST_ROUND_RANGE = 2 ** 30;

/** Decides which electors a candidate contacts, which slot it requests, and when. */
export interface CandidatePolicy {
  /** Current electors; if there are none, no lease can be acquired. */
  electors(): readonly ElectorTarget[];
  /** The slot to request; undefined if none is wanted now. */
  wantedSlot(nowMs: number): string | undefined;
  /** Whether a held lease is still wanted. */
  shouldKeep(nowMs: number): boolean;
  /** Delay until `wantedSlot` is next evaluated, after `failures` consecutive failed rounds. */
  delayMs(failures: number, nowMs: number): number;
}

/** A message to an elector, which may be this node itself. */
export interface ElectorCommand {
  readonly target: ElectorTarget;
  readonly message: LeaseRequestMessage | LeaseReleaseMessage;
}

/** A candidate for one lease, and its holder once acquired. The caller must send the returned commands. */
export class LeaseCandidate {
  readonly lease: ReaderLease;
  /** Failed rounds since the last successful one. */
  failures = 0;
  private contacted: readonly ElectorTarget[] = [];
  private answered = new Set<string>();
  private uncontacted: readonly ElectorTarget[] = [];
  private roundDeadlineMs = Infinity;
  private renewAtMs = Infinity;
  private nextAttemptAtMs = Infinity;
  /** Slot of the held lease, or of the round in progress. */
  private slot: string | undefined;

  constructor(
    private readonly terms: LeaseTerms,
    private readonly policy: CandidatePolicy,
    private readonly random: RandomSource,
  ) {
    const firstRound = Math.floor(random() * FIRST_ROUND_RANGE);
    this.lease = new ReaderLease(terms.durationMs, firstRound);
  }

  /**
   * Schedules an attempt after the policy's current delay, unless an earlier one is scheduled. Called when the
   * electors or the rank of this node may have changed.
   */
  schedule(nowMs: number): void {
    if (this.slot === undefined) {
      this.nextAttemptAtMs = Math.min(
        this.nextAttemptAtMs,
        nowMs + this.policy.delayMs(this.failures, nowMs),
      );
    }
  }

  nextWakeAt(): number {
    const endsAtMs = this.renewAtMs === Infinity ? Infinity : this.lease.expiresAtMs();
    return Math.min(this.nextAttemptAtMs, this.roundDeadlineMs, this.renewAtMs, endsAtMs);
  }

  advance(nowMs: number): ElectorCommand[] {
    if (this.renewAtMs !== Infinity) {
      return this.advanceHeld(nowMs);
    }
    if (nowMs >= this.roundDeadlineMs) {
      return this.handleFailedRound(nowMs);
    }
    return nowMs >= this.nextAttemptAtMs ? this.attempt(nowMs) : [];
  }

  handleAnswer(from: PeerIdentity, answer: LeaseAnswerMessage, nowMs: number): ElectorCommand[] {
    const elector = this.contacted.find((target) => isTarget(target, from));
    if (elector === undefined) {
      return [];
    }
    const state = this.lease.record(elector.key, answer);
    if (state === undefined) {
      return [];
    }
    this.answered.add(elector.key);
    return this.handleRoundState(state, answer.granted, nowMs);
  }

  /** Abandons the lease or the round; returns the releases to send to the electors. */
  releaseLease(nowMs: number): ElectorCommand[] {
    const slot = this.slot;
    const round = this.lease.clear();
    const recipients = new Map(
      [...this.contacted, ...this.policy.electors()].map((one) => [one.key, one]),
    );
    this.slot = undefined;
    this.contacted = [];
    this.uncontacted = [];
    this.renewAtMs = Infinity;
    this.roundDeadlineMs = Infinity;
    this.nextAttemptAtMs = nowMs + this.policy.delayMs(this.failures, nowMs);
    if (slot === undefined) {
      return [];
    }
    const message = { type: 'lease-release', slot, round } as const;
    return [...recipients.values()].map((target) => ({ target, message }));
  }

  /** Releases the lease and schedules no further attempt. */
  stop(nowMs: number): ElectorCommand[] {
    const commands = this.releaseLease(nowMs);
    this.nextAttemptAtMs = Infinity;
    return commands;
  }

  /** Electors contacted in the last round that have not answered. */
  unanswered(): ElectorTarget[] {
    return this.contacted.filter((target) => !this.answered.has(target.key));
  }

  private advanceHeld(nowMs: number): ElectorCommand[] {
    const slot = this.lease.heldSlot(nowMs);
    if (slot === undefined || !this.policy.shouldKeep(nowMs)) {
      return this.releaseLease(nowMs);
    }
    if (nowMs < this.renewAtMs) {
      return [];
    }
    this.renewAtMs = nowMs + this.terms.renewIntervalMs;
    const electors = this.policy.electors();
    return this.beginRound(slot, electors, electors, nowMs);
  }

  private attempt(nowMs: number): ElectorCommand[] {
    const electors = this.policy.electors();
    const slot = this.policy.wantedSlot(nowMs);
    if (slot === undefined || electors.length === 0) {
      this.nextAttemptAtMs = nowMs + this.policy.delayMs(this.failures, nowMs);
      return [];
    }
    this.nextAttemptAtMs = Infinity;
    this.slot = slot;
    this.roundDeadlineMs = nowMs + ROUND_TIMEOUT_MS;
    const first = electors[Math.floor(this.random() * electors.length)];
    return this.beginRound(slot, electors, first === undefined ? [] : [first], nowMs);
  }

  private beginRound(
    slot: string,
    electors: readonly ElectorTarget[],
    contactedFirst: readonly ElectorTarget[],
    nowMs: number,
  ): ElectorCommand[] {
    const keys = electors.map((target) => target.key);
    const round = this.lease.begin(slot, keys, nowMs);
    this.contacted = contactedFirst;
    this.answered = new Set();
    this.uncontacted = electors.filter((target) => !contactedFirst.includes(target));
    return this.requests(slot, round, contactedFirst);
  }

  private handleRoundState(state: RoundState, granted: boolean, nowMs: number): ElectorCommand[] {
    const isHeld = this.renewAtMs !== Infinity;
    if (state === 'won') {
      return isHeld ? [] : this.handleWon(nowMs);
    }
    if (isHeld) {
      return [];
    }
    if (state === 'lost' || (!granted && this.uncontacted.length > 0)) {
      return this.handleFailedRound(nowMs);
    }
    return granted ? this.contactRemaining() : [];
  }

  private contactRemaining(): ElectorCommand[] {
    const remaining = this.uncontacted;
    if (remaining.length === 0 || this.slot === undefined) {
      return [];
    }
    this.contacted = [...this.contacted, ...remaining];
    this.uncontacted = [];
    return this.requests(this.slot, this.lease.currentRound(), remaining);
  }

  private handleWon(nowMs: number): ElectorCommand[] {
    if (this.slot === undefined || nowMs >= this.lease.expiresAtMs()) {
      return this.handleFailedRound(nowMs);
    }
    this.failures = 0;
    this.roundDeadlineMs = Infinity;
    this.renewAtMs = nowMs + this.terms.renewIntervalMs;
    return this.contactRemaining();
  }

  private handleFailedRound(nowMs: number): ElectorCommand[] {
    this.failures += 1;
    return this.releaseLease(nowMs);
  }

  private requests(
    slot: string,
    round: number,
    targets: readonly ElectorTarget[],
  ): ElectorCommand[] {
    const { durationMs } = this.terms;
    const message = { type: 'lease-request', slot, round, durationMs } as const;
    return targets.map((target) => ({ target, message }));
  }
}
