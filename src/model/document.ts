/**
 * A versioned, immutable set of entries: the unit of replication between nodes. Each entry stores the
 * version at which it last changed, so that a delta from an older version only requires filtering the entries.
 */
import { createHash } from 'node:crypto';
import { EMPTY_DIGEST, type DocumentVersion } from './version.js';

/** Size of an entry hash, in bytes. */
const ENTRY_HASH_BYTES = 16;
/** Maximum number of tombstones per document. Deltas from versions before a discarded one are unavailable. */
export const MAX_TOMBSTONES = 4_096;

/** A key and its canonical JSON text. */
export interface DocumentEntry {
  readonly key: string;
  readonly json: string;
  /**
   * Number of the version that introduced this text, or of a later one. It is replicated with the entry. In a
   * document with a single writer (`operator`) it is therefore the same on every node, and serves as the
   * resource version in write preconditions.
   */
  readonly changedAt: number;
}

/** A deleted key and the number of the version that deleted it. */
export interface Tombstone {
  readonly key: string;
  readonly deletedAt: number;
}

/** The difference between a version and a newer one. */
export interface DocumentDelta {
  readonly from: DocumentVersion;
  readonly to: DocumentVersion;
  readonly upserts: readonly DocumentEntry[];
  readonly removals: readonly string[];
}

/** Thrown when applying a delta does not produce the version that the delta specifies. */
export class DeltaMismatchError extends Error {
  override readonly name = 'DeltaMismatchError';
}

/** Immutable document; every change returns a new one. */
export class VersionedDocument {
  private constructor(
    readonly version: DocumentVersion,
    readonly entries: ReadonlyMap<string, DocumentEntry>,
    readonly tombstones: readonly Tombstone[],
    /** Lowest version number from which a delta is available. */
    readonly historyFrom: number,
  ) {}

  /** Creates the initial document of a node, which has no entries. */
  static empty(): VersionedDocument {
    return new VersionedDocument({ number: 0, digest: EMPTY_DIGEST }, new Map(), [], 0);
  }

  /** Creates a document from its full content; `values` maps keys to canonical JSON text. */
  static fromValues(number: number, values: ReadonlyMap<string, string>): VersionedDocument {
    const entries = new Map<string, DocumentEntry>();
    const digest = new DigestAccumulator();
    for (const [key, json] of values) {
      entries.set(key, { key, json, changedAt: number });
      digest.toggle(key, json);
    }
    return new VersionedDocument({ number, digest: digest.hex() }, entries, [], number);
  }

  /** Creates a copy of a peer's document from its entries, whose `changedAt` is preserved. */
  static fromEntries(number: number, entries: readonly DocumentEntry[]): VersionedDocument {
    const byKey = new Map<string, DocumentEntry>();
    const digest = new DigestAccumulator();
    for (const entry of entries) {
      byKey.set(entry.key, entry);
      digest.toggle(entry.key, entry.json);
    }
    return new VersionedDocument({ number, digest: digest.hex() }, byKey, [], number);
  }

  /**
   * Returns version `number` with the full content `values`. Unchanged entries keep their `changedAt`, so that
   * the new version can serve deltas.
   */
  next(number: number, values: ReadonlyMap<string, string>): VersionedDocument {
    const upserts: DocumentEntry[] = [];
    for (const [key, json] of values) {
      if (this.entries.get(key)?.json !== json) {
        upserts.push({ key, json, changedAt: number });
      }
    }
    const removals = [...this.entries.keys()].filter((key) => !values.has(key));
    return this.change(number, upserts, removals);
  }

  /** Returns version `number` with `upserts`, whose `changedAt` is `number`, and `removals` applied. */
  change(
    number: number,
    upserts: readonly Pick<DocumentEntry, 'key' | 'json'>[],
    removals: readonly string[],
  ): VersionedDocument {
    const stamped = upserts.map(({ key, json }) => ({ key, json, changedAt: number }));
    return this.successor(number, stamped, removals);
  }

  private successor(
    number: number,
    upserts: readonly DocumentEntry[],
    removals: readonly string[],
  ): VersionedDocument {
    const entries = new Map(this.entries);
    const digest = new DigestAccumulator(this.version.digest);
    for (const key of removals) {
      toggleExisting(entries.get(key), digest);
      entries.delete(key);
    }
    for (const entry of upserts) {
      toggleExisting(entries.get(entry.key), digest);
      digest.toggle(entry.key, entry.json);
      entries.set(entry.key, entry);
    }
    const { tombstones, historyFrom } = this.tombstonesAfter(number, upserts, removals);
    return new VersionedDocument(
      { number, digest: digest.hex() },
      entries,
      tombstones,
      historyFrom,
    );
  }

  /**
   * Returns the delta from `from` to this version, or undefined if `from` is not older or the history does not
   * reach back to it. A delta from number 0 applies to an empty document and therefore contains every entry,
   * including those that changed at number 0.
   */
  deltaFrom(from: DocumentVersion): DocumentDelta | undefined {
    if (from.number < this.historyFrom || from.number >= this.version.number) {
      return undefined;
    }
    const includesAllEntries = from.number === 0;
    const upserts = [...this.entries.values()].filter(
      (entry) => includesAllEntries || entry.changedAt > from.number,
    );
    const removals = this.tombstones
      .filter((tombstone) => tombstone.deletedAt > from.number)
      .map((tombstone) => tombstone.key);
    return { from, to: this.version, upserts, removals };
  }

  /** Applies a delta. Throws {@link DeltaMismatchError} if the result does not have the delta's digest. */
  apply(delta: DocumentDelta): VersionedDocument {
    const changed = this.successor(delta.to.number, delta.upserts, delta.removals);
    if (changed.version.digest !== delta.to.digest) {
      throw new DeltaMismatchError(
        `delta ${delta.from.number}..${delta.to.number} does not produce digest ${delta.to.digest}`,
      );
    }
    return changed;
  }

  private tombstonesAfter(
    number: number,
    upserts: readonly DocumentEntry[],
    removals: readonly string[],
  ): { tombstones: readonly Tombstone[]; historyFrom: number } {
    const replaced = new Set([...removals, ...upserts.map((entry) => entry.key)]);
    const kept = this.tombstones.filter((tombstone) => !replaced.has(tombstone.key));
    const candidates = [...kept, ...removals.map((key) => ({ key, deletedAt: number }))];
    const dropped = candidates.slice(0, Math.max(0, candidates.length - MAX_TOMBSTONES));
    const newestDropped = dropped.reduce((newest, one) => Math.max(newest, one.deletedAt), 0);
    return {
      tombstones: candidates.slice(dropped.length),
      historyFrom: Math.max(this.historyFrom, newestDropped),
    };
  }
}

/** Order-independent digest of entries: the XOR of their hashes. */
class DigestAccumulator {
  private readonly bytes: Buffer;

  constructor(hex: string = EMPTY_DIGEST) {
    this.bytes = Buffer.from(hex, 'hex');
  }

  /** Adds an entry, or removes it if it was added before. */
  toggle(key: string, json: string): void {
    const hash = createHash('sha256').update(key).update('\0').update(json).digest();
    for (let index = 0; index < ENTRY_HASH_BYTES; index += 1) {
      this.bytes[index] = (this.bytes[index] ?? 0) ^ (hash[index] ?? 0);
    }
  }

  hex(): string {
    return this.bytes.toString('hex');
  }
}

function toggleExisting(entry: DocumentEntry | undefined, digest: DigestAccumulator): void {
  if (entry !== undefined) {
    digest.toggle(entry.key, entry.json);
  }
}
