/**
 * The remembering side of claims. A holder that is new (its process or its place among the holders)
 * grants nothing until it knows what a majority of the holders knows, or until every claim that was
 * granted before it came has lapsed.
 */
import type { ClaimMemory, ClaimMessage, ClaimStep, ClaimSyncMessage } from '../wire/message.js';
import { ClaimTable } from './claim-table.js';
import {
  CLAIM_KEEP_MS,
  majorityOf,
  RECORDS_PER_PART,
  SETTLE_MS,
  SYNC_INTERVAL_MS,
} from './claim-terms.js';

/** What a newcomer got from one holder in the round under way. */
interface HolderAnswer {
  memory: ClaimMemory;
  nextPart: number;
  isWhole: boolean;
}

/** One node as a holder of claims. */
export class ClaimHolder {
  private readonly table: ClaimTable;
  private memory: ClaimMemory = 'new';
  private isMember = false;
  private enteredAtMs = Infinity;
  private syncAtMs = Infinity;
  private round = 0;
  private readonly answers = new Map<string, HolderAnswer>();

  /**
   * `opensWhenAllAreNew`: whether holders that are all new begin at once. Claims of before are lost
   * then; without it nothing is granted until they have lapsed.
   */
  constructor(
    private readonly opensWhenAllAreNew: boolean,
    maxClaims?: number,
  ) {
    this.table = new ClaimTable(maxClaims);
  }

  /** Follows the set of holders; a node that enters it is new. */
  setMember(isMember: boolean, nowMs: number): void {
    if (isMember && !this.isMember) {
      this.memory = 'new';
      this.enteredAtMs = nowMs;
      this.syncAtMs = nowMs + SETTLE_MS;
      this.answers.clear();
    }
    this.isMember = isMember;
  }

  /** When `syncDue` should be asked again. */
  nextWakeAt(): number {
    return this.isMember && this.memory === 'new' ? this.syncAtMs : Infinity;
  }

  /** Number of the round in which the others are to be asked now; undefined: not now. */
  syncDue(holders: number, nowMs: number): number | undefined {
    if (nowMs < this.nextWakeAt()) {
      return undefined;
    }
    this.syncAtMs = nowMs + SYNC_INTERVAL_MS;
    this.judge(holders, nowMs);
    if (this.memory !== 'new') {
      return undefined;
    }
    this.round += 1;
    this.answers.clear();
    return this.round;
  }

  /** What this holder knows, in parts, for a newcomer. */
  syncAnswer(round: number, nowMs: number): ClaimSyncMessage[] {
    const memory = this.isMember ? this.memory : 'new';
    const records = memory === 'new' ? [] : this.table.records(nowMs);
    const count = Math.max(1, Math.ceil(records.length / RECORDS_PER_PART));
    return Array.from({ length: count }, (_, index) => {
      const part = records.slice(index * RECORDS_PER_PART, (index + 1) * RECORDS_PER_PART);
      return { type: 'claim-sync', round, memory, index, count, records: part };
    });
  }

  /** Takes a part of what the holder `from` knows. */
  takeSync(from: string, message: ClaimSyncMessage, holders: number, nowMs: number): void {
    if (this.memory !== 'new' || message.round !== this.round) {
      return;
    }
    const answer = this.answers.get(from) ?? {
      memory: message.memory,
      nextPart: 0,
      isWhole: false,
    };
    if (message.index !== answer.nextPart) {
      return;
    }
    message.records.forEach((record) => this.table.merge(record, nowMs));
    answer.nextPart += 1;
    answer.isWhole = answer.nextPart === message.count;
    this.answers.set(from, answer);
    this.judge(holders, nowMs);
  }

  /** Answers or carries out a step of a claim; undefined where no answer is due. */
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

  /** Whether this node is a holder that knows every claim that counts. */
  canGrant(): boolean {
    return this.isMember && this.memory !== 'new';
  }

  /** The clock was advanced by so much although no time passed. */
  postpone(byMs: number): void {
    this.table.postpone(byMs);
    this.enteredAtMs += byMs;
    this.syncAtMs += byMs;
  }

  private judge(holders: number, nowMs: number): void {
    const whole = [...this.answers.values()].filter((answer) => answer.isWhole);
    const known = whole.filter((answer) => answer.memory !== 'new').length;
    const isAnyRecovered = whole.some((answer) => answer.memory === 'recovered');
    if (known >= majorityOf(holders) || nowMs >= this.enteredAtMs + CLAIM_KEEP_MS) {
      this.memory = 'recovered';
    } else if (this.opensWhenAllAreNew && !isAnyRecovered && whole.length === holders - 1) {
      this.memory = 'fresh';
    }
  }
}
