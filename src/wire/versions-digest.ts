/** The digest of document versions that heartbeats contain. */
import { createHash } from 'node:crypto';
import { NO_VERSION, type DocumentVersion } from '../model/version.js';
import { DOCUMENT_NAMES, type HeldVersions } from './message.js';

/** Length of the digest, in hexadecimal digits. */
const VERSIONS_DIGEST_LENGTH = 16;

/** Returns a version as text, for map keys and digests. */
export function versionKey(version: DocumentVersion): string {
  return `${version.number}.${version.digest}`;
}

/** Returns a digest of 16 hexadecimal digits. Equal digests mean equal versions. */
export function versionsDigest(versions: HeldVersions): string {
  const text = DOCUMENT_NAMES.map((name) => versionKey(versions[name])).join('/');
  return createHash('sha256').update(text).digest('hex').slice(0, VERSIONS_DIGEST_LENGTH);
}

/** Digest of a node that has no documents. */
export const EMPTY_VERSIONS_DIGEST = versionsDigest({
  source: NO_VERSION,
  operator: NO_VERSION,
  machines: NO_VERSION,
});
