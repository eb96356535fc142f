/**
 * Passes an answer on, with back-pressure. An answer is completed towards the receiver only when it
 * arrived whole; small ones are held until then, so that nothing of a broken one goes out.
 */
import type { AnswerCollection } from './answer-collection.js';
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

/** How much of an answer is held before its first byte goes out. */
export interface AnswerHolding {
  /** Largest answer with a length that is held whole, in bytes. */
  readonly holdBytes: number;
  /** Reads answers to their ends while the node stops; none does when absent. */
  readonly collection?: AnswerCollection;
}

/** Passes `answer` to `sink` with `headers`; holds it whole where `holding` says so. */
export function passAnswer(
  answer: Answer,
  sink: AnswerSink,
  headers: string[],
  { holdBytes, collection }: AnswerHolding,
  observer: AnswerObserver,
): void {
  const { body, contentLength, status } = answer;
  const head = { status, headers, contentLength };
  if (body.kind === 'held') {
    sendWhole(sink, head, body.bytes);
    observer.whole();
    return;
  }
  const passing = { body, sink, head, observer, collection };
  if (contentLength !== undefined && contentLength <= holdBytes) {
    passHeld(passing, contentLength);
    return;
  }
  const roomBytes = collection?.takeRoom(contentLength) ?? 0;
  if (roomBytes > 0) {
    body.collect?.(roomBytes);
    passHeld(passing, roomBytes);
  } else {
    passStreamed(passing, []);
  }
}

interface AnswerHead {
  readonly status: number;
  readonly headers: string[];
  readonly contentLength: number | undefined;
}

/** A streamed answer on its way. */
interface PassingAnswer {
  readonly body: StreamedBody;
  readonly sink: AnswerSink;
  readonly head: AnswerHead;
  readonly observer: AnswerObserver;
  readonly collection: AnswerCollection | undefined;
}

function sendWhole(sink: AnswerSink, head: AnswerHead, bytes: Buffer): void {
  sink.writeHead(head.status, head.headers, head.contentLength);
  sink.end(bytes);
}

/** Sends nothing before the body is whole, or longer than `mostBytes`. */
function passHeld(passing: PassingAnswer, mostBytes: number): void {
  const { body, sink, head, observer } = passing;
  const { stream, isWhole } = body;
  const chunks: Buffer[] = [];
  let heldBytes = 0;
  const take = (chunk: Buffer): void => {
    chunks.push(chunk);
    heldBytes += chunk.length;
    if (heldBytes > mostBytes && !sink.headersSent) {
      stream.off('data', take);
      stream.off('close', end);
      passStreamed(passing, chunks);
    }
  };
  const end = (): void => {
    // A request that was given up meanwhile has its answer.
    if (!isWhole() || sink.headersSent) {
      observer.broken(false);
      return;
    }
    const [first] = chunks;
    sendWhole(sink, head, chunks.length === 1 && first ? first : Buffer.concat(chunks));
    observer.whole();
  };
  stream.on('data', take);
  stream.on('error', ignoreError);
  stream.once('close', end);
}

/** Sends `held` and what comes after it, at the pace of the receiver until the node stops. */
function passStreamed(
  { body, sink, head, observer, collection }: PassingAnswer,
  held: readonly Buffer[],
): void {
  const { stream, isWhole } = body;
  let isPaced = true;
  const sendHead = (): void => {
    if (!sink.headersSent) {
      sink.writeHead(head.status, head.headers, head.contentLength);
    }
  };
  const resume = (): void => {
    stream.resume();
  };
  const pass = (chunk: Buffer): void => {
    sendHead();
    if (!sink.write(chunk) && isPaced) {
      stream.pause();
    }
  };
  const endWatch = collection?.watch(head.contentLength, (mostBytes) => {
    isPaced = false;
    body.collect?.(mostBytes);
    resume();
  });
  held.forEach(pass);
  stream.on('data', pass);
  stream.on('error', ignoreError);
  sink.on('drain', resume);
  stream.once('close', () => {
    endWatch?.();
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
