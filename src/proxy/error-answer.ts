/** Sends answers that report an error. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ErrorAnswer } from './caller-protocol.js';

/**
 * Time for which the rest of a refused request's body is read and dropped, in milliseconds. A connection
 * that is closed with bytes unread is reset, and the reset takes an answer away that its caller has not
 * read yet.
 */
export const LINGER_MS = 150;

/** Sends `answer` whole; where the body of `request` is still arriving, the connection closes later. */
export function sendError(
  response: ServerResponse,
  request: IncomingMessage,
  answer: ErrorAnswer,
): void {
  response.writeHead(answer.status, [
    ...answer.headers,
    'Content-Length',
    String(Buffer.byteLength(answer.body)),
  ]);
  if (request.complete) {
    response.end(answer.body);
    return;
  }
  response.write(answer.body);
  endAfter(response, request);
}

/** Ends the response once the request has arrived, or after a while. */
function endAfter(response: ServerResponse, request: IncomingMessage): void {
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, LINGER_MS);
  response.once('close', () => clearTimeout(timer));
  request.once('end', end);
  request.resume();
}
