/**
 * Which requests under suspicion may be at work at one endpoint together. Few stand beside each other, so
 * that its end tells which of them was the cause; an accused one stands alone among them, so that its end
 * names it. Pure.
 */
import type { Standing } from './suspicion.js';

/** Slots of an endpoint for each suspect that it may be at work on. */
const SLOTS_PER_SUSPECT = 4;

/** A request that may want to be at work. */
export interface LaneRequest {
  readonly standing: Standing;
  readonly fingerprint: string;
}

/** The requests under suspicion at one endpoint. */
export class SuspectLane {
  /** By the names of attempts. */
  private readonly present = new Map<string, LaneRequest>();

  /** Whether the request may be at work beside those that are. */
  admits({ standing, fingerprint }: LaneRequest, slots: number): boolean {
    if (standing === 'clear') {
      return true;
    }
    const others = [...this.present.values()];
    if (standing === 'accused') {
      return others.length === 0;
    }
    const suspects = new Set(others.map((other) => other.fingerprint));
    const isOne = suspects.has(fingerprint);
    const hasRoom = suspects.size < Math.max(1, Math.floor(slots / SLOTS_PER_SUSPECT));
    return others.every((other) => other.standing !== 'accused') && (isOne || hasRoom);
  }

  /** The attempt is at work from now on, or waits for a slot. */
  enter(attempt: string, request: LaneRequest): void {
    if (request.standing !== 'clear') {
      this.present.set(attempt, request);
    }
  }

  /** The attempt is over; true when another one may have become possible. */
  leave(attempt: string): boolean {
    return this.present.delete(attempt);
  }
}
