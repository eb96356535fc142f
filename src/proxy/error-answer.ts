/** Sends answers that report an error. */
import type { ServerResponse } from 'node:http';
import type { ErrorAnswer } from './caller-protocol.js';

/** Sends `answer` in full. Request data that still arrives is read and discarded. */
export function sendError(response: ServerResponse, answer: ErrorAnswer): void {
  response.writeHead(answer.status, [
    ...answer.headers,
    'Content-Length',
    String(Buffer.byteLength(answer.body)),
  ]);
  response.end(answer.body);
}
