/**
 * An answer's way out as an HTTP response. One that comes behind others on its connection is kept here until its turn:
 * Node stops reading a connection while responses that wait for their turn hold more than a bound, and the time of what
 * its caller sends meanwhile would count from its reading.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './answer-relay.js';

/**
 * Bytes of answers that wait for their turn on a connection before the sender of a body is asked to wait, and before
 * the next requests of the connection do.
 */
export const MAX_BUFFERED_BYTES = 16 * 1024;

interface ResponseHead {
  readonly status: number;
  readonly headers: string[];
}

/** Passes everything to a response of Node's once its turn has come. */
export class ResponseSink implements AnswerSink {
  private bufferedHead: ResponseHead | undefined;
  private readonly bufferedChunks: Buffer[] = [];
  private hasBufferedEnd = false;
  private readonly drainListeners = new Set<() => void>();

  /** `beforeHead` is called right before the head goes out. */
  constructor(
    private readonly response: ServerResponse,
    private readonly beforeHead: () => void,
  ) {
    if (response.socket === null) {
      response.once('socket', () => this.flushBuffered());
    }
  }

  /** Whether the answer has begun, be it that it still waits for its turn. */
  get headersSent(): boolean {
    return this.bufferedHead !== undefined || this.response.headersSent;
  }

  /** Bytes of the body that wait for their turn. */
  get bufferedBytes(): number {
    return this.bufferedChunks.reduce((bytes, { length }) => bytes + length, 0);
  }

  writeHead(status: number, headers: string[], contentLength: number | undefined): void {
    if (contentLength !== undefined) {
      headers.push('Content-Length', String(contentLength));
    }
    if (this.hasSocket) {
      this.sendHead({ status, headers });
    } else {
      this.bufferedHead = { status, headers };
    }
  }

  write(chunk: Buffer): boolean {
    if (this.hasSocket) {
      return this.response.write(chunk);
    }
    this.bufferedChunks.push(chunk);
    return this.bufferedBytes < MAX_BUFFERED_BYTES;
  }

  end(chunk?: Buffer): void {
    if (this.hasSocket) {
      this.response.end(chunk);
      return;
    }
    if (chunk !== undefined) {
      this.bufferedChunks.push(chunk);
    }
    this.hasBufferedEnd = true;
  }

  on(event: 'drain', listener: () => void): void {
    this.drainListeners.add(listener);
    this.response.on(event, listener);
  }

  off(event: 'drain', listener: () => void): void {
    this.drainListeners.delete(listener);
    this.response.off(event, listener);
  }

  private get hasSocket(): boolean {
    return this.response.socket !== null;
  }

  private sendHead({ status, headers }: ResponseHead): void {
    this.beforeHead();
    this.response.writeHead(status, headers);
  }

  private flushBuffered(): void {
    if (this.bufferedHead === undefined) {
      return;
    }
    const chunks = this.bufferedChunks.splice(0);
    this.sendHead(this.bufferedHead);
    if (this.hasBufferedEnd) {
      this.response.end(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
      return;
    }
    chunks.forEach((chunk) => this.response.write(chunk));
    this.drainListeners.forEach((listener) => listener());
  }
}
