/** Attempts whose answers a node awaits from its peers, by the peer's machine. */

/** One such attempt. */
export interface AwaitedAttempt {
  /** Nothing is heard of the peer: the attempt may be given up. */
  peerIsSilent(): void;
}

/** A peer that owes answers. */
export interface AwaitedMachine {
  readonly machineId: string;
  /** When the oldest attempt began, on the node's clock. */
  readonly sinceMs: number;
}

/** The attempts of one node. */
export class AwaitedAttempts {
  private readonly attemptsOf = new Map<string, Map<AwaitedAttempt, number>>();

  began(machineId: string, attempt: AwaitedAttempt, nowMs: number): void {
    const attempts = this.attemptsOf.get(machineId) ?? new Map<AwaitedAttempt, number>();
    attempts.set(attempt, nowMs);
    this.attemptsOf.set(machineId, attempts);
  }

  ended(machineId: string, attempt: AwaitedAttempt): void {
    const attempts = this.attemptsOf.get(machineId);
    attempts?.delete(attempt);
    if (attempts?.size === 0) {
      this.attemptsOf.delete(machineId);
    }
  }

  /** The machines that owe answers. */
  *machines(): IterableIterator<AwaitedMachine> {
    for (const [machineId, attempts] of this.attemptsOf) {
      const [sinceMs = Infinity] = attempts.values();
      yield { machineId, sinceMs };
    }
  }

  /** Nothing is heard of the machine. */
  machineIsSilent(machineId: string): void {
    for (const attempt of [...(this.attemptsOf.get(machineId)?.keys() ?? [])]) {
      attempt.peerIsSilent();
    }
  }
}
