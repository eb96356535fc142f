/** Counts the holders' answers to one claim request. */
import type { ClaimStep } from '../wire/message.js';
import type { ClaimOutcome } from './claim-command.js';
import { majorityOf } from './claim-terms.js';

/** One claim in progress, from its requests until its outcome. */
export class ClaimRound {
  private readonly granted = new Set<string>();
  private readonly refused = new Set<string>();
  private isTaken = false;
  private hasRun = false;

  /** `holders` are the identities to which the request was sent. */
  constructor(
    readonly holders: readonly string[],
    /** Deadline; a majority that is reached later does not count. */
    readonly endsAtMs: number,
  ) {}

  /** Records a holder's answer, and returns the outcome once it is decided. */
  record(holder: string, step: ClaimStep): ClaimOutcome | undefined {
    if (!this.holders.includes(holder)) {
      return undefined;
    }
    if (step === 'granted') {
      this.granted.add(holder);
    } else {
      this.refused.add(holder);
      this.isTaken ||= step === 'claimed' || step === 'finished';
      this.hasRun ||= step === 'finished';
    }
    const majority = majorityOf(this.holders.length);
    if (this.granted.size >= majority) {
      return { outcome: 'won' };
    }
    const possible = this.holders.length - this.refused.size;
    return possible < majority ? this.outcomeWithoutMajority() : undefined;
  }

  /** The outcome of a round in which no majority granted the claim. */
  outcomeWithoutMajority(): ClaimOutcome {
    return this.isTaken ? { outcome: 'taken', ran: this.hasRun } : { outcome: 'unavailable' };
  }

  unanswered(): string[] {
    return this.holders.filter((holder) => !this.granted.has(holder) && !this.refused.has(holder));
  }
}
