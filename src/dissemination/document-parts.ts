/** Sizes of entries on the wire, and the chunks in which a full document is sent. */
import type { DocumentDelta, DocumentEntry, VersionedDocument } from '../model/document.js';

/** Maximum size of the entries in one snapshot chunk, in bytes, unless a single entry is larger. */
export const MAX_CHUNK_BYTES = 48 * 1024;
/** Deltas smaller than this are pushed without a request. */
export const MAX_PUSHED_DELTA_BYTES = 2 * 1024;
/** Size of the length prefixes and the version number of one entry, in bytes. */
const ENTRY_OVERHEAD_BYTES = 14;

/** Approximate size of an entry on the wire, in bytes. */
export function entryBytes(entry: DocumentEntry): number {
  return entry.key.length + Buffer.byteLength(entry.json) + ENTRY_OVERHEAD_BYTES;
}

/** Approximate size of a delta's changes on the wire, in bytes. */
export function deltaBytes(delta: DocumentDelta): number {
  const upserts = delta.upserts.reduce((sum, entry) => sum + entryBytes(entry), 0);
  return delta.removals.reduce((sum, key) => sum + key.length + ENTRY_OVERHEAD_BYTES, upserts);
}

/** A full document split into chunks. */
export interface DocumentParts {
  /** At least one chunk, which may be empty. */
  readonly chunks: readonly (readonly DocumentEntry[])[];
  readonly bytes: number;
}

/** Splits a document into chunks of at most {@link MAX_CHUNK_BYTES}, unless an entry is larger. */
export function partsOf(document: VersionedDocument): DocumentParts {
  const chunks: DocumentEntry[][] = [];
  let chunk: DocumentEntry[] = [];
  let chunkBytes = 0;
  let bytes = 0;
  for (const entry of document.entries.values()) {
    const size = entryBytes(entry);
    if (chunk.length > 0 && chunkBytes + size > MAX_CHUNK_BYTES) {
      chunks.push(chunk);
      chunk = [];
      chunkBytes = 0;
    }
    chunk.push(entry);
    chunkBytes += size;
    bytes += size;
  }
  chunks.push(chunk);
  return { chunks, bytes };
}
