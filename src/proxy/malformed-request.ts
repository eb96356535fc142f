/** Responds to malformed requests from callers and closes their connections. */
import http from 'node:http';
import type { Duplex } from 'node:stream';
import { VERDICT_HEADER } from '../model/verdict.js';
import type { CallerConnections } from './caller-connections.js';
import { errorBody } from './caller-protocol.js';

/** Time for which a caller may read the response to a malformed request, in milliseconds. */
const MALFORMED_LINGER_MS = 500;
/** Codes of the errors that Node's HTTP parser reports. */
const PARSER_CODE_PATTERN = /^HPE_/;
/** The request head did not arrive in time. */
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The caller closed its side of the connection within a request. */
const UNEXPECTED_EOF_CODE = 'HPE_INVALID_EOF_STATE';

/** Handles an error of a connection, reported by the parser or by the socket. */
export type ConnectionErrorListener = (error: NodeJS.ErrnoException, socket: Duplex) => void;

/**
 * Creates the listener for errors of a server's connections. Requests that were read before the
 * error are answered first: otherwise the connection would be closed before their responses, and
 * their callers would mistake the error for the response. Each request has a deadline, which bounds
 * the wait.
 */
export function createMalformedRequestListener(
  connections: CallerConnections,
): ConnectionErrorListener {
  /** Connections whose first error has been handled. */
  const handled = new WeakSet<Duplex>();
  return ({ code = '' }, socket) => {
    if (hasNoRecipient(code, connections.hasOpenRequest(socket))) {
      socket.destroy();
      return;
    }
    // The parser reports an error for each further chunk that arrives; a second response would
    // follow the first.
    if (handled.has(socket)) {
      return;
    }
    handled.add(socket);
    if (connections.hasOpenRequest(socket) && !connections.hasCompleteRequest(socket)) {
      socket.destroy();
      return;
    }
    connections.markClosing(socket);
    connections.onceAnswered(socket, () => {
      // A request with a malformed body is still open; its caller would mistake the error for the
      // response to it.
      if (!connections.hasOpenRequest(socket) && socket.writable) {
        socket.write(errorResponse(code));
      }
      connections.close(socket, 'malformed', MALFORMED_LINGER_MS);
    });
  };
}

/**
 * Whether no caller is left to respond to. A caller that closes its side gets no responses to open
 * requests either.
 */
function hasNoRecipient(code: string, hasOpenRequest: boolean): boolean {
  const isProtocolError = PARSER_CODE_PATTERN.test(code) || code === REQUEST_TIMEOUT_CODE;
  return !isProtocolError || (code === UNEXPECTED_EOF_CODE && hasOpenRequest);
}

function errorResponse(code: string): string {
  const status = statusOf(code);
  const body = errorBody('BAD_REQUEST', `the request is malformed: ${code}`, 'not-run');
  return (
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\n` +
    `${VERDICT_HEADER}: not-run\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`
  );
}

function statusOf(code: string): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return 431;
    case REQUEST_TIMEOUT_CODE:
      return 408;
    default:
      return 400;
  }
}
