/** Buffers a response in memory, to be used if no other attempt brings a better one. */
import { discardBody } from '../wire/bounded-response.js';
import type { Answer } from './call.js';

/** Time in which the body of a response that reports a fault must arrive, in milliseconds. */
const MAX_BUFFERING_MS = 10_000;

/**
 * Reads the body of `answer`, to its end if it is short, so that its connection can be reused, and
 * passes the complete answer to `onBuffered` unless it has more than `maxBytes`.
 */
export function bufferAnswer(
  answer: Answer,
  maxBytes: number,
  onBuffered: (buffered: Answer) => void,
): void {
  const { body } = answer;
  if (body.kind === 'held') {
    if (body.bytes.length <= maxBytes) {
      onBuffered(answer);
    }
    return;
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  body.stream.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes <= maxBytes) {
      chunks.push(chunk);
    } else {
      chunks.length = 0;
    }
  });
  discardBody(body.stream, MAX_BUFFERING_MS);
  body.stream.once('close', () => {
    if (body.isComplete() && sizeBytes <= maxBytes) {
      onBuffered({ ...answer, body: { kind: 'held', bytes: Buffer.concat(chunks) } });
    }
  });
}
