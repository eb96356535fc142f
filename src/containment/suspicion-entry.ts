/**
 * What one node knows of one suspected request of one caller. Entries of several nodes are merged by set union, so
 * that neither the order nor repetition of messages matters.
 */
import { MAX_CRASHES, retentionMs, type Suspicion } from './suspicion.js';

/** Crashes of one request of one caller. Times are on the node's clock, in milliseconds. */
export class SuspicionEntry {
  private crashes = new Set<string>();
  private cleared = new Set<string>();
  private newestAtMs = -Infinity;

  constructor(readonly fingerprint: string) {}

  /** Ids of the crashes that count against the request. */
  get activeCrashes(): readonly string[] {
    return [...this.crashes].filter((crash) => !this.cleared.has(crash));
  }

  get activeCrashCount(): number {
    return this.crashes.size - this.cleared.size;
  }

  /** Whether any crash has been cleared. */
  get isCleared(): boolean {
    return this.cleared.size > 0;
  }

  /** Time of the newest crash. */
  get newestCrashAtMs(): number {
    return this.newestAtMs;
  }

  /** Time at which the entry expires. */
  get expiresAtMs(): number {
    return this.newestAtMs + retentionMs(this.activeCrashCount);
  }

  /** Adds a crash; false when it is already known. */
  addCrash(crash: string, nowMs: number): boolean {
    return this.mergeCrashes([crash], [], nowMs);
  }

  /** Clears the given crashes, the newest of which was at `newestAtMs`; false when all are already cleared. */
  clear(crashes: readonly string[], newestAtMs: number): boolean {
    return this.mergeCrashes(crashes, crashes, newestAtMs);
  }

  /** Merges an entry of another node; false when nothing changes. */
  merge({ crashes, cleared, ageMs }: Suspicion, nowMs: number): boolean {
    return this.mergeCrashes(crashes, cleared, nowMs - ageMs);
  }

  toSuspicion(nowMs: number): Suspicion {
    return {
      fingerprint: this.fingerprint,
      ageMs: Math.max(0, Math.round(nowMs - this.newestAtMs)),
      crashes: [...this.crashes].sort(),
      cleared: [...this.cleared].sort(),
    };
  }

  /** Changes with the sets of crashes and cleared crashes. */
  private get key(): string {
    return [...[...this.crashes].sort(), '', ...[...this.cleared].sort()].join(' ');
  }

  private mergeCrashes(
    crashes: readonly string[],
    cleared: readonly string[],
    newestAtMs: number,
  ): boolean {
    const before = this.key;
    const hasNewCrashes = crashes.some((crash) => !this.crashes.has(crash));
    const hasOtherCrashes = [...this.crashes].some((crash) => !crashes.includes(crash));
    this.newestAtMs = mergedNewestAtMs(this.newestAtMs, newestAtMs, hasOtherCrashes, hasNewCrashes);
    this.crashes = new Set([...this.crashes, ...crashes]);
    this.cleared = new Set([...this.cleared, ...cleared.filter((one) => this.crashes.has(one))]);
    this.truncate();
    return this.key !== before;
  }

  /** Reduces the crashes to {@link MAX_CRASHES}, dropping cleared ones first. */
  private truncate(): void {
    if (this.crashes.size > MAX_CRASHES) {
      const inOrder = [...this.crashes].sort();
      const active = inOrder.filter((crash) => !this.cleared.has(crash));
      const clearedCrashes = inOrder.filter((crash) => this.cleared.has(crash));
      this.crashes = new Set([...active, ...clearedCrashes].slice(0, MAX_CRASHES));
      this.cleared = new Set(clearedCrashes.filter((crash) => this.crashes.has(crash)));
    }
  }
}

/**
 * Time of the newest crash of a merged entry. If both nodes know the same crashes, the greater age is used: ages do
 * not include the time that messages spend in transit, so that an entry that circulates among nodes would never
 * expire.
 */
function mergedNewestAtMs(
  ownAtMs: number,
  receivedAtMs: number,
  hasOtherCrashes: boolean,
  hasNewCrashes: boolean,
): number {
  if (hasOtherCrashes && hasNewCrashes) {
    return Math.max(ownAtMs, receivedAtMs);
  }
  if (hasNewCrashes) {
    return receivedAtMs;
  }
  return hasOtherCrashes ? ownAtMs : Math.min(ownAtMs, receivedAtMs);
}
