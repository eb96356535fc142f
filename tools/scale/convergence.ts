/** How long each node took to have a published version in force. */
import type { Adoption } from './hollow-sample.js';

/** A version and when it was published, in milliseconds since 1970. */
export interface Publication {
  readonly version: number;
  readonly at: number;
  /** Nodes that should get it at once. */
  readonly expected: ReadonlySet<number>;
}

/** Times in milliseconds over all nodes and publications. */
export interface ConvergenceSummary {
  readonly samples: number;
  /** Nodes that should have had a version and did not, summed over versions. */
  readonly missing: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Adoptions of all nodes, over a whole run. */
export class ConvergenceLog {
  private readonly byNode = new Map<number, Adoption[]>();

  add(adoptions: readonly Adoption[]): void {
    for (const adoption of adoptions) {
      const known = this.byNode.get(adoption.index);
      if (known === undefined) {
        this.byNode.set(adoption.index, [adoption]);
      } else {
        known.push(adoption);
      }
    }
  }

  /** When the node first had the version, or a newer one, in force at or after a time. */
  reachedAt(index: number, version: number, notBefore: number): number | undefined {
    const reached = this.byNode
      .get(index)
      ?.filter((adoption) => adoption.version >= version && adoption.at >= notBefore)
      .map((adoption) => adoption.at);
    return reached === undefined || reached.length === 0 ? undefined : Math.min(...reached);
  }

  /** Times from each publication to each of the nodes that should get it. */
  summarize(publications: readonly Publication[]): ConvergenceSummary {
    const times: number[] = [];
    let missing = 0;
    for (const { version, at, expected } of publications) {
      for (const index of expected) {
        const reached = this.reachedAt(index, version, at);
        if (reached === undefined) {
          missing += 1;
        } else {
          times.push(reached - at);
        }
      }
    }
    return { missing, ...summarizeTimes(times) };
  }
}

/** Quantiles of times in milliseconds; zeros of none. */
export function summarizeTimes(times: readonly number[]): Omit<ConvergenceSummary, 'missing'> {
  const sorted = [...times].sort((left, right) => left - right);
  const quantile = (part: number): number =>
    sorted[Math.min(sorted.length - 1, Math.ceil(part * sorted.length) - 1)] ?? 0;
  return {
    samples: sorted.length,
    p50Ms: Math.max(0, quantile(0.5)),
    p99Ms: Math.max(0, quantile(0.99)),
    maxMs: sorted.at(-1) ?? 0,
  };
}
