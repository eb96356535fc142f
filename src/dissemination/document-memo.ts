/**
 * Memoizes results that depend only on the content of immutable documents: applied deltas, merges,
 * machine indexes and chunks, so that a node computes each only once. An emulator injects one memo
 * into all its nodes, which then share documents. Evicted entries are recomputed.
 */
import { MachineIndex } from '../membership/machine-index.js';
import { InvalidConfigurationError } from '../model/configuration-error.js';
import {
  DeltaMismatchError,
  VersionedDocument,
  type DocumentDelta,
  type DocumentEntry,
} from '../model/document.js';
import { mergeDocuments, type MergedConfiguration } from '../model/merge.js';
import type { DocumentVersion } from '../model/version.js';
import type { DocumentName } from '../wire/message.js';
import { versionKey } from '../wire/versions-digest.js';
import { BoundedMap } from './bounded-map.js';
import { deltaBytes, partsOf, type DocumentParts } from './document-parts.js';

/** Default capacity for each kind of result. */
export const DEFAULT_MEMO_CAPACITY = 8;

/** A delta with its size on the wire, in bytes. */
export interface SizedDelta {
  readonly delta: DocumentDelta;
  readonly bytes: number;
}

export class DocumentMemo {
  private readonly documents: BoundedMap<string, VersionedDocument>;
  private readonly merges: BoundedMap<string, MergedConfiguration | InvalidConfigurationError>;
  private readonly machines = new WeakMap<
    VersionedDocument,
    MachineIndex | InvalidConfigurationError
  >();
  private readonly parts = new WeakMap<VersionedDocument, DocumentParts>();
  private readonly deltas = new WeakMap<
    VersionedDocument,
    BoundedMap<string, SizedDelta | undefined>
  >();

  constructor(private readonly capacity = DEFAULT_MEMO_CAPACITY) {
    this.documents = new BoundedMap(capacity);
    this.merges = new BoundedMap(capacity);
  }

  /**
   * Applies `delta`; throws a {@link DeltaMismatchError} if the result does not match its version.
   */
  apply(name: DocumentName, held: VersionedDocument, delta: DocumentDelta): VersionedDocument {
    const base = delta.from.number === 0 ? VersionedDocument.empty() : held;
    return this.document(name, delta.to, () => base.apply(delta));
  }

  /**
   * Builds a document from its entries; throws a {@link DeltaMismatchError} if the digest differs.
   */
  assemble(
    name: DocumentName,
    version: DocumentVersion,
    entries: readonly DocumentEntry[],
  ): VersionedDocument {
    return this.document(name, version, () => {
      const document = VersionedDocument.fromEntries(version.number, entries);
      if (document.version.digest !== version.digest) {
        throw new DeltaMismatchError(`snapshot chunks do not match digest ${version.digest}`);
      }
      return document;
    });
  }

  /** Merges two documents; throws an {@link InvalidConfigurationError} as `mergeDocuments` does. */
  merge(source: VersionedDocument, operator: VersionedDocument): MergedConfiguration {
    const key = `${versionKey(source.version)}/${versionKey(operator.version)}`;
    let outcome = this.merges.get(key);
    if (outcome === undefined) {
      outcome = outcomeOf(() => mergeDocuments(source, operator));
      this.merges.set(key, outcome);
    }
    return resultOf(outcome);
  }

  /** Index of a machines document; throws an {@link InvalidConfigurationError} if it is invalid. */
  machineIndex(document: VersionedDocument): MachineIndex {
    let outcome = this.machines.get(document);
    if (outcome === undefined) {
      outcome = outcomeOf(() => MachineIndex.parse(document));
      this.machines.set(document, outcome);
    }
    return resultOf(outcome);
  }

  partsOf(document: VersionedDocument): DocumentParts {
    let parts = this.parts.get(document);
    if (parts === undefined) {
      parts = partsOf(document);
      this.parts.set(document, parts);
    }
    return parts;
  }

  /** The delta from `from` to `document`; undefined if the history does not include `from`. */
  deltaFrom(document: VersionedDocument, from: DocumentVersion): SizedDelta | undefined {
    let cached = this.deltas.get(document);
    if (cached === undefined) {
      cached = new BoundedMap(this.capacity);
      this.deltas.set(document, cached);
    }
    const key = versionKey(from);
    if (!cached.has(key)) {
      const delta = document.deltaFrom(from);
      cached.set(key, delta === undefined ? undefined : { delta, bytes: deltaBytes(delta) });
    }
    return cached.get(key);
  }

  private document(
    name: DocumentName,
    version: DocumentVersion,
    create: () => VersionedDocument,
  ): VersionedDocument {
    const key = `${name}/${versionKey(version)}`;
    let document = this.documents.get(key);
    if (document === undefined) {
      document = create();
      this.documents.set(key, document);
    }
    return document;
  }
}

function outcomeOf<Result>(compute: () => Result): Result | InvalidConfigurationError {
  try {
    return compute();
  } catch (error) {
    if (error instanceof InvalidConfigurationError) {
      return error;
    }
    throw error;
  }
}

function resultOf<Result>(outcome: Result | InvalidConfigurationError): Result {
  if (outcome instanceof InvalidConfigurationError) {
    throw outcome;
  }
  return outcome;
}
