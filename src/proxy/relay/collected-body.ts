/** Buffers the body of a relayed request, so that it occupies an endpoint slot only once it is complete. */
import { BufferedBody } from '../request-body.js';
import type { RelayBodyReader } from './relay-body.js';

/**
 * Maximum length of a buffered body, in bytes. A 7 Mbit/s link transfers it in about 0.3 s, during which an
 * unbuffered body would occupy an endpoint slot. Longer bodies are streamed to the endpoint.
 */
export const MAX_BUFFERED_BODY_BYTES = 256 * 1024;

/**
 * Whether the endpoint's node forwards a body of this length only after receiving all of it. Both ends of a
 * relay connection apply this rule; the sender uses it to prove that a request has not run.
 */
export function isBuffered(lengthBytes: number | undefined): boolean {
  return lengthBytes !== undefined && lengthBytes <= MAX_BUFFERED_BODY_BYTES;
}

/** Calls `onComplete` once the body is complete; never if the body is truncated. */
export function bufferBody(
  reader: RelayBodyReader,
  onComplete: (body: BufferedBody) => void,
): void {
  const chunks: Buffer[] = [];
  reader.on('data', (chunk: Buffer) => chunks.push(chunk));
  reader.once('end', () => onComplete(new BufferedBody(Buffer.concat(chunks))));
}
