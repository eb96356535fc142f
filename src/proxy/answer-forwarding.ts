/**
 * Forwards an answer with backpressure. The answer is completed towards the receiver only if it arrived in full;
 * small answers are buffered until then, so that no part of a truncated one is sent.
 */
import type { ShutdownBuffering } from './answer-collection.js';
import type { Answer, AnswerBody } from './call.js';

/** Destination of an answer. */
export interface AnswerSink {
  readonly headersSent: boolean;
  /** `contentLength` is the declared length of the body in bytes; undefined for a chunked body. */
  writeHead(status: number, headers: string[], contentLength: number | undefined): void;
  /** Returns false if the sender should pause until `drain`. */
  write(chunk: Buffer): boolean;
  end(chunk?: Buffer): unknown;
  on(event: 'drain', listener: () => void): unknown;
  off(event: 'drain', listener: () => void): unknown;
}

type StreamedBody = Extract<AnswerBody, { kind: 'streamed' }>;

/** Receives exactly one of the two calls, once, at the end of the answer. */
export interface AnswerObserver {
  /** The answer arrived in full and was written to the receiver's connection. */
  completed(): void;
  /** The answer was truncated; `wasForwarded` says whether a part of it was sent. */
  truncated(wasForwarded: boolean): void;
}

/** How much of an answer is buffered before its first byte is sent. */
export interface AnswerBufferingOptions {
  /** Largest answer with a declared length that is buffered in full, in bytes. */
  readonly maxBufferedBytes: number;
  /** Buffers answers during shutdown; they are never buffered for that reason when absent. */
  readonly shutdownBuffering?: ShutdownBuffering;
}

/** Forwards `answer` to `sink` with `headers`, buffered in full if the options allow it. */
export function forwardAnswer(
  answer: Answer,
  sink: AnswerSink,
  headers: string[],
  { maxBufferedBytes, shutdownBuffering }: AnswerBufferingOptions,
  observer: AnswerObserver,
): void {
  const { body, contentLength, status } = answer;
  const head = { status, headers, contentLength };
  if (body.kind === 'held') {
    sendComplete(sink, head, body.bytes);
    observer.completed();
    return;
  }
  const forwarded = { body, sink, head, observer, shutdownBuffering };
  if (contentLength !== undefined && contentLength <= maxBufferedBytes) {
    forwardBuffered(forwarded, contentLength);
    return;
  }
  const reservedBytes = shutdownBuffering?.reserve(contentLength) ?? 0;
  if (reservedBytes > 0) {
    body.extendWindow?.(reservedBytes);
    forwardBuffered(forwarded, reservedBytes);
  } else {
    forwardStreamed(forwarded, []);
  }
}

interface AnswerHead {
  readonly status: number;
  readonly headers: string[];
  readonly contentLength: number | undefined;
}

/** A streamed answer that is being forwarded. */
interface ForwardedAnswer {
  readonly body: StreamedBody;
  readonly sink: AnswerSink;
  readonly head: AnswerHead;
  readonly observer: AnswerObserver;
  readonly shutdownBuffering: ShutdownBuffering | undefined;
}

function sendComplete(sink: AnswerSink, head: AnswerHead, bytes: Buffer): void {
  sink.writeHead(head.status, head.headers, head.contentLength);
  sink.end(bytes);
}

/** Sends nothing until the body is complete or exceeds `maxBytes`. */
function forwardBuffered(forwarded: ForwardedAnswer, maxBytes: number): void {
  const { body, sink, head, observer } = forwarded;
  const { stream, isComplete } = body;
  const chunks: Buffer[] = [];
  let bufferedBytes = 0;
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk);
    bufferedBytes += chunk.length;
    if (bufferedBytes > maxBytes && !sink.headersSent) {
      stream.off('data', onData);
      stream.off('close', onClose);
      forwardStreamed(forwarded, chunks);
    }
  };
  const onClose = (): void => {
    // If the request has been given up meanwhile, its error answer was already sent.
    if (!isComplete() || sink.headersSent) {
      observer.truncated(false);
      return;
    }
    const [first] = chunks;
    sendComplete(sink, head, chunks.length === 1 && first ? first : Buffer.concat(chunks));
    observer.completed();
  };
  stream.on('data', onData);
  stream.on('error', ignoreError);
  stream.once('close', onClose);
}

/**
 * Sends the `buffered` chunks and all later ones at the receiver's pace. Once the node shuts down, as many further bytes
 * as were reserved for the answer are read regardless of that pace.
 */
function forwardStreamed(
  { body, sink, head, observer, shutdownBuffering }: ForwardedAnswer,
  buffered: readonly Buffer[],
): void {
  const { stream, isComplete } = body;
  let unpacedBytes = 0;
  const sendHead = (): void => {
    if (!sink.headersSent) {
      sink.writeHead(head.status, head.headers, head.contentLength);
    }
  };
  const resume = (): void => {
    stream.resume();
  };
  const forward = (chunk: Buffer): void => {
    sendHead();
    unpacedBytes = Math.max(0, unpacedBytes - chunk.length);
    if (!sink.write(chunk) && unpacedBytes === 0) {
      stream.pause();
    }
  };
  const unregister = shutdownBuffering?.register(head.contentLength, (maxBytes) => {
    unpacedBytes = maxBytes;
    body.extendWindow?.(maxBytes);
    resume();
  });
  buffered.forEach(forward);
  stream.on('data', forward);
  stream.on('error', ignoreError);
  sink.on('drain', resume);
  stream.once('close', () => {
    unregister?.();
    sink.off('drain', resume);
    if (!isComplete()) {
      observer.truncated(sink.headersSent);
      return;
    }
    sendHead();
    sink.end();
    observer.completed();
  });
}

/** The `close` event that follows is handled instead; it shows whether the answer is complete. */
function ignoreError(): void {
  return;
}
