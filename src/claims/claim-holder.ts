/**
 * Stores and grants claims. A holder is new after its process started or after it joined the
 * holders. A new holder grants nothing until it has synchronized with a majority of the holders, or
 * until every claim that was granted before it joined has expired.
 */
import type { ClaimMemory, ClaimMessage, ClaimStep, ClaimSyncMessage } from '../wire/message.js';
import { ClaimTable } from './claim-table.js';
import {
  CLAIM_RETENTION_MS,
  majorityOf,
  RECORDS_PER_SYNC_MESSAGE,
  SYNC_DELAY_MS,
  SYNC_INTERVAL_MS,
} from './claim-terms.js';

/** Records that a new holder has received from one holder in the current sync round. */
interface SyncAnswer {
  memory: ClaimMemory;
  nextPart: number;
  isComplete: boolean;
}

/** One node as a holder of claims. */
export class ClaimHolder {
  private readonly table: ClaimTable;
  private memory: ClaimMemory = 'new';
  private isMember = false;
  private enteredAtMs = Infinity;
  private syncAtMs = Infinity;
  private round = 0;
  private readonly syncAnswers = new Map<string, SyncAnswer>();

  /**
   * `opensWhenAllAreNew`: whether holders that are all new grant claims at once. Earlier claims are
   * lost in that case; otherwise nothing is granted until they have expired.
   */
  constructor(
    private readonly opensWhenAllAreNew: boolean,
    maxClaims?: number,
  ) {
    this.table = new ClaimTable(maxClaims);
  }

  /** Updates whether this node is a holder. A node that becomes a holder is new. */
  setMember(isMember: boolean, nowMs: number): void {
    if (isMember && !this.isMember) {
      this.memory = 'new';
      this.enteredAtMs = nowMs;
      this.syncAtMs = nowMs + SYNC_DELAY_MS;
      this.syncAnswers.clear();
    }
    this.isMember = isMember;
  }

  /** Time at which `startSyncIfDue` should be called next. */
  nextWakeAt(): number {
    return this.isMember && this.memory === 'new' ? this.syncAtMs : Infinity;
  }

  /** Starts a sync round if one is due, and returns its number; undefined if none is due. */
  startSyncIfDue(holders: number, nowMs: number): number | undefined {
    if (nowMs < this.nextWakeAt()) {
      return undefined;
    }
    this.syncAtMs = nowMs + SYNC_INTERVAL_MS;
    this.updateMemory(holders, nowMs);
    if (this.memory !== 'new') {
      return undefined;
    }
    this.round += 1;
    this.syncAnswers.clear();
    return this.round;
  }

  /** The claims of this holder, split into messages for a new holder. */
  syncMessages(round: number, nowMs: number): ClaimSyncMessage[] {
    const memory = this.isMember ? this.memory : 'new';
    const records = memory === 'new' ? [] : this.table.records(nowMs);
    const count = Math.max(1, Math.ceil(records.length / RECORDS_PER_SYNC_MESSAGE));
    return Array.from({ length: count }, (_, index) => {
      const part = records.slice(
        index * RECORDS_PER_SYNC_MESSAGE,
        (index + 1) * RECORDS_PER_SYNC_MESSAGE,
      );
      return { type: 'claim-sync', round, memory, index, count, records: part };
    });
  }

  /** Handles one part of the claims of the holder `from`. */
  takeSync(from: string, message: ClaimSyncMessage, holders: number, nowMs: number): void {
    if (this.memory !== 'new' || message.round !== this.round) {
      return;
    }
    const answer = this.syncAnswers.get(from) ?? {
      memory: message.memory,
      nextPart: 0,
      isComplete: false,
    };
    if (message.index !== answer.nextPart) {
      return;
    }
    message.records.forEach((record) => this.table.merge(record, nowMs));
    answer.nextPart += 1;
    answer.isComplete = answer.nextPart === message.count;
    this.syncAnswers.set(from, answer);
    this.updateMemory(holders, nowMs);
  }

  /** Applies a step of a claim. Returns the answer, or undefined if the step has none. */
  handle(message: ClaimMessage, nowMs: number): ClaimStep | undefined {
    const { claim, attempt } = message;
    switch (message.step) {
      case 'request':
        return this.canGrant() ? this.table.request(claim, attempt, nowMs) : 'unready';
      case 'finish':
        this.table.finish(claim, attempt, nowMs);
        return undefined;
      case 'release':
        this.table.release(claim, attempt, nowMs);
        return undefined;
      default:
        return undefined;
    }
  }

  /** Whether this node is a holder that is no longer new. */
  canGrant(): boolean {
    return this.isMember && this.memory !== 'new';
  }

  /** Extends all deadlines after the clock stepped forward by `byMs` without time passing. */
  extendDeadlines(byMs: number): void {
    this.table.extendDeadlines(byMs);
    this.enteredAtMs += byMs;
    this.syncAtMs += byMs;
  }

  private updateMemory(holders: number, nowMs: number): void {
    const complete = [...this.syncAnswers.values()].filter((answer) => answer.isComplete);
    const informedCount = complete.filter((answer) => answer.memory !== 'new').length;
    const isAnyRecovered = complete.some((answer) => answer.memory === 'recovered');
    if (informedCount >= majorityOf(holders) || nowMs >= this.enteredAtMs + CLAIM_RETENTION_MS) {
      this.memory = 'recovered';
    } else if (this.opensWhenAllAreNew && !isAnyRecovered && complete.length === holders - 1) {
      this.memory = 'fresh';
    }
  }
}
