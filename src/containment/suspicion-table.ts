/**
 * The requests that a node suspects. Pure: time is passed in, and changed entries are returned, to be shared with
 * other nodes.
 */
import { hashFraction } from '../routing/hash-fraction.js';
import { withoutCaller, headDigestOf } from './request-fingerprint.js';
import {
  CRASHES_TO_ACCUSE,
  CRASHES_TO_CONTAIN,
  type Standing,
  type Suspicion,
} from './suspicion.js';
import { SuspicionEntry } from './suspicion-entry.js';
import { SuspicionGroup } from './suspicion-group.js';

/** Maximum number of entries, about 300 KB. Entries with the fewest crashes are evicted first, oldest first. */
export const MAX_SUSPICIONS = 1_024;
/** Maximum number of requests that become suspects because of one crash. */
export const MAX_SUSPECTS_PER_CRASH = 128;
const DIGEST_VALUES = 2 ** 32;

/** The suspicions of one node. */
export class SuspicionTable {
  private readonly entries = new Map<string, SuspicionEntry>();
  /** By the part of the fingerprint that does not depend on the caller. */
  private readonly groups = new Map<string, SuspicionGroup>();
  /** Number of groups by head digest; requests whose head is not listed need no body digest. */
  private readonly groupCountByHead = new Map<string, number>();
  private cachedDigest: number | undefined = 0;

  /** Number of entries, including cleared ones. */
  get size(): number {
    return this.entries.size;
  }

  /** Whether a request with this head digest may be suspected. */
  hasHeadDigest(head: string): boolean {
    return this.groupCountByHead.has(head);
  }

  /** Digest of all entries, equal at nodes with equal entries; 0 for an empty table. */
  get digest(): number {
    this.cachedDigest ??= digestOf(this.entries.values());
    return this.cachedDigest;
  }

  standingOf(fingerprint: string, nowMs: number): Standing {
    return this.groupOf(fingerprint)?.standingOf(fingerprint, nowMs) ?? 'clear';
  }

  /** Time for which the request remains contained, in milliseconds; 0 when it is not contained. */
  containedForMs(fingerprint: string, nowMs: number): number {
    return this.groupOf(fingerprint)?.containedForMs(fingerprint, nowMs) ?? 0;
  }

  /**
   * Records the crash of an endpoint that was processing these requests, latest first. If some of them are already
   * accused, the crash is attributed to those, and the others do not become suspects.
   */
  recordCrash(fingerprints: readonly string[], crash: string, nowMs: number): Suspicion[] {
    const accused = fingerprints.filter((one) => this.isAccused(one));
    const suspects = accused.length > 0 ? accused : fingerprints;
    return [...new Set(suspects.slice(0, MAX_SUSPECTS_PER_CRASH))].flatMap((fingerprint) =>
      this.update(fingerprint, nowMs, (entry) => entry.addCrash(crash, nowMs)),
    );
  }

  /** Clears a request that was answered completely. */
  clear(fingerprint: string, nowMs: number): Suspicion[] {
    const entry = this.groupOf(fingerprint)?.clear(fingerprint);
    return entry === undefined ? [] : this.storeChanged(entry, nowMs);
  }

  /** Clears a request for all callers on behalf of an operator. */
  release(fingerprint: string, nowMs: number): Suspicion[] {
    const requestDigest = withoutCaller(fingerprint);
    return [...this.entries.keys()]
      .filter((known) => withoutCaller(known) === requestDigest)
      .flatMap((known) => this.clear(known, nowMs));
  }

  /** Merges suspicions of another node; returns those that changed an entry. */
  merge(suspicions: readonly Suspicion[], nowMs: number): Suspicion[] {
    return suspicions.flatMap((received) =>
      this.update(received.fingerprint, nowMs, (entry) => entry.merge(received, nowMs)),
    );
  }

  /** All suspicions, those with the most counted crashes first. */
  list(nowMs: number): Suspicion[] {
    return [...this.entries.values()]
      .sort((left, right) => right.activeCrashCount - left.activeCrashCount)
      .map((entry) => entry.toSuspicion(nowMs));
  }

  /** Number of contained requests. */
  containedCount(nowMs: number): number {
    return [...this.entries.keys()].filter((one) => this.standingOf(one, nowMs) === 'contained')
      .length;
  }

  /** Removes expired entries; to be called regularly. */
  expire(nowMs: number): void {
    for (const entry of this.entries.values()) {
      if (entry.expiresAtMs <= nowMs) {
        this.remove(entry);
      }
    }
  }

  private groupOf(fingerprint: string): SuspicionGroup | undefined {
    return this.groups.get(withoutCaller(fingerprint));
  }

  private isAccused(fingerprint: string): boolean {
    return (this.groupOf(fingerprint)?.activeCrashCountOf(fingerprint) ?? 0) >= CRASHES_TO_ACCUSE;
  }

  private update(
    fingerprint: string,
    nowMs: number,
    apply: (entry: SuspicionEntry) => boolean,
  ): Suspicion[] {
    const entry = this.entries.get(fingerprint) ?? new SuspicionEntry(fingerprint);
    return apply(entry) ? this.storeChanged(entry, nowMs) : [];
  }

  /** Stores a changed entry; returns the suspicion to share with other nodes, if any. */
  private storeChanged(entry: SuspicionEntry, nowMs: number): Suspicion[] {
    if (entry.expiresAtMs <= nowMs || !this.insert(entry)) {
      return [];
    }
    this.cachedDigest = undefined;
    return [entry.toSuspicion(nowMs)];
  }

  /** Adds the entry if it is new; false when the table is full and no entry can be evicted for it. */
  private insert(entry: SuspicionEntry): boolean {
    const { fingerprint } = entry;
    if (this.entries.has(fingerprint)) {
      return true;
    }
    if (this.entries.size >= MAX_SUSPICIONS && !this.evictFor(entry)) {
      return false;
    }
    this.entries.set(fingerprint, entry);
    const group = this.groupOf(fingerprint) ?? this.createGroup(fingerprint);
    group.add(entry);
    return true;
  }

  private createGroup(fingerprint: string): SuspicionGroup {
    const group = new SuspicionGroup();
    this.groups.set(withoutCaller(fingerprint), group);
    const head = headDigestOf(fingerprint);
    this.groupCountByHead.set(head, (this.groupCountByHead.get(head) ?? 0) + 1);
    return group;
  }

  /**
   * Evicts the least suspected entry. An entry with enough crashes to be contained is evicted only for another such
   * entry, so that a caller that keeps sending new requests cannot displace contained ones.
   */
  private evictFor(added: SuspicionEntry): boolean {
    let leastSuspected: SuspicionEntry | undefined;
    for (const entry of this.entries.values()) {
      if (leastSuspected === undefined || isLessSuspected(entry, leastSuspected)) {
        leastSuspected = entry;
      }
    }
    const isEvictable =
      leastSuspected !== undefined && leastSuspected.activeCrashCount < CRASHES_TO_CONTAIN;
    if (
      leastSuspected === undefined ||
      (!isEvictable && added.activeCrashCount < CRASHES_TO_CONTAIN)
    ) {
      return false;
    }
    this.remove(leastSuspected);
    return true;
  }

  private remove(entry: SuspicionEntry): void {
    const { fingerprint } = entry;
    const group = this.groupOf(fingerprint);
    this.entries.delete(fingerprint);
    this.cachedDigest = undefined;
    group?.remove(entry);
    if (group?.size === 0) {
      this.removeGroup(fingerprint);
    }
  }

  private removeGroup(fingerprint: string): void {
    this.groups.delete(withoutCaller(fingerprint));
    const head = headDigestOf(fingerprint);
    const remaining = (this.groupCountByHead.get(head) ?? 0) - 1;
    if (remaining > 0) {
      this.groupCountByHead.set(head, remaining);
    } else {
      this.groupCountByHead.delete(head);
    }
  }
}

function isLessSuspected(left: SuspicionEntry, right: SuspicionEntry): boolean {
  return left.activeCrashCount !== right.activeCrashCount
    ? left.activeCrashCount < right.activeCrashCount
    : left.expiresAtMs < right.expiresAtMs;
}

/** Sums the hashes of the entries, so that their order does not matter. */
function digestOf(entries: Iterable<SuspicionEntry>): number {
  let sum = 0;
  for (const entry of entries) {
    const { fingerprint, crashes, cleared } = entry.toSuspicion(0);
    const text = [fingerprint, ...crashes, '', ...cleared].join(' ');
    sum = (sum + Math.floor(hashFraction(text) * DIGEST_VALUES)) % DIGEST_VALUES;
  }
  return sum;
}
