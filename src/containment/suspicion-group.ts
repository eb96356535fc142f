/**
 * Requests that differ only in their callers. Until one of the callers is served, they are treated as one request;
 * from then on, each caller's request is judged by its own crashes.
 */
import { containedMs, standingAfter, type Standing } from './suspicion.js';
import { SuspicionEntry } from './suspicion-entry.js';

/** Crashes that count against a request, and the time of the newest, in milliseconds on the node's clock. */
interface CrashRecord {
  readonly crashes: number;
  readonly newestAtMs: number;
}

/** The entries of one request, by fingerprint; one for each caller. */
export class SuspicionGroup {
  private readonly entries = new Map<string, SuspicionEntry>();

  get size(): number {
    return this.entries.size;
  }

  /** The entry of the fingerprint; when there is none, a new entry that is not yet part of the group. */
  entryOf(fingerprint: string): SuspicionEntry {
    return this.entries.get(fingerprint) ?? new SuspicionEntry(fingerprint);
  }

  add(entry: SuspicionEntry): void {
    this.entries.set(entry.fingerprint, entry);
  }

  remove({ fingerprint }: SuspicionEntry): void {
    this.entries.delete(fingerprint);
  }

  /** Number of crashes that count against the request with this fingerprint. */
  activeCrashCountOf(fingerprint: string): number {
    return this.crashRecordOf(fingerprint).crashes;
  }

  standingOf(fingerprint: string, nowMs: number): Standing {
    const { crashes, newestAtMs } = this.crashRecordOf(fingerprint);
    return standingAfter(crashes, nowMs - newestAtMs);
  }

  /** Time for which the request remains contained, in milliseconds. */
  containedForMs(fingerprint: string, nowMs: number): number {
    const { crashes, newestAtMs } = this.crashRecordOf(fingerprint);
    return Math.max(0, newestAtMs + containedMs(crashes) - nowMs);
  }

  /** Clears all crashes of the group for a request that was answered; returns its entry if it changed. */
  clear(fingerprint: string): SuspicionEntry | undefined {
    const entry = this.entryOf(fingerprint);
    const all = [...this.entries.values()];
    const crashes = [...new Set(all.flatMap(({ activeCrashes }) => activeCrashes))];
    const newestAtMs = Math.max(...all.map(({ newestCrashAtMs }) => newestCrashAtMs));
    const hasChanged = crashes.length > 0 && entry.clear(crashes, newestAtMs);
    return hasChanged ? entry : undefined;
  }

  private crashRecordOf(fingerprint: string): CrashRecord {
    const all = [...this.entries.values()];
    const isCallerSpecific = all.some(({ isCleared }) => isCleared);
    const counted = isCallerSpecific ? all.filter((one) => one.fingerprint === fingerprint) : all;
    return {
      crashes: new Set(counted.flatMap(({ activeCrashes }) => activeCrashes)).size,
      newestAtMs: Math.max(-Infinity, ...counted.map(({ newestCrashAtMs }) => newestCrashAtMs)),
    };
  }
}
