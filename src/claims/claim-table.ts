/** Claims that a holder remembers: bounded, each for a time. */
import type { ClaimRecord, ClaimStep } from '../wire/message.js';
import { CLAIM_KEEP_MS, MAX_CLAIMS } from './claim-terms.js';

/** Attempt of a record for which holders named different ones: it fits no attempt. */
const DISPUTED_ATTEMPT = '';

interface StoredClaim {
  readonly attempt: string;
  readonly state: 'claimed' | 'finished' | 'released';
  readonly expiresAtMs: number;
}

/** Records by claim digest, in the order of their last change. */
export class ClaimTable {
  private readonly claims = new Map<string, StoredClaim>();

  constructor(private readonly maxClaims = MAX_CLAIMS) {}

  get size(): number {
    return this.claims.size;
  }

  /** Records the attempt when it is the first of its key; gives the step to answer with. */
  request(claim: string, attempt: string, nowMs: number): ClaimStep {
    this.dropExpired(nowMs);
    const stored = this.claims.get(claim);
    if (stored?.state === 'released') {
      return stored.attempt === attempt ? 'unready' : this.record(claim, attempt, nowMs);
    }
    if (stored !== undefined) {
      const isSame = stored.attempt === attempt && stored.state === 'claimed';
      return isSame ? 'granted' : stored.state;
    }
    return this.claims.size < this.maxClaims ? this.record(claim, attempt, nowMs) : 'unready';
  }

  /** The attempt ran: the record is kept from now on. */
  finish(claim: string, attempt: string, nowMs: number): void {
    if (this.claims.get(claim)?.attempt === attempt) {
      this.store(claim, { attempt, state: 'finished', expiresAtMs: nowMs + CLAIM_KEEP_MS });
    }
  }

  /** The attempt did not run: another may claim; a late request of this one is not granted. */
  release(claim: string, attempt: string, nowMs: number): void {
    const stored = this.claims.get(claim);
    const isOther = stored !== undefined && stored.attempt !== attempt;
    if (!isOther && (stored !== undefined || this.claims.size < this.maxClaims)) {
      this.store(claim, { attempt, state: 'released', expiresAtMs: nowMs + CLAIM_KEEP_MS });
    }
  }

  /** Takes over what another holder remembers; a difference is remembered as disputed. */
  merge(record: ClaimRecord, nowMs: number): void {
    const stored = this.claims.get(record.claim);
    const expiresAtMs = nowMs + Math.min(record.remainingMs, CLAIM_KEEP_MS);
    if (stored === undefined || stored.state === 'released') {
      const state = record.isFinished ? 'finished' : 'claimed';
      this.store(record.claim, { attempt: record.attempt, state, expiresAtMs });
      return;
    }
    const isFinished = record.isFinished || stored.state === 'finished';
    this.store(record.claim, {
      attempt: stored.attempt === record.attempt ? record.attempt : DISPUTED_ATTEMPT,
      state: isFinished ? 'finished' : 'claimed',
      expiresAtMs: Math.max(stored.expiresAtMs, expiresAtMs),
    });
  }

  /** Everything that still counts, for a new holder. */
  records(nowMs: number): ClaimRecord[] {
    this.dropExpired(nowMs);
    const records: ClaimRecord[] = [];
    for (const [claim, { attempt, state, expiresAtMs }] of this.claims) {
      if (state !== 'released') {
        const isFinished = state === 'finished';
        records.push({ claim, attempt, isFinished, remainingMs: expiresAtMs - nowMs });
      }
    }
    return records;
  }

  /** The clock was advanced by so much although no time passed. */
  postpone(byMs: number): void {
    for (const [claim, stored] of this.claims) {
      this.claims.set(claim, { ...stored, expiresAtMs: stored.expiresAtMs + byMs });
    }
  }

  private record(claim: string, attempt: string, nowMs: number): ClaimStep {
    this.store(claim, { attempt, state: 'claimed', expiresAtMs: nowMs + CLAIM_KEEP_MS });
    return 'granted';
  }

  private store(claim: string, stored: StoredClaim): void {
    this.claims.delete(claim);
    this.claims.set(claim, stored);
  }

  /** Records expire about in the order of their change: those at the front are looked at. */
  private dropExpired(nowMs: number): void {
    for (const [claim, { expiresAtMs }] of this.claims) {
      if (expiresAtMs > nowMs) {
        return;
      }
      this.claims.delete(claim);
    }
  }
}
