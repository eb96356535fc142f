/**
 * Digest of a claimed key. Separate from `claim-terms.ts`, which the request path uses without
 * hashing.
 */
import { createHash } from 'node:crypto';

/** Length in hexadecimal digits, equal to 128 bits. */
const CLAIM_DIGEST_LENGTH = 32;

/** Digest that identifies the claim on an idempotency key of a service. */
export function claimDigest(service: string, key: string): string {
  const digest = createHash('sha256').update(service).update('\0').update(key).digest('hex');
  return digest.slice(0, CLAIM_DIGEST_LENGTH);
}
