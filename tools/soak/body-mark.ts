/** Bodies of requests, as records keep them: short ones as they are, long ones by a digest. */
import { createHash } from 'node:crypto';

/** Longest body that is kept as it is, in bytes. */
const MAX_KEPT_BYTES = 256;

/** What stands for a body (one byte a character): equal marks mean equal bodies. */
export function markBody(body: string): string {
  if (body.length <= MAX_KEPT_BYTES) {
    return body;
  }
  return `${body.length} bytes, ${createHash('sha256').update(body, 'latin1').digest('hex')}`;
}
