/**
 * The documents that a node holds. Held versions only increase. A document is fully validated
 * before it is adopted; an invalid one is refused as a whole, and its version is remembered.
 */
import type { CounterSink } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import { MachineIndex } from '../membership/machine-index.js';
import { InvalidConfigurationError } from '../model/configuration-error.js';
import { VersionedDocument } from '../model/document.js';
import type { MergedConfiguration } from '../model/merge.js';
import { isNewer, type DocumentVersion } from '../model/version.js';
import type { DocumentName, HeldVersions } from '../wire/message.js';
import { versionKey, versionsDigest } from '../wire/versions-digest.js';
import { BoundedMap } from './bounded-map.js';
import type { DocumentMemo } from './document-memo.js';

/** Maximum number of remembered refused versions, over all documents. */
export const MAX_REFUSED_VERSIONS = 64;

/** Outcome of {@link DocumentStore.adopt}. */
export type Adoption =
  | { readonly outcome: 'adopted'; readonly previous: DocumentVersion }
  | { readonly outcome: 'not-newer' }
  | { readonly outcome: 'refused'; readonly reason: string };

/** Held documents and the state derived from them. */
export class DocumentStore {
  private readonly documents: Record<DocumentName, VersionedDocument> = {
    source: VersionedDocument.empty(),
    operator: VersionedDocument.empty(),
    machines: VersionedDocument.empty(),
  };
  private readonly refused = new BoundedMap<string, string>(MAX_REFUSED_VERSIONS);
  private merged: MergedConfiguration;
  private index = MachineIndex.EMPTY;
  private heldVersions: HeldVersions;
  private digest: string;

  constructor(
    readonly memo: DocumentMemo,
    private readonly counters: CounterSink,
  ) {
    this.merged = memo.merge(this.documents.source, this.documents.operator);
    this.heldVersions = versionsOf(this.documents);
    this.digest = versionsDigest(this.heldVersions);
  }

  /** The held document; empty if none is held. */
  held(name: DocumentName): VersionedDocument {
    return this.documents[name];
  }

  /** A copy of the current set of held documents. */
  heldDocuments(): Readonly<Record<DocumentName, VersionedDocument>> {
    return { ...this.documents };
  }

  /** Versions of all held documents; the same object until a version changes. */
  versions(): HeldVersions {
    return this.heldVersions;
  }

  /** Digest of {@link versions}, 16 hexadecimal digits. */
  versionsDigest(): string {
    return this.digest;
  }

  /** The configuration in force and the suspended operators' entries. */
  configuration(): MergedConfiguration {
    return this.merged;
  }

  /** Index of the held machine list. */
  machines(): MachineIndex {
    return this.index;
  }

  /** Whether `version` is newer than the held one and is not known to be invalid. */
  wants(name: DocumentName, version: DocumentVersion): boolean {
    return isNewer(version, this.documents[name].version) && !this.isRefused(name, version);
  }

  /** Adopts `document` if it is strictly newer and valid as a whole. */
  adopt(name: DocumentName, document: VersionedDocument): Adoption {
    if (!this.isAdmissible(document.version, this.documents[name].version)) {
      return { outcome: 'not-newer' };
    }
    try {
      this.validate(name, document);
    } catch (error) {
      if (!(error instanceof InvalidConfigurationError)) {
        throw error;
      }
      this.refuse(name, document.version, error.message);
      return { outcome: 'refused', reason: error.message };
    }
    const previous = this.documents[name].version;
    this.documents[name] = document;
    this.heldVersions = versionsOf(this.documents);
    this.digest = versionsDigest(this.heldVersions);
    this.counters.add(CONTROL_COUNTERS.documentsAdopted);
    return { outcome: 'adopted', previous };
  }

  /** Whether a candidate may replace the held version: versions only increase. */
  protected isAdmissible(candidate: DocumentVersion, held: DocumentVersion): boolean {
    return isNewer(candidate, held);
  }

  /** Updates the derived state; throws without changing anything if the document is invalid. */
  protected validate(name: DocumentName, document: VersionedDocument): void {
    switch (name) {
      case 'source':
        this.merged = this.memo.merge(document, this.documents.operator);
        break;
      case 'operator':
        this.merged = this.memo.merge(this.documents.source, document);
        break;
      case 'machines':
        this.index = this.memo.machineIndex(document);
        break;
    }
  }

  private isRefused(name: DocumentName, version: DocumentVersion): boolean {
    return this.refused.size > 0 && this.refused.has(`${name}/${versionKey(version)}`);
  }

  private refuse(name: DocumentName, version: DocumentVersion, reason: string): void {
    const key = `${name}/${versionKey(version)}`;
    if (!this.refused.has(key)) {
      this.counters.add(CONTROL_COUNTERS.documentsRefused);
    }
    this.refused.set(key, reason);
  }
}

function versionsOf(documents: Record<DocumentName, VersionedDocument>): HeldVersions {
  return {
    source: documents.source.version,
    operator: documents.operator.version,
    machines: documents.machines.version,
  };
}
