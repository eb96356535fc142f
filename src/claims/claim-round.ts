/** Counts the holders' answers to one claim. */
import type { ClaimStep } from '../wire/message.js';
import type { ClaimOutcome } from './claim-command.js';
import { majorityOf } from './claim-terms.js';

/** One claim under way, from its requests until its outcome. */
export class ClaimRound {
  private readonly granted = new Set<string>();
  private readonly refused = new Set<string>();
  private isTaken = false;
  private hasRun = false;

  /** `holders` are the identities that were asked. */
  constructor(
    readonly holders: readonly string[],
    /** A majority that is complete later does not count. */
    readonly endsAtMs: number,
  ) {}

  /** Takes a holder's answer; gives the outcome once it is settled. */
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
    return possible < majority ? this.withoutMajority() : undefined;
  }

  /** The outcome of a round that found no majority. */
  withoutMajority(): ClaimOutcome {
    return this.isTaken ? { outcome: 'taken', ran: this.hasRun } : { outcome: 'unavailable' };
  }

  /** Holders that have not answered. */
  unanswered(): string[] {
    return this.holders.filter((holder) => !this.granted.has(holder) && !this.refused.has(holder));
  }
}
