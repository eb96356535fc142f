/** The digest of held versions that heartbeats carry. */
import { createHash } from 'node:crypto';
import { NO_VERSION, type DocumentVersion } from '../model/version.js';
import { DOCUMENT_NAMES, type HeldVersions } from './message.js';

/** Length of the digest, in hexadecimal digits. */
const VERSIONS_DIGEST_LENGTH = 16;

/** The text form of a version, for keys of maps and for digests. */
export function versionKey(version: DocumentVersion): string {
  return `${version.number}.${version.digest}`;
}

/** Digest of held versions, 16 hexadecimal digits: equal digests mean equal versions. */
export function versionsDigest(versions: HeldVersions): string {
  const text = DOCUMENT_NAMES.map((name) => versionKey(versions[name])).join('/');
  return createHash('sha256').update(text).digest('hex').slice(0, VERSIONS_DIGEST_LENGTH);
}

/** Digest of a node that holds nothing. */
export const NOTHING_HELD_DIGEST = versionsDigest({
  source: NO_VERSION,
  operator: NO_VERSION,
  machines: NO_VERSION,
});
