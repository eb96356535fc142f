/**
 * Passes an answer on, with back-pressure. An answer is completed towards the receiver only when it
 * arrived whole; small ones are held until then, so that nothing of a broken one goes out.
 */
import type { ServerResponse } from 'node:http';
import type { Answer } from './call.js';

/** Gets the end of the answer: one of the two, once. */
export interface AnswerObserver {
  /** It arrived whole and was handed to the receiver's connection. */
  whole(): void;
  /** It broke off; `wasPassedOn` when a part of it went out. */
  broken(wasPassedOn: boolean): void;
}

/** Passes `answer` to `response` with `headers`; holds it whole where it has up to `holdBytes`. */
export function passAnswer(
  answer: Answer,
  response: ServerResponse,
  headers: string[],
  holdBytes: number,
  observer: AnswerObserver,
): void {
  if (answer.contentLength !== undefined) {
    headers.push('Content-Length', String(answer.contentLength));
  }
  const isHeld = answer.contentLength !== undefined && answer.contentLength <= holdBytes;
  if (isHeld) {
    passHeld(answer, response, headers, observer);
  } else {
    passStreamed(answer, response, headers, observer);
  }
}

function passHeld(
  answer: Answer,
  response: ServerResponse,
  headers: string[],
  observer: AnswerObserver,
): void {
  const { stream } = answer;
  const chunks: Buffer[] = [];
  stream.on('data', (chunk: Buffer) => chunks.push(chunk));
  stream.on('error', ignoreError);
  stream.once('close', () => {
    if (!answer.isWhole()) {
      observer.broken(false);
      return;
    }
    response.writeHead(answer.status, headers);
    response.end(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
    observer.whole();
  });
}

function passStreamed(
  answer: Answer,
  response: ServerResponse,
  headers: string[],
  observer: AnswerObserver,
): void {
  const { stream } = answer;
  const sendHead = (): void => {
    if (!response.headersSent) {
      response.writeHead(answer.status, headers);
    }
  };
  const resume = (): void => {
    stream.resume();
  };
  stream.on('data', (chunk: Buffer) => {
    sendHead();
    if (!response.write(chunk)) {
      stream.pause();
    }
  });
  stream.on('error', ignoreError);
  response.on('drain', resume);
  stream.once('close', () => {
    response.off('drain', resume);
    if (!answer.isWhole()) {
      observer.broken(response.headersSent);
      return;
    }
    sendHead();
    response.end();
    observer.whole();
  });
}

/** `close` follows and tells whether the answer is whole. */
function ignoreError(): void {
  return;
}
