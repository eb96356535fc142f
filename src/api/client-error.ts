/** Answers to connections on which no HTTP request could be read. */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { ApiError } from './api-error.js';

/** The error that an HTTP parser's failure stands for. */
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

/** Answers on a bare socket and closes it. */
export function sendErrorOnSocket(socket: Duplex, error: ApiError): void {
  // Node leaves the socket of a CONNECT to its new owner: a reset would end the process.
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
