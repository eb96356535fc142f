/**
 * A versioned, immutable set of entries: the unit that nodes replicate. Each entry remembers the
 * version at which it last changed, so a delta against any older version is a filter.
 */
import { createHash } from 'node:crypto';
import { EMPTY_DIGEST, type DocumentVersion } from './version.js';

/** Length of an entry hash, in bytes. */
const ENTRY_HASH_BYTES = 16;
/** Deletions remembered per document; a delta from before the oldest kept one is refused. */
export const MAX_TOMBSTONES = 4_096;

/** One entry: a key and its canonical JSON text. */
export interface DocumentEntry {
  readonly key: string;
  readonly json: string;
  /**
   * Version number at which this text was first held, or a later one. It travels with the entry, so
   * that of a document with one writer (`operator`) it is the same on every node: the version of the
   * resource that a write's precondition names.
   */
  readonly changedAt: number;
}

/** A deleted key and the version number of its deletion. */
export interface Tombstone {
  readonly key: string;
  readonly deletedAt: number;
}

/** The change from one version to a newer one. */
export interface DocumentDelta {
  readonly from: DocumentVersion;
  readonly to: DocumentVersion;
  readonly upserts: readonly DocumentEntry[];
  readonly removals: readonly string[];
}

/** Thrown when a delta does not lead from the held document to the version that it names. */
export class DeltaMismatchError extends Error {
  override readonly name = 'DeltaMismatchError';
}

/** Immutable document; every change makes a new one. */
export class VersionedDocument {
  private constructor(
    readonly version: DocumentVersion,
    readonly entries: ReadonlyMap<string, DocumentEntry>,
    readonly tombstones: readonly Tombstone[],
    /** Deltas are known from this version number on. */
    readonly historyFrom: number,
  ) {}

  /** The document of a node that holds nothing. */
  static empty(): VersionedDocument {
    return new VersionedDocument({ number: 0, digest: EMPTY_DIGEST }, new Map(), [], 0);
  }

  /** A document from whole content; `values` maps keys to canonical JSON text. */
  static fromValues(number: number, values: ReadonlyMap<string, string>): VersionedDocument {
    const entries = new Map<string, DocumentEntry>();
    const digest = new DigestAccumulator();
    for (const [key, json] of values) {
      entries.set(key, { key, json, changedAt: number });
      digest.toggle(key, json);
    }
    return new VersionedDocument({ number, digest: digest.hex() }, entries, [], number);
  }

  /** The document that a peer holds under `number`, from its entries; `changedAt` is kept. */
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
   * The successor with whole content `values` under `number`: unchanged entries keep the version at
   * which they changed, so that the successor can serve deltas.
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

  /** The successor after `upserts`, all changed at `number`, and `removals`, under `number`. */
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
   * The delta from `from` to this document, or undefined when history does not reach back to it. A
   * delta from number 0 is from nothing and holds every entry, those of a document numbered 0, too.
   */
  deltaFrom(from: DocumentVersion): DocumentDelta | undefined {
    if (from.number < this.historyFrom || from.number >= this.version.number) {
      return undefined;
    }
    const isWhole = from.number === 0;
    const upserts = [...this.entries.values()].filter(
      (entry) => isWhole || entry.changedAt > from.number,
    );
    const removals = this.tombstones
      .filter((tombstone) => tombstone.deletedAt > from.number)
      .map((tombstone) => tombstone.key);
    return { from, to: this.version, upserts, removals };
  }

  /** Applies a delta; throws {@link DeltaMismatchError} when the result is not what it promises. */
  apply(delta: DocumentDelta): VersionedDocument {
    const changed = this.successor(delta.to.number, delta.upserts, delta.removals);
    if (changed.version.digest !== delta.to.digest) {
      throw new DeltaMismatchError(
        `delta ${delta.from.number}..${delta.to.number} does not give digest ${delta.to.digest}`,
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
    const all = [...kept, ...removals.map((key) => ({ key, deletedAt: number }))];
    const dropped = all.slice(0, Math.max(0, all.length - MAX_TOMBSTONES));
    const newestDropped = dropped.reduce((newest, one) => Math.max(newest, one.deletedAt), 0);
    return {
      tombstones: all.slice(dropped.length),
      historyFrom: Math.max(this.historyFrom, newestDropped),
    };
  }
}

/** Order-independent digest of entries: the exclusive or of their hashes. */
class DigestAccumulator {
  private readonly bytes: Buffer;

  constructor(hex: string = EMPTY_DIGEST) {
    this.bytes = Buffer.from(hex, 'hex');
  }

  /** Adds an entry, or takes it out again. */
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
