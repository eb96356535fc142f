/**
 * The holding side of one reader lease: rounds of requests to electors, and how long the majority of
 * grants of a round may be counted on. The time counts from when the round began, which is before
 * any elector answered, so that the lease ends here before any of its grants ends.
 */
import type { LeaseAnswerMessage } from '../wire/message.js';
import { holderTermMs, majorityOf } from './lease-terms.js';

/** State of a round: open, granted by a majority, or out of reach of one. */
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

/** Counts grants and time for one slot at a time. */
export class ReaderLease {
  private round: Round | undefined;
  private held: HeldLease | undefined;
  private lastRound: number;

  /** `firstRound` should differ between processes of one machine, so that stray answers miss. */
  constructor(
    private readonly durationMs: number,
    firstRound: number,
  ) {
    this.lastRound = firstRound;
  }

  /** Begins a round with `electors`, by key; gives its number. The lease held so far goes on. */
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

  /** Takes an elector's answer; undefined when it does not belong to the round under way. */
  record(elector: string, answer: LeaseAnswerMessage): RoundState | undefined {
    const round = this.round;
    if (round === undefined || answer.round !== round.number || answer.slot !== round.slot) {
      return undefined;
    }
    if (!round.electors.has(elector)) {
      return undefined;
    }
    (answer.granted ? round.granted : round.refused).add(elector);
    return this.judge(round);
  }

  /** End of the lease; -Infinity when none was won. */
  expiresAtMs(): number {
    return this.held?.expiresAtMs ?? -Infinity;
  }

  /** Slot of the lease in force; undefined when there is none. */
  heldSlot(nowMs: number): string | undefined {
    return nowMs < this.expiresAtMs() ? this.held?.slot : undefined;
  }

  /** Number of the newest round. */
  currentRound(): number {
    return this.lastRound;
  }

  /** Forgets the lease and the round; answers to rounds up to the number given count no more. */
  giveUp(): number {
    this.round = undefined;
    this.held = undefined;
    return this.lastRound;
  }

  private judge(round: Round): RoundState {
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
