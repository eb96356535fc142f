/**
 * Results that depend only on the content of immutable documents: applied deltas, merges, machine
 * indexes, parts. One node recomputes none of them; an emulator injects one memo into all its nodes,
 * which then share documents. Losing an entry costs only time.
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

/** Results kept of each sort unless told otherwise. */
export const DEFAULT_MEMO_CAPACITY = 8;

/** A delta with its size on the wire, in bytes. */
export interface SizedDelta {
  readonly delta: DocumentDelta;
  readonly bytes: number;
}

/** A bounded memo; see the module's comment. */
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

  /** The document after `delta`; throws {@link DeltaMismatchError} when it is not what it promises. */
  apply(name: DocumentName, held: VersionedDocument, delta: DocumentDelta): VersionedDocument {
    const base = delta.from.number === 0 ? VersionedDocument.empty() : held;
    return this.document(name, delta.to, () => base.apply(delta));
  }

  /** The document made of all its entries; throws {@link DeltaMismatchError} on another digest. */
  assemble(
    name: DocumentName,
    version: DocumentVersion,
    entries: readonly DocumentEntry[],
  ): VersionedDocument {
    return this.document(name, version, () => {
      const document = VersionedDocument.fromEntries(version.number, entries);
      if (document.version.digest !== version.digest) {
        throw new DeltaMismatchError(`chunks do not give digest ${version.digest}`);
      }
      return document;
    });
  }

  /** The merge of a pair; throws {@link InvalidConfigurationError} as `mergeDocuments` does. */
  merge(source: VersionedDocument, operator: VersionedDocument): MergedConfiguration {
    const key = `${versionKey(source.version)}/${versionKey(operator.version)}`;
    let outcome = this.merges.get(key);
    if (outcome === undefined) {
      outcome = outcomeOf(() => mergeDocuments(source, operator));
      this.merges.set(key, outcome);
    }
    return resultOf(outcome);
  }

  /** The index of a machines document; throws {@link InvalidConfigurationError}. */
  machineIndex(document: VersionedDocument): MachineIndex {
    let outcome = this.machines.get(document);
    if (outcome === undefined) {
      outcome = outcomeOf(() => MachineIndex.parse(document));
      this.machines.set(document, outcome);
    }
    return resultOf(outcome);
  }

  /** The parts of a document. */
  partsOf(document: VersionedDocument): DocumentParts {
    let parts = this.parts.get(document);
    if (parts === undefined) {
      parts = partsOf(document);
      this.parts.set(document, parts);
    }
    return parts;
  }

  /** The delta from `from` to `document`, or undefined when history does not reach back. */
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
