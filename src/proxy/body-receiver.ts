/** Receives a caller's request body. Small bodies are buffered in full, so that they can be sent again. */
import type { IncomingMessage } from 'node:http';
import type { ProxyLimits } from './proxy-limits.js';
import { EMPTY_BODY, BufferedBody, StreamedBody, type RequestBody } from './request-body.js';
import { BodyTooLargeError } from './request-error.js';

/** Maximum number of bytes of a streamed body that are read before the body is sent. */
const MAX_READ_AHEAD_BYTES = 1024 * 1024;

/** Memory budget of a node for bodies that it buffers. */
export class BodyBufferBudget {
  private reservedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Reserves `bytes`; returns false when they exceed the remaining budget. */
  reserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.maxBytes) {
      return false;
    }
    this.reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}

/** What one request has reserved of the budget. */
class BodyReservation {
  private bytes = 0;
  private isReleased = false;

  constructor(private readonly budget: BodyBufferBudget) {}

  /** Reserves `bytes` more; returns false when they exceed the remaining budget, or the request is over. */
  add(bytes: number): boolean {
    const isReserved = !this.isReleased && this.budget.reserve(bytes);
    this.bytes += isReserved ? bytes : 0;
    return isReserved;
  }

  release(): void {
    this.isReleased = true;
    this.budget.release(this.bytes);
    this.bytes = 0;
  }
}

/** Receives the body once it can be forwarded; not called when the caller aborts before. */
export type BodyConsumer = (body: RequestBody) => void;

/**
 * Receives the body of `request`. Returns a function that releases the reserved memory, to be called
 * once when the request is over. Throws {@link BodyTooLargeError} for a declared length over the limit;
 * forwarding of a chunked body is aborted when it exceeds the limit.
 */
export function receiveBody(
  request: IncomingMessage,
  limits: ProxyLimits,
  bufferBudget: BodyBufferBudget,
  consume: BodyConsumer,
): () => void {
  const length = declaredLength(request);
  if (length === 0) {
    const isDeclared = request.headers['content-length'] !== undefined;
    consume(isDeclared ? new BufferedBody(Buffer.alloc(0)) : EMPTY_BODY);
    return () => undefined;
  }
  if (length !== undefined && length > limits.maxBodyBytes) {
    throw new BodyTooLargeError(`the request body exceeds ${limits.maxBodyBytes} bytes`);
  }
  const reservation = new BodyReservation(bufferBudget);
  const isSmall = length === undefined || length <= limits.maxReplayBodyBytes;
  let streamed: StreamedBody | undefined;
  const stream = (chunks: readonly Buffer[]): void => {
    const maxAheadBytes = Math.min(length ?? Infinity, MAX_READ_AHEAD_BYTES);
    const aheadBytes = reservation.add(maxAheadBytes) ? maxAheadBytes : 0;
    streamed = new StreamedBody(request, length, chunks, limits.maxBodyBytes, aheadBytes);
    consume(streamed);
  };
  if (isSmall && reservation.add(Math.min(length ?? Infinity, limits.maxReplayBodyBytes))) {
    bufferBody(request, limits.maxReplayBodyBytes, consume, stream);
  } else {
    stream([]);
  }
  return () => {
    reservation.release();
    streamed?.discard();
  };
}

/** The length that the headers declare: 0 without a body, undefined for a chunked body. */
function declaredLength(request: IncomingMessage): number | undefined {
  if (request.headers['transfer-encoding'] !== undefined) {
    return undefined;
  }
  return Number(request.headers['content-length'] ?? 0);
}

/** Buffers the body until its end; a body that exceeds `maxBytes` is passed to `stream` with the chunks read so far. */
function bufferBody(
  request: IncomingMessage,
  maxBytes: number,
  consume: BodyConsumer,
  stream: (chunks: readonly Buffer[]) => void,
): void {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk);
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      request.off('data', onData);
      request.off('end', onEnd);
      request.pause();
      stream(chunks);
    }
  };
  const onEnd = (): void => {
    const [first] = chunks;
    consume(new BufferedBody(chunks.length === 1 && first ? first : Buffer.concat(chunks)));
  };
  request.on('data', onData);
  request.once('end', onEnd);
}
