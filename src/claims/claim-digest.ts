/** What a key is claimed by. Apart from the terms, which the request path reads without hashing. */
import { createHash } from 'node:crypto';

/** In hexadecimal digits: 128 bits. */
const CLAIM_DIGEST_LENGTH = 32;

/** Digest of a service's key, by which it is claimed. */
export function claimDigest(service: string, key: string): string {
  const digest = createHash('sha256').update(service).update('\0').update(key).digest('hex');
  return digest.slice(0, CLAIM_DIGEST_LENGTH);
}
