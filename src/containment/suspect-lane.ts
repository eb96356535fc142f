/**
 * Limits which suspected requests one endpoint processes concurrently. Few suspects run together, so that a crash
 * points to few possible causes; an accused request runs without other suspects, so that a crash identifies it as
 * the cause. Pure.
 */
import type { Standing } from './suspicion.js';

/** Slots of an endpoint per suspect that it may process. */
const SLOTS_PER_SUSPECT = 4;

/** A request to which the limit applies. */
export interface LaneRequest {
  readonly standing: Standing;
  readonly fingerprint: string;
}

/** The suspected requests at one endpoint. */
export class SuspectLane {
  /** Suspected requests that run or wait for a slot, by attempt id. */
  private readonly activeAttempts = new Map<string, LaneRequest>();

  /** Whether the request may run concurrently with the active ones. */
  admits({ standing, fingerprint }: LaneRequest, slots: number): boolean {
    if (standing === 'clear') {
      return true;
    }
    const others = [...this.activeAttempts.values()];
    if (standing === 'accused') {
      return others.length === 0;
    }
    const suspects = new Set(others.map((other) => other.fingerprint));
    const isActive = suspects.has(fingerprint);
    const isBelowLimit = suspects.size < Math.max(1, Math.floor(slots / SLOTS_PER_SUSPECT));
    return others.every((other) => other.standing !== 'accused') && (isActive || isBelowLimit);
  }

  /** Adds an attempt that runs or waits for a slot. */
  enter(attempt: string, request: LaneRequest): void {
    if (request.standing !== 'clear') {
      this.activeAttempts.set(attempt, request);
    }
  }

  /** Removes an attempt that has ended; true when it was active, so that another may be admitted. */
  leave(attempt: string): boolean {
    return this.activeAttempts.delete(attempt);
  }
}
