/** Servers that send without end, and the forms of what they send. */
import type { Socket } from 'node:net';
import { rawAnswer } from '../proxy/rig.js';

const DRIP_INTERVAL_MS = 10;
const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

/** How an answer begins, and what is then sent again and again. */
export interface EndlessForm {
  readonly form: string;
  readonly first: string;
  readonly unit: string;
  /** Whether the caller gets a complete answer nevertheless. */
  readonly isAnswered?: boolean;
}

export const ENDLESS_FORMS: readonly EndlessForm[] = [
  { form: 'empty lines before the head', first: '', unit: '\r\n' },
  { form: 'interim answers', first: '', unit: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  { form: 'a status line', first: 'HTTP/1.1 200 O', unit: 'K' },
  { form: 'header lines', first: OK, unit: 'a: b\r\n' },
  { form: 'one header value', first: `${OK}a: `, unit: 'b' },
  { form: 'digits of the first chunk size', first: CHUNKED, unit: '0' },
  { form: 'digits of a later chunk size', first: `${CHUNKED}5\r\nhello\r\n`, unit: '0' },
  { form: 'a chunk extension', first: `${CHUNKED}5;a=`, unit: 'b' },
  { form: 'trailers', first: `${CHUNKED}5\r\nhello\r\n0\r\n`, unit: 'a: b\r\n' },
  { form: 'bytes behind a whole answer', first: rawAnswer('ran'), unit: 'x', isAnswered: true },
  {
    form: 'a body of a refusal',
    first: `HTTP/1.1 503 No\r\nx-not-started: 1\r\nTransfer-Encoding: chunked\r\n\r\n`,
    unit: '1\r\nx\r\n',
  },
];

/** Sends without end, as fast as the peer reads. */
export function flood(socket: Socket, first: string, unit: string): void {
  const block = unit.repeat(Math.ceil(32_768 / unit.length));
  const send = (): void => {
    while (!socket.destroyed && socket.write(block)) {
      // Continues until the socket's buffer is full.
    }
  };
  socket.write(first);
  socket.on('drain', send);
  send();
}

/** Sends without end, a little at a time. */
export function drip(socket: Socket, first: string, unit: string): void {
  socket.write(first);
  const timer = setInterval(() => socket.write(unit), DRIP_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}
