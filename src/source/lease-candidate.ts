/**
 * Seeks and keeps one lease: asks one elector first, the others once it grants, renews while held,
 * gives back what was of no use. When to ask is up to the {@link CandidatePolicy}.
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

/** Rounds are numbered from a random number below this, so that two processes' rounds differ. */
const FIRST_ROUND_RANGE = 2 ** 30;

/** Decides for a candidate whom to ask, for what, and when. */
export interface CandidatePolicy {
  /** Electors now; none: no lease can be had. */
  electors(): readonly ElectorTarget[];
  /** The slot to ask for; undefined: none is wanted now. */
  wantedSlot(nowMs: number): string | undefined;
  /** Whether a lease that is held is still wanted. */
  keeps(nowMs: number): boolean;
  /** Time until the next look at `wantedSlot`, after `failures` rounds without success in a row. */
  delayMs(failures: number, nowMs: number): number;
}

/** A message for an elector, which may be this node itself. */
export interface ElectorCommand {
  readonly target: ElectorTarget;
  readonly message: LeaseRequestMessage | LeaseReleaseMessage;
}

/** One candidate, later holder. Its user sends the commands that it returns. */
export class LeaseCandidate {
  readonly lease: ReaderLease;
  /** Rounds without success since the last success. */
  failures = 0;
  private asked: readonly ElectorTarget[] = [];
  private answered = new Set<string>();
  private notYetAsked: readonly ElectorTarget[] = [];
  private roundEndsAtMs = Infinity;
  private renewAtMs = Infinity;
  private askAtMs = Infinity;
  /** Slot of the lease held, or of the round under way. */
  private slot: string | undefined;

  constructor(
    private readonly terms: LeaseTerms,
    private readonly policy: CandidatePolicy,
    private readonly random: RandomSource,
  ) {
    const firstRound = Math.floor(random() * FIRST_ROUND_RANGE);
    this.lease = new ReaderLease(terms.durationMs, firstRound);
  }

  /** Begins to look for a lease; the electors or the rank of this node may have changed. */
  schedule(nowMs: number): void {
    if (this.slot === undefined) {
      this.askAtMs = Math.min(this.askAtMs, nowMs + this.policy.delayMs(this.failures, nowMs));
    }
  }

  nextWakeAt(): number {
    const endsAtMs = this.renewAtMs === Infinity ? Infinity : this.lease.expiresAtMs();
    return Math.min(this.askAtMs, this.roundEndsAtMs, this.renewAtMs, endsAtMs);
  }

  /** Does what is due. */
  advance(nowMs: number): ElectorCommand[] {
    if (this.renewAtMs !== Infinity) {
      return this.advanceHeld(nowMs);
    }
    if (nowMs >= this.roundEndsAtMs) {
      return this.fail(nowMs);
    }
    return nowMs >= this.askAtMs ? this.ask(nowMs) : [];
  }

  /** Takes an answer of `from`. */
  handleAnswer(from: PeerIdentity, answer: LeaseAnswerMessage, nowMs: number): ElectorCommand[] {
    const elector = this.asked.find((target) => isTarget(target, from));
    if (elector === undefined) {
      return [];
    }
    const state = this.lease.record(elector.key, answer);
    if (state === undefined) {
      return [];
    }
    this.answered.add(elector.key);
    return this.follow(state, answer.granted, nowMs);
  }

  /** Gives up the lease or the round and tells the electors. */
  giveUp(nowMs: number): ElectorCommand[] {
    const slot = this.slot;
    const round = this.lease.giveUp();
    const told = new Map([...this.asked, ...this.policy.electors()].map((one) => [one.key, one]));
    this.slot = undefined;
    this.asked = [];
    this.notYetAsked = [];
    this.renewAtMs = Infinity;
    this.roundEndsAtMs = Infinity;
    this.askAtMs = nowMs + this.policy.delayMs(this.failures, nowMs);
    if (slot === undefined) {
      return [];
    }
    const message = { type: 'lease-release', slot, round } as const;
    return [...told.values()].map((target) => ({ target, message }));
  }

  /** Asks for nothing any more. */
  stop(nowMs: number): ElectorCommand[] {
    const commands = this.giveUp(nowMs);
    this.askAtMs = Infinity;
    return commands;
  }

  /** Electors that were asked in the last round and have not answered. */
  unanswered(): ElectorTarget[] {
    return this.asked.filter((target) => !this.answered.has(target.key));
  }

  private advanceHeld(nowMs: number): ElectorCommand[] {
    const slot = this.lease.heldSlot(nowMs);
    if (slot === undefined || !this.policy.keeps(nowMs)) {
      return this.giveUp(nowMs);
    }
    if (nowMs < this.renewAtMs) {
      return [];
    }
    this.renewAtMs = nowMs + this.terms.renewIntervalMs;
    const electors = this.policy.electors();
    return this.beginRound(slot, electors, electors, nowMs);
  }

  private ask(nowMs: number): ElectorCommand[] {
    const electors = this.policy.electors();
    const slot = this.policy.wantedSlot(nowMs);
    if (slot === undefined || electors.length === 0) {
      this.askAtMs = nowMs + this.policy.delayMs(this.failures, nowMs);
      return [];
    }
    this.askAtMs = Infinity;
    this.slot = slot;
    this.roundEndsAtMs = nowMs + ROUND_TIMEOUT_MS;
    const first = electors[Math.floor(this.random() * electors.length)];
    return this.beginRound(slot, electors, first === undefined ? [] : [first], nowMs);
  }

  private beginRound(
    slot: string,
    electors: readonly ElectorTarget[],
    askedFirst: readonly ElectorTarget[],
    nowMs: number,
  ): ElectorCommand[] {
    const keys = electors.map((target) => target.key);
    const round = this.lease.begin(slot, keys, nowMs);
    this.asked = askedFirst;
    this.answered = new Set();
    this.notYetAsked = electors.filter((target) => !askedFirst.includes(target));
    return this.requests(slot, round, askedFirst);
  }

  private follow(state: RoundState, granted: boolean, nowMs: number): ElectorCommand[] {
    const isHeld = this.renewAtMs !== Infinity;
    if (state === 'won') {
      return isHeld ? [] : this.win(nowMs);
    }
    if (isHeld) {
      return [];
    }
    if (state === 'lost' || (!granted && this.notYetAsked.length > 0)) {
      return this.fail(nowMs);
    }
    return granted ? this.askTheRest() : [];
  }

  private askTheRest(): ElectorCommand[] {
    const rest = this.notYetAsked;
    if (rest.length === 0 || this.slot === undefined) {
      return [];
    }
    this.asked = [...this.asked, ...rest];
    this.notYetAsked = [];
    return this.requests(this.slot, this.lease.currentRound(), rest);
  }

  private win(nowMs: number): ElectorCommand[] {
    if (this.slot === undefined || nowMs >= this.lease.expiresAtMs()) {
      return this.fail(nowMs);
    }
    this.failures = 0;
    this.roundEndsAtMs = Infinity;
    this.renewAtMs = nowMs + this.terms.renewIntervalMs;
    return this.askTheRest();
  }

  private fail(nowMs: number): ElectorCommand[] {
    this.failures += 1;
    return this.giveUp(nowMs);
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
