/** Answers what callers send that is no request, and closes their connections. */
import http from 'node:http';
import type { Duplex } from 'node:stream';
import { VERDICT_HEADER } from '../model/verdict.js';
import type { CallerConnections } from './caller-connections.js';
import { errorBody } from './caller-protocol.js';

/** Time for which a caller may read what it was told whose bytes were no request, in milliseconds. */
const MALFORMED_LINGER_MS = 500;
/** Codes of the errors that Node's HTTP parser reports. */
const PARSER_CODE = /^HPE_/;
/** A head that has not arrived in time. */
const LATE_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The caller ended its side within a request. */
const ENDED_CODE = 'HPE_INVALID_EOF_STATE';

/** Takes an error of a connection, be it of the parser or of the socket. */
export type ConnectionErrorListener = (error: NodeJS.ErrnoException, socket: Duplex) => void;

/**
 * Makes the listener for the errors of a server's connections. Requests that were read before are
 * answered first: the connection would close under them, and their callers would take the error for
 * their answer. Each has a deadline, which bounds the wait.
 */
export function createMalformedListener(connections: CallerConnections): ConnectionErrorListener {
  /** Connections whose first error has been taken. */
  const taken = new WeakSet<Duplex>();
  return ({ code = '' }, socket) => {
    if (isLost(code, connections.hasOpenRequest(socket))) {
      socket.destroy();
      return;
    }
    // The parser reports each further piece that arrives: a second answer would follow the first.
    if (taken.has(socket)) {
      return;
    }
    taken.add(socket);
    if (connections.hasOpenRequest(socket) && !connections.hasCompleteRequest(socket)) {
      socket.destroy();
      return;
    }
    connections.markClosing(socket);
    connections.onceAnswered(socket, () => {
      // A request whose body is broken is still open: it would take the answer for its own.
      if (!connections.hasOpenRequest(socket) && socket.writable) {
        socket.write(answerTo(code));
      }
      connections.close(socket, 'malformed', MALFORMED_LINGER_MS);
    });
  };
}

/** Whether nobody is left to be told; who ends its side gets no answers to open requests either. */
function isLost(code: string, hasOpenRequest: boolean): boolean {
  const isMalformed = PARSER_CODE.test(code) || code === LATE_CODE;
  return !isMalformed || (code === ENDED_CODE && hasOpenRequest);
}

function answerTo(code: string): string {
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
    case LATE_CODE:
      return 408;
    default:
      return 400;
  }
}
