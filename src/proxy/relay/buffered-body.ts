/** Collects the body of a relayed request, so that its endpoint is busy with it only once it is whole. */
import { HeldBody } from '../request-body.js';
import type { RelayBodyReader } from './relay-body.js';

/**
 * Bodies of up to this length, in bytes, are collected: some three tenths of a second of a link of
 * 7 Mbit/s, for which a slot of the endpoint would be taken. Longer ones are passed on as they come.
 */
export const MAX_BUFFERED_BODY_BYTES = 256 * 1024;

/**
 * Whether the endpoint's node hands a body of the length on only once it has all of it; both ends of a
 * relay connection go by this, the sender for its proof that a request has not run.
 */
export function isBuffered(lengthBytes: number | undefined): boolean {
  return lengthBytes !== undefined && lengthBytes <= MAX_BUFFERED_BODY_BYTES;
}

/** Calls `take` once the body is whole; not at all when it breaks off. */
export function bufferBody(reader: RelayBodyReader, onComplete: (body: HeldBody) => void): void {
  const chunks: Buffer[] = [];
  reader.on('data', (chunk: Buffer) => chunks.push(chunk));
  reader.once('end', () => onComplete(new HeldBody(Buffer.concat(chunks))));
}
