/** What versions nodes were seen to hold, and when: convergence, and whether one ever fell. */

/** A node that was seen with an older version than before. */
export interface VersionFall {
  readonly node: string;
  readonly from: number;
  readonly to: number;
}

/** Observations of the source version that each node holds. */
export class VersionLog {
  readonly falls: VersionFall[] = [];
  private readonly held = new Map<string, number>();
  private readonly reachedAtMs = new Map<string, number>();

  /** A node was seen to hold `version` at `nowMs`. */
  observe(node: string, version: number, nowMs: number): void {
    const before = this.held.get(node) ?? 0;
    if (version < before) {
      this.falls.push({ node, from: before, to: version });
    }
    for (let reached = before + 1; reached <= version; reached += 1) {
      this.reachedAtMs.set(`${node} ${reached}`, nowMs);
    }
    this.held.set(node, version);
  }

  /** When the last of `nodes` was first seen with `version` or newer; undefined until then. */
  allReachedAtMs(nodes: readonly string[], version: number): number | undefined {
    let latest = 0;
    for (const node of nodes) {
      const at = this.reachedAtMs.get(`${node} ${version}`);
      if (at === undefined) {
        return undefined;
      }
      latest = Math.max(latest, at);
    }
    return latest;
  }
}
