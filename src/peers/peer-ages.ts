/** How up to date the peers of a node are, according to the ages that they report. Pure. */

/** The peers whose state was confirmed lately. */
export class PeerAges {
  private readonly confirmedAtMs = new Map<string, number>();

  /** State that is older than `maxAgeMs` is of no use. */
  constructor(private readonly maxAgeMs: number) {}

  record(peer: string, ageMs: number, nowMs: number): void {
    if (ageMs < this.maxAgeMs) {
      this.confirmedAtMs.set(peer, nowMs - ageMs);
    }
  }

  forget(peer: string): void {
    this.confirmedAtMs.delete(peer);
  }

  isConfirmedAfter(peer: string, timeMs: number): boolean {
    return (this.confirmedAtMs.get(peer) ?? -Infinity) > timeMs;
  }

  prune(nowMs: number): void {
    for (const [peer, confirmedAtMs] of this.confirmedAtMs) {
      if (nowMs - confirmedAtMs >= this.maxAgeMs) {
        this.confirmedAtMs.delete(peer);
      }
    }
  }

  /**
   * The usable peer that was confirmed last, after `sinceMs`. Prefers those in `neighbours`, since traffic between zones
   * costs more.
   */
  freshest(
    sinceMs: number,
    neighbours: ReadonlySet<string>,
    isUsable: (peer: string) => boolean,
  ): string | undefined {
    let freshest: string | undefined;
    let freshestRank = -Infinity;
    for (const [peer, confirmedAtMs] of this.confirmedAtMs) {
      const rank = confirmedAtMs + (neighbours.has(peer) ? this.maxAgeMs : 0);
      if (confirmedAtMs > sinceMs && rank > freshestRank && isUsable(peer)) {
        freshest = peer;
        freshestRank = rank;
      }
    }
    return freshest;
  }
}
