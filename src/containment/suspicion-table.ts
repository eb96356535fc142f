/**
 * The requests that a node holds under suspicion. Pure: time is passed in, and what has changed is given
 * back to be told to others.
 */
import { hashFraction } from '../routing/hash-fraction.js';
import { callerlessOf, headOf } from './request-fingerprint.js';
import {
  CRASHES_TO_ACCUSE,
  CRASHES_TO_CONTAIN,
  type Standing,
  type Suspicion,
} from './suspicion.js';
import { SuspicionEntry } from './suspicion-entry.js';
import { SuspicionGroup } from './suspicion-group.js';

/** Requests under suspicion at most: some 300 KB. The least suspected and oldest make room. */
export const MAX_SUSPICIONS = 1_024;
/** Requests that one crash may bring under suspicion at most. */
export const MAX_BLAMED = 128;
const DIGEST_VALUES = 2 ** 32;

/** The table of one node. */
export class SuspicionTable {
  private readonly entries = new Map<string, SuspicionEntry>();
  /** By what the fingerprints of all callers have in common. */
  private readonly groups = new Map<string, SuspicionGroup>();
  /** How many groups have each head, so that bodies are digested for few requests. */
  private readonly heads = new Map<string, number>();
  private knownDigest: number | undefined = 0;

  /** Requests in the table, those among them that are cleared. */
  get size(): number {
    return this.entries.size;
  }

  /** Whether some request with this head may be under suspicion. */
  hasHead(head: string): boolean {
    return this.heads.has(head);
  }

  /** The same for two nodes that hold the same; 0 for an empty table. */
  get digest(): number {
    this.knownDigest ??= digestOf(this.entries.values());
    return this.knownDigest;
  }

  standingOf(fingerprint: string, nowMs: number): Standing {
    return this.groupOf(fingerprint)?.standingOf(fingerprint, nowMs) ?? 'clear';
  }

  /** How much longer the request is contained, in milliseconds; 0 when it is not. */
  containedForMs(fingerprint: string, nowMs: number): number {
    return this.groupOf(fingerprint)?.containedForMs(fingerprint, nowMs) ?? 0;
  }

  /**
   * An endpoint ended while these requests were at work, the latest first. Where one is accused already it
   * is held to be the cause, and those that stood beside it are not suspected.
   */
  blame(fingerprints: readonly string[], crash: string, nowMs: number): Suspicion[] {
    const accused = fingerprints.filter((one) => this.isAccused(one));
    const blamed = accused.length > 0 ? accused : fingerprints;
    return [...new Set(blamed.slice(0, MAX_BLAMED))].flatMap((fingerprint) =>
      this.change(fingerprint, nowMs, (entry) => entry.blame(crash, nowMs)),
    );
  }

  /** The request was answered in whole. */
  clear(fingerprint: string, nowMs: number): Suspicion[] {
    const entry = this.groupOf(fingerprint)?.clear(fingerprint);
    return entry === undefined ? [] : this.changed(entry, nowMs);
  }

  /** An operator lets the request go, whoever calls. */
  release(fingerprint: string, nowMs: number): Suspicion[] {
    const common = callerlessOf(fingerprint);
    return [...this.entries.keys()]
      .filter((known) => callerlessOf(known) === common)
      .flatMap((known) => this.clear(known, nowMs));
  }

  /** Takes what another node knows; gives back what of it is new here. */
  merge(suspicions: readonly Suspicion[], nowMs: number): Suspicion[] {
    return suspicions.flatMap((told) =>
      this.change(told.fingerprint, nowMs, (entry) => entry.merge(told, nowMs)),
    );
  }

  /** All that is known, what is most suspected first. */
  list(nowMs: number): Suspicion[] {
    return [...this.entries.values()]
      .sort((left, right) => right.crashCount - left.crashCount)
      .map((entry) => entry.toSuspicion(nowMs));
  }

  /** How many requests are contained. */
  containedCount(nowMs: number): number {
    return [...this.entries.keys()].filter((one) => this.standingOf(one, nowMs) === 'contained')
      .length;
  }

  /** Forgets what has expired; to be called now and then. */
  expire(nowMs: number): void {
    for (const entry of this.entries.values()) {
      if (entry.expiresAtMs <= nowMs) {
        this.remove(entry);
      }
    }
  }

  private groupOf(fingerprint: string): SuspicionGroup | undefined {
    return this.groups.get(callerlessOf(fingerprint));
  }

  private isAccused(fingerprint: string): boolean {
    return (this.groupOf(fingerprint)?.crashCountOf(fingerprint) ?? 0) >= CRASHES_TO_ACCUSE;
  }

  private change(
    fingerprint: string,
    nowMs: number,
    apply: (entry: SuspicionEntry) => boolean,
  ): Suspicion[] {
    const entry = this.entries.get(fingerprint) ?? new SuspicionEntry(fingerprint);
    return apply(entry) ? this.changed(entry, nowMs) : [];
  }

  /** Keeps a changed entry, and gives what is to be told of it. */
  private changed(entry: SuspicionEntry, nowMs: number): Suspicion[] {
    if (entry.expiresAtMs <= nowMs || !this.keep(entry)) {
      return [];
    }
    this.knownDigest = undefined;
    return [entry.toSuspicion(nowMs)];
  }

  /** False when the table is full of requests that are more suspected. */
  private keep(entry: SuspicionEntry): boolean {
    const { fingerprint } = entry;
    if (this.entries.has(fingerprint)) {
      return true;
    }
    if (this.entries.size >= MAX_SUSPICIONS && !this.makeRoomFor(entry)) {
      return false;
    }
    this.entries.set(fingerprint, entry);
    const group = this.groupOf(fingerprint) ?? this.openGroup(fingerprint);
    group.keep(entry);
    return true;
  }

  private openGroup(fingerprint: string): SuspicionGroup {
    const group = new SuspicionGroup();
    this.groups.set(callerlessOf(fingerprint), group);
    const head = headOf(fingerprint);
    this.heads.set(head, (this.heads.get(head) ?? 0) + 1);
    return group;
  }

  /** What is contained stays: a caller that sends ever new requests must not set the others free. */
  private makeRoomFor(newcomer: SuspicionEntry): boolean {
    let least: SuspicionEntry | undefined;
    for (const entry of this.entries.values()) {
      if (least === undefined || isLess(entry, least)) {
        least = entry;
      }
    }
    const mayGo = least !== undefined && least.crashCount < CRASHES_TO_CONTAIN;
    if (least === undefined || (!mayGo && newcomer.crashCount < CRASHES_TO_CONTAIN)) {
      return false;
    }
    this.remove(least);
    return true;
  }

  private remove(entry: SuspicionEntry): void {
    const { fingerprint } = entry;
    const group = this.groupOf(fingerprint);
    this.entries.delete(fingerprint);
    this.knownDigest = undefined;
    group?.remove(entry);
    if (group?.size === 0) {
      this.closeGroup(fingerprint);
    }
  }

  private closeGroup(fingerprint: string): void {
    this.groups.delete(callerlessOf(fingerprint));
    const head = headOf(fingerprint);
    const others = (this.heads.get(head) ?? 0) - 1;
    if (others > 0) {
      this.heads.set(head, others);
    } else {
      this.heads.delete(head);
    }
  }
}

function isLess(left: SuspicionEntry, right: SuspicionEntry): boolean {
  return left.crashCount !== right.crashCount
    ? left.crashCount < right.crashCount
    : left.expiresAtMs < right.expiresAtMs;
}

/** A sum, so that the order of the entries makes no difference. */
function digestOf(entries: Iterable<SuspicionEntry>): number {
  let sum = 0;
  for (const entry of entries) {
    const { fingerprint, crashes, cleared } = entry.toSuspicion(0);
    const text = [fingerprint, ...crashes, '', ...cleared].join(' ');
    sum = (sum + Math.floor(hashFraction(text) * DIGEST_VALUES)) % DIGEST_VALUES;
  }
  return sum;
}
