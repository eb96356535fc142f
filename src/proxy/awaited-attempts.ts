/** Attempts for which a node awaits answers from its peers, grouped by the peer's machine. */

/** An attempt that awaits an answer from a peer. */
export interface AwaitedAttempt {
  /** The peer is unresponsive: the attempt may be abandoned. */
  peerUnresponsive(): void;
}

/** A peer from which answers are awaited. */
export interface AwaitedMachine {
  readonly machineId: string;
  /** When the oldest attempt started, on the node's clock. */
  readonly sinceMs: number;
}

/** The awaited attempts of one node. */
export class AwaitedAttempts {
  private readonly attemptsOf = new Map<string, Map<AwaitedAttempt, number>>();

  add(machineId: string, attempt: AwaitedAttempt, nowMs: number): void {
    const attempts = this.attemptsOf.get(machineId) ?? new Map<AwaitedAttempt, number>();
    attempts.set(attempt, nowMs);
    this.attemptsOf.set(machineId, attempts);
  }

  remove(machineId: string, attempt: AwaitedAttempt): void {
    const attempts = this.attemptsOf.get(machineId);
    attempts?.delete(attempt);
    if (attempts?.size === 0) {
      this.attemptsOf.delete(machineId);
    }
  }

  /** The machines from which answers are awaited. */
  *machines(): IterableIterator<AwaitedMachine> {
    for (const [machineId, attempts] of this.attemptsOf) {
      const [sinceMs = Infinity] = attempts.values();
      yield { machineId, sinceMs };
    }
  }

  /** Reports to all attempts that await the machine that it is unresponsive. */
  machineUnresponsive(machineId: string): void {
    for (const attempt of [...(this.attemptsOf.get(machineId)?.keys() ?? [])]) {
      attempt.peerUnresponsive();
    }
  }
}
