/**
 * Passes an answer on, with back-pressure. An answer is completed towards the receiver only when it
 * arrived whole; small ones are held until then, so that nothing of a broken one goes out.
 */
import type { Answer, AnswerBody } from './call.js';

/** Where an answer goes. */
export interface AnswerSink {
  readonly headersSent: boolean;
  /** `contentLength` is the declared length of the body in bytes; undefined for a chunked one. */
  writeHead(status: number, headers: string[], contentLength: number | undefined): void;
  /** False when the receiver should be waited for, until `drain`. */
  write(chunk: Buffer): boolean;
  end(chunk?: Buffer): unknown;
  on(event: 'drain', listener: () => void): unknown;
  off(event: 'drain', listener: () => void): unknown;
}

type StreamedBody = Extract<AnswerBody, { kind: 'streamed' }>;

/** Gets the end of the answer: one of the two, once. */
export interface AnswerObserver {
  /** It arrived whole and was handed to the receiver's connection. */
  whole(): void;
  /** It broke off; `wasPassedOn` when a part of it went out. */
  broken(wasPassedOn: boolean): void;
}

/** Passes `answer` to `sink` with `headers`; holds it whole where it has up to `holdBytes`. */
export function passAnswer(
  answer: Answer,
  sink: AnswerSink,
  headers: string[],
  holdBytes: number,
  observer: AnswerObserver,
): void {
  const { body, contentLength, status } = answer;
  const head = { status, headers, contentLength };
  if (body.kind === 'held') {
    sendWhole(sink, head, body.bytes);
    observer.whole();
  } else if (contentLength !== undefined && contentLength <= holdBytes) {
    passHeld(body, sink, head, observer);
  } else {
    passStreamed(body, sink, head, observer);
  }
}

interface AnswerHead {
  readonly status: number;
  readonly headers: string[];
  readonly contentLength: number | undefined;
}

function sendWhole(sink: AnswerSink, head: AnswerHead, bytes: Buffer): void {
  sink.writeHead(head.status, head.headers, head.contentLength);
  sink.end(bytes);
}

function passHeld(
  { stream, isWhole }: StreamedBody,
  sink: AnswerSink,
  head: AnswerHead,
  observer: AnswerObserver,
): void {
  const chunks: Buffer[] = [];
  stream.on('data', (chunk: Buffer) => chunks.push(chunk));
  stream.on('error', ignoreError);
  stream.once('close', () => {
    // A request that was given up meanwhile has its answer.
    if (!isWhole() || sink.headersSent) {
      observer.broken(false);
      return;
    }
    const [first] = chunks;
    sendWhole(sink, head, chunks.length === 1 && first ? first : Buffer.concat(chunks));
    observer.whole();
  });
}

function passStreamed(
  { stream, isWhole }: StreamedBody,
  sink: AnswerSink,
  { status, headers, contentLength }: AnswerHead,
  observer: AnswerObserver,
): void {
  const sendHead = (): void => {
    if (!sink.headersSent) {
      sink.writeHead(status, headers, contentLength);
    }
  };
  const resume = (): void => {
    stream.resume();
  };
  stream.on('data', (chunk: Buffer) => {
    sendHead();
    if (!sink.write(chunk)) {
      stream.pause();
    }
  });
  stream.on('error', ignoreError);
  sink.on('drain', resume);
  stream.once('close', () => {
    sink.off('drain', resume);
    if (!isWhole()) {
      observer.broken(sink.headersSent);
      return;
    }
    sendHead();
    sink.end();
    observer.whole();
  });
}

/** `close` follows and tells whether the answer is whole. */
function ignoreError(): void {
  return;
}
