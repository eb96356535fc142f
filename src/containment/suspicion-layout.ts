/** Wire layout of suspicions in messages between nodes. */
import { hexDigest, list, PlainStruct, varint } from '../wire/field-types.js';
import { FINGERPRINT_BYTES } from './request-fingerprint.js';
import { CRASH_ID_DIGITS, type Suspicion } from './suspicion.js';

const DIGITS_PER_BYTE = 2;
const crashId = hexDigest(CRASH_ID_DIGITS / DIGITS_PER_BYTE);

export const suspicionLayout = new PlainStruct<Suspicion>({
  fingerprint: hexDigest(FINGERPRINT_BYTES),
  ageMs: varint,
  crashes: list(crashId),
  cleared: list(crashId),
});

/** The longest prefix of the suspicions whose encoding fits into `maxBytes`. */
export function limitToBytes(
  suspicions: readonly Suspicion[],
  maxBytes: number,
): readonly Suspicion[] {
  let bytes = 0;
  let count = 0;
  for (const suspicion of suspicions) {
    bytes += suspicionLayout.size(suspicion);
    if (bytes > maxBytes) {
      break;
    }
    count += 1;
  }
  return suspicions.slice(0, count);
}
