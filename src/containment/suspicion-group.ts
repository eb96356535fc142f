/**
 * Requests that differ in nothing but their callers. Until one of the callers is served they are taken for
 * one request; from then on the caller matters, and each is judged by its own crashes.
 */
import { containedMs, standingAfter, type Standing } from './suspicion.js';
import { SuspicionEntry } from './suspicion-entry.js';

/** Crashes that count against a request, and when the newest was, in milliseconds on the node's clock. */
interface Record {
  readonly crashes: number;
  readonly newestAtMs: number;
}

/** The entries of one request, by callers. */
export class SuspicionGroup {
  private readonly entries = new Map<string, SuspicionEntry>();

  get size(): number {
    return this.entries.size;
  }

  /** The entry of the fingerprint; a new one that is not kept yet where there is none. */
  entryOf(fingerprint: string): SuspicionEntry {
    return this.entries.get(fingerprint) ?? new SuspicionEntry(fingerprint);
  }

  keep(entry: SuspicionEntry): void {
    this.entries.set(entry.fingerprint, entry);
  }

  remove({ fingerprint }: SuspicionEntry): void {
    this.entries.delete(fingerprint);
  }

  /** Crashes that count against the request of this fingerprint. */
  crashCountOf(fingerprint: string): number {
    return this.recordOf(fingerprint).crashes;
  }

  standingOf(fingerprint: string, nowMs: number): Standing {
    const { crashes, newestAtMs } = this.recordOf(fingerprint);
    return standingAfter(crashes, nowMs - newestAtMs);
  }

  /** How much longer the request is contained, in milliseconds. */
  containedForMs(fingerprint: string, nowMs: number): number {
    const { crashes, newestAtMs } = this.recordOf(fingerprint);
    return Math.max(0, newestAtMs + containedMs(crashes) - nowMs);
  }

  /** The request was answered: the entry, changed, where that clears something. */
  clear(fingerprint: string): SuspicionEntry | undefined {
    const entry = this.entryOf(fingerprint);
    const all = [...this.entries.values()];
    const crashes = [...new Set(all.flatMap(({ counting }) => counting))];
    const newestAtMs = Math.max(...all.map(({ newestCrashAtMs }) => newestCrashAtMs));
    const hasChanged = crashes.length > 0 && entry.clear(crashes, newestAtMs);
    return hasChanged ? entry : undefined;
  }

  private recordOf(fingerprint: string): Record {
    const all = [...this.entries.values()];
    const isByCaller = all.some(({ isCleared }) => isCleared);
    const counted = isByCaller ? all.filter((one) => one.fingerprint === fingerprint) : all;
    return {
      crashes: new Set(counted.flatMap(({ counting }) => counting)).size,
      newestAtMs: Math.max(-Infinity, ...counted.map(({ newestCrashAtMs }) => newestCrashAtMs)),
    };
  }
}
