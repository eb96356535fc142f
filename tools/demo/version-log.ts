/** What versions nodes were seen to hold, and when: convergence, and whether one ever fell. */

/** A node that was seen with an older version than before. */
export interface VersionFall {
  readonly node: string;
  readonly from: number;
  readonly to: number;
}

/** What one incarnation of a node was last seen with. */
interface HeldVersion {
  readonly version: number;
  readonly incarnation: number;
}

/** Observations of the source version that each node holds. */
export class VersionLog {
  readonly falls: VersionFall[] = [];
  /** Every version that some node was seen to hold. */
  readonly versionsSeen = new Set<number>();
  private readonly held = new Map<string, HeldVersion>();
  private readonly reachedAtMs = new Map<string, number>();

  /**
   * A node was seen to hold `version` at `nowMs`. A new incarnation of it begins with nothing; what
   * an older one than the last seen held comes too late to count.
   */
  observe(node: string, version: number, nowMs: number, incarnation = 0): void {
    const last = this.held.get(node) ?? { version: 0, incarnation };
    if (incarnation < last.incarnation) {
      return;
    }
    const before = incarnation > last.incarnation ? this.forget(node, last.version) : last.version;
    if (version < before) {
      this.falls.push({ node, from: before, to: version });
    }
    for (let reached = before + 1; reached <= version; reached += 1) {
      this.reachedAtMs.set(`${node} ${reached}`, nowMs);
    }
    this.held.set(node, { version, incarnation });
    this.versionsSeen.add(version);
  }

  /** The version that the node was last seen to hold; 0 for none. */
  heldBy(node: string): number {
    return this.held.get(node)?.version ?? 0;
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

  private forget(node: string, version: number): number {
    for (let reached = 1; reached <= version; reached += 1) {
      this.reachedAtMs.delete(`${node} ${reached}`);
    }
    return 0;
  }
}
