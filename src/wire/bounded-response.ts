/** Applies {@link ResponseOverhead} to the response of an HTTP request, and discards bodies that nobody reads. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { ResponseOverhead, type OverheadFault, type ResponseTimes } from './response-overhead.js';

/** Bytes of an unused body that are read so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** For callers with timers of their own. */
const UNLIMITED_TIMES: ResponseTimes = { deadlineAtMs: Infinity, bodyIdleTimeoutMs: Infinity };
/** Time in which the rest of an unused body must arrive, in milliseconds. */
const MAX_DISCARD_MS = 1_000;

/**
 * Destroys the request or its response, after a call of `onFault`, if the response exceeds its bounds. Must be called
 * before other listeners for the response are added.
 */
export function boundResponse(
  request: ClientRequest,
  times: ResponseTimes = UNLIMITED_TIMES,
  onFault?: (fault: OverheadFault) => void,
): void {
  const overhead = new ResponseOverhead(times);
  let destroyable: ClientRequest | IncomingMessage = request;
  request.once('socket', (socket: Socket) => {
    const onRead = (chunk: Buffer): void => {
      const fault = overhead.recordRead(chunk.length, MACHINE_CLOCK.now());
      if (fault !== undefined) {
        socket.off('data', onRead);
        onFault?.(fault);
        destroyable.destroy(new Error(`the response was cut off: ${fault}`));
      }
    };
    // The parser has registered its listener before, so that it has handled each chunk.
    socket.on('data', onRead);
    request.once('close', () => socket.off('data', onRead));
  });
  request.once('response', (message) => {
    destroyable = message;
    overhead.recordHead();
    countBody(message, (bytes) => overhead.recordBody(bytes));
  });
}

/** Reads a body that is not forwarded, and closes its connection if the body is long or takes more than `maxMs`. */
export function discardBody(body: Readable, maxMs = MAX_DISCARD_MS): void {
  let discardedBytes = 0;
  const timer = setTimeout(() => body.destroy(), maxMs);
  body.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      body.destroy();
    }
  });
  body.on('error', () => undefined);
  body.once('close', () => clearTimeout(timer));
}

/** Counts what the parser adds to the body; a `data` listener would start the flow before the reader is attached. */
function countBody(message: IncomingMessage, record: (bytes: number) => void): void {
  const push = message.push.bind(message);
  message.push = (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
    if (chunk !== null) {
      record(chunk.length);
    }
    return push(chunk, encoding);
  };
}
