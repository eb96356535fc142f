/** Error responses for connections on which no HTTP request could be parsed. */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { ApiError } from './api-error.js';

/** Maps an HTTP parser's error code to an API error. */
export function errorOfParser(code: string | undefined): ApiError {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return new ApiError('HEADERS_TOO_LARGE', 'the headers are too large');
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return new ApiError('REQUEST_TIMEOUT', 'the request took too long to arrive');
    default:
      return new ApiError('MALFORMED_REQUEST', 'expected an HTTP/1.1 request');
  }
}

/** Writes an error response to a raw socket and closes it. */
export function sendErrorOnSocket(socket: Duplex, error: ApiError): void {
  // Node removes its own error listener from the socket of a CONNECT request: without this listener, a
  // connection reset would end the process.
  socket.on('error', () => socket.destroy());
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const body = `${JSON.stringify(error.toBody())}\n`;
  const head = [
    `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status] ?? ''}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`, () => socket.destroy());
}
