/** Buffers a response in memory, to be used if no other attempt brings a better one. */
import type { Answer } from './call.js';

/**
 * Reads the body of `answer` to its end, so that its connection can be reused, and passes the
 * complete answer to `onBuffered` unless it has more than `maxBytes`.
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
  body.stream.on('error', () => undefined);
  body.stream.once('close', () => {
    if (body.isComplete() && sizeBytes <= maxBytes) {
      onBuffered({ ...answer, body: { kind: 'held', bytes: Buffer.concat(chunks) } });
    }
  });
}
