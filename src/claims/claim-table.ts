/** Claims stored by a holder: limited in number, each with an expiry time. */
import type { ClaimRecord, ClaimStep } from '../wire/message.js';
import { CLAIM_RETENTION_MS, MAX_CLAIMS } from './claim-terms.js';

/** Attempt of a record for which holders reported different attempts. Equal to no real attempt. */
const DISPUTED_ATTEMPT = '';

interface StoredClaim {
  readonly attempt: string;
  readonly state: 'claimed' | 'finished' | 'released';
  readonly expiresAtMs: number;
}

/** Records keyed by claim digest, in the order of their last change. */
export class ClaimTable {
  private readonly claims = new Map<string, StoredClaim>();

  constructor(private readonly maxClaims = MAX_CLAIMS) {}

  get size(): number {
    return this.claims.size;
  }

  /** Records the attempt if it is the first for its key, and returns the step to answer with. */
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

  /** Marks the attempt as run, which restarts the retention period of the record. */
  finish(claim: string, attempt: string, nowMs: number): void {
    if (this.claims.get(claim)?.attempt === attempt) {
      this.store(claim, { attempt, state: 'finished', expiresAtMs: nowMs + CLAIM_RETENTION_MS });
    }
  }

  /** Frees the key for other attempts. A late request of the released attempt is not granted. */
  release(claim: string, attempt: string, nowMs: number): void {
    const stored = this.claims.get(claim);
    const isOther = stored !== undefined && stored.attempt !== attempt;
    if (!isOther && (stored !== undefined || this.claims.size < this.maxClaims)) {
      this.store(claim, { attempt, state: 'released', expiresAtMs: nowMs + CLAIM_RETENTION_MS });
    }
  }

  /** Merges a record of another holder. Records with different attempts become disputed. */
  merge(record: ClaimRecord, nowMs: number): void {
    const stored = this.claims.get(record.claim);
    const expiresAtMs = nowMs + Math.min(record.remainingMs, CLAIM_RETENTION_MS);
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

  /** All claims that are neither released nor expired, for a new holder. */
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

  /** Extends all expiry times after the clock stepped forward by `byMs` without time passing. */
  extendDeadlines(byMs: number): void {
    for (const [claim, stored] of this.claims) {
      this.claims.set(claim, { ...stored, expiresAtMs: stored.expiresAtMs + byMs });
    }
  }

  private record(claim: string, attempt: string, nowMs: number): ClaimStep {
    this.store(claim, { attempt, state: 'claimed', expiresAtMs: nowMs + CLAIM_RETENTION_MS });
    return 'granted';
  }

  private store(claim: string, stored: StoredClaim): void {
    this.claims.delete(claim);
    this.claims.set(claim, stored);
  }

  /**
   * Records expire approximately in the order of their last change, so the scan starts at the
   * oldest.
   */
  private dropExpired(nowMs: number): void {
    for (const [claim, { expiresAtMs }] of this.claims) {
      if (expiresAtMs > nowMs) {
        return;
      }
      this.claims.delete(claim);
    }
  }
}
