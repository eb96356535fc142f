/**
 * One request of one caller under suspicion at one node. Entries of several nodes are joined by union, so
 * that the order in which news arrives, and how often, makes no difference.
 */
import { MAX_CRASHES, rememberedMs, type Suspicion } from './suspicion.js';

/** The entry. Moments are on the node's clock, in milliseconds. */
export class SuspicionEntry {
  private crashes = new Set<string>();
  private cleared = new Set<string>();
  private newestAtMs = -Infinity;

  constructor(readonly fingerprint: string) {}

  /** Crashes that count against the request, by their names. */
  get counting(): readonly string[] {
    return [...this.crashes].filter((crash) => !this.cleared.has(crash));
  }

  /** How many crashes count against the request. */
  get crashCount(): number {
    return this.crashes.size - this.cleared.size;
  }

  /** Whether some crash counts no more. */
  get isCleared(): boolean {
    return this.cleared.size > 0;
  }

  /** When the newest crash was. */
  get newestCrashAtMs(): number {
    return this.newestAtMs;
  }

  /** Until when the entry is kept. */
  get expiresAtMs(): number {
    return this.newestAtMs + rememberedMs(this.crashCount);
  }

  /** Takes a crash; false when it is known. */
  blame(crash: string, nowMs: number): boolean {
    return this.join([crash], [], nowMs);
  }

  /** Clears these crashes, the newest of which was at `newestAtMs`; false when all are cleared already. */
  clear(crashes: readonly string[], newestAtMs: number): boolean {
    return this.join(crashes, crashes, newestAtMs);
  }

  /** Takes what another node knows; false when nothing of it is new. */
  merge({ crashes, cleared, ageMs }: Suspicion, nowMs: number): boolean {
    return this.join(crashes, cleared, nowMs - ageMs);
  }

  toSuspicion(nowMs: number): Suspicion {
    return {
      fingerprint: this.fingerprint,
      ageMs: Math.max(0, Math.round(nowMs - this.newestAtMs)),
      crashes: [...this.crashes].sort(),
      cleared: [...this.cleared].sort(),
    };
  }

  /** Differs where something else is known. */
  private get key(): string {
    return [...[...this.crashes].sort(), '', ...[...this.cleared].sort()].join(' ');
  }

  private join(
    crashes: readonly string[],
    cleared: readonly string[],
    newestAtMs: number,
  ): boolean {
    const before = this.key;
    const hasNew = crashes.some((crash) => !this.crashes.has(crash));
    const hasOwn = [...this.crashes].some((crash) => !crashes.includes(crash));
    this.newestAtMs = newestOf(this.newestAtMs, newestAtMs, hasOwn, hasNew);
    this.crashes = new Set([...this.crashes, ...crashes]);
    this.cleared = new Set([...this.cleared, ...cleared.filter((one) => this.crashes.has(one))]);
    this.bound();
    return this.key !== before;
  }

  /** Of too many crashes those go first that count no more. */
  private bound(): void {
    if (this.crashes.size > MAX_CRASHES) {
      const inOrder = [...this.crashes].sort();
      const counting = inOrder.filter((crash) => !this.cleared.has(crash));
      const others = inOrder.filter((crash) => this.cleared.has(crash));
      this.crashes = new Set([...counting, ...others].slice(0, MAX_CRASHES));
      this.cleared = new Set(others.filter((crash) => this.crashes.has(crash)));
    }
  }
}

/**
 * When the newest crash of a joined entry was. Of two nodes that know of the same crashes the older age
 * holds: news spends time on its way that no age counts, and would never grow old in a circle.
 */
function newestOf(ownAtMs: number, toldAtMs: number, hasOwn: boolean, hasNew: boolean): number {
  if (hasOwn && hasNew) {
    return Math.max(ownAtMs, toldAtMs);
  }
  if (hasNew) {
    return toldAtMs;
  }
  return hasOwn ? ownAtMs : Math.min(ownAtMs, toldAtMs);
}
