/**
 * The holding side of one reader lease: counts the electors' answers to a round and determines when the lease
 * expires. Its duration starts with the round, before any elector answers, so that it expires at the holder
 * before any of its grants expires.
 */
import type { LeaseAnswerMessage } from '../wire/message.js';
import { holderTermMs, majorityOf } from './lease-terms.js';

/** State of a round: undecided, granted by a majority, or unable to reach a majority. */
export type RoundState = 'open' | 'won' | 'lost';

interface Round {
  readonly number: number;
  readonly slot: string;
  readonly startedAtMs: number;
  readonly electors: ReadonlySet<string>;
  readonly granted: Set<string>;
  readonly refused: Set<string>;
}

/** A lease that is in force until `expiresAtMs`. */
interface HeldLease {
  readonly slot: string;
  readonly expiresAtMs: number;
}

/** The lease and the current round of one candidate, for one slot at a time. */
export class ReaderLease {
  private round: Round | undefined;
  private held: HeldLease | undefined;
  private lastRound: number;

  /** `firstRound` should differ between processes of one machine, so that answers to another process are ignored. */
  constructor(
    private readonly durationMs: number,
    firstRound: number,
  ) {
    this.lastRound = firstRound;
  }

  /** Begins a round with `electors`, given by key; returns its number. A held lease stays in force. */
  begin(slot: string, electors: readonly string[], nowMs: number): number {
    this.lastRound += 1;
    this.round = {
      number: this.lastRound,
      slot,
      startedAtMs: nowMs,
      electors: new Set(electors),
      granted: new Set(),
      refused: new Set(),
    };
    return this.lastRound;
  }

  /** Records an elector's answer; undefined if it does not belong to the current round. */
  record(elector: string, answer: LeaseAnswerMessage): RoundState | undefined {
    const round = this.round;
    if (round === undefined || answer.round !== round.number || answer.slot !== round.slot) {
      return undefined;
    }
    if (!round.electors.has(elector)) {
      return undefined;
    }
    (answer.granted ? round.granted : round.refused).add(elector);
    return this.evaluate(round);
  }

  /** Expiry of the lease; -Infinity if none is held. */
  expiresAtMs(): number {
    return this.held?.expiresAtMs ?? -Infinity;
  }

  /** Slot of the lease in force; undefined if there is none. */
  heldSlot(nowMs: number): string | undefined {
    return nowMs < this.expiresAtMs() ? this.held?.slot : undefined;
  }

  currentRound(): number {
    return this.lastRound;
  }

  /** Discards the lease and the round; answers to rounds up to the returned number are ignored. */
  clear(): number {
    this.round = undefined;
    this.held = undefined;
    return this.lastRound;
  }

  private evaluate(round: Round): RoundState {
    const majority = majorityOf(round.electors.size);
    if (round.granted.size >= majority) {
      const expiresAtMs = round.startedAtMs + holderTermMs(this.durationMs);
      this.held = { slot: round.slot, expiresAtMs };
      return 'won';
    }
    const possible = round.electors.size - round.refused.size;
    return possible < majority ? 'lost' : 'open';
  }
}
