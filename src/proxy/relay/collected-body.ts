/** Collects the body of a relayed request, so that its endpoint is busy with it only once it is whole. */
import { HeldBody } from '../request-body.js';
import type { RelayBodyReader } from './relay-body.js';

/**
 * Bodies of up to this length, in bytes, are collected: some three tenths of a second of a link of
 * 7 Mbit/s, for which a slot of the endpoint would be taken. Longer ones are passed on as they come.
 */
export const MAX_COLLECTED_BODY_BYTES = 256 * 1024;

/** Calls `take` once the body is whole; not at all when it breaks off. */
export function collectBody(reader: RelayBodyReader, take: (body: HeldBody) => void): void {
  const chunks: Buffer[] = [];
  reader.on('data', (chunk: Buffer) => chunks.push(chunk));
  reader.once('end', () => take(new HeldBody(Buffer.concat(chunks))));
}
