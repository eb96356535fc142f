/** Receives a caller's request body: small ones whole, so that they can be sent again. */
import type { IncomingMessage } from 'node:http';
import type { ProxyLimits } from './proxy-limits.js';
import { EMPTY_BODY, BufferedBody, StreamedBody, type RequestBody } from './request-body.js';
import { BodyTooLargeError } from './request-error.js';

/** Bytes of bodies that the node holds in all. */
export class HeldBytes {
  private used = 0;

  constructor(private readonly maxBytes: number) {}

  /** Reserves `bytes`; false when there is no room. */
  reserve(bytes: number): boolean {
    if (this.used + bytes > this.maxBytes) {
      return false;
    }
    this.used += bytes;
    return true;
  }

  release(bytes: number): void {
    this.used -= bytes;
  }
}

/** Gets the body once it can be sent on; not called when the caller breaks off before. */
export type BodyConsumer = (body: RequestBody) => void;

/**
 * Receives the body of `request`. Returns a function that gives the reserved memory back, to be
 * called once when the request is over. Throws {@link BodyTooLargeError} for a declared length over
 * the limit; a chunked body over it is broken off while it is sent on.
 */
export function receiveBody(
  request: IncomingMessage,
  limits: ProxyLimits,
  heldBytes: HeldBytes,
  consume: BodyConsumer,
): () => void {
  const length = declaredLength(request);
  if (length === 0) {
    const isDeclared = request.headers['content-length'] !== undefined;
    consume(isDeclared ? new BufferedBody(Buffer.alloc(0)) : EMPTY_BODY);
    return () => undefined;
  }
  if (length !== undefined && length > limits.maxBodyBytes) {
    throw new BodyTooLargeError(`the body has more than ${limits.maxBodyBytes} bytes`);
  }
  const reserved = Math.min(length ?? Infinity, limits.maxReplayBodyBytes);
  const isSmall = length === undefined || length <= limits.maxReplayBodyBytes;
  if (!isSmall || !heldBytes.reserve(reserved)) {
    consume(new StreamedBody(request, length, [], limits.maxBodyBytes));
    return () => undefined;
  }
  collect(request, length, limits, consume);
  return () => heldBytes.release(reserved);
}

/** Length by header: 0 without a body, undefined for a chunked one. */
function declaredLength(request: IncomingMessage): number | undefined {
  if (request.headers['transfer-encoding'] !== undefined) {
    return undefined;
  }
  return Number(request.headers['content-length'] ?? 0);
}

/** Reads until the end, or until the body proves too large to be held. */
function collect(
  request: IncomingMessage,
  length: number | undefined,
  limits: ProxyLimits,
  consume: BodyConsumer,
): void {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  const take = (chunk: Buffer): void => {
    chunks.push(chunk);
    receivedBytes += chunk.length;
    if (receivedBytes > limits.maxReplayBodyBytes) {
      request.off('data', take);
      request.off('end', finish);
      request.pause();
      consume(new StreamedBody(request, length, chunks, limits.maxBodyBytes));
    }
  };
  const finish = (): void => {
    const [first] = chunks;
    consume(new BufferedBody(chunks.length === 1 && first ? first : Buffer.concat(chunks)));
  };
  request.on('data', take);
  request.once('end', finish);
}
