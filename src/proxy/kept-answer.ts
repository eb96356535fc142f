/** Keeps an answer in memory, for the case that no other attempt brings a better one. */
import type { Answer } from './call.js';

/**
 * Reads the body of `answer` to its end, so that its connection can be used again, and gives the answer to
 * `keep` once it is whole, unless it has more than `maxBytes`.
 */
export function keepAnswer(answer: Answer, maxBytes: number, keep: (kept: Answer) => void): void {
  const { body } = answer;
  if (body.kind === 'held') {
    if (body.bytes.length <= maxBytes) {
      keep(answer);
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
      keep({ ...answer, body: { kind: 'held', bytes: Buffer.concat(chunks) } });
    }
  });
}
