/**
 * Sends an answer as an HTTP response. A pipelined response is buffered here until its turn: Node
 * stops reading a connection while its queued responses hold more than a limit, and the time limits
 * of requests that the caller sends meanwhile would only start when they are read.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './answer-forwarding.js';

/**
 * Number of buffered bytes of a connection at which the sender of a response body is paused and
 * further requests of the connection are deferred.
 */
export const MAX_BUFFERED_BYTES = 16 * 1024;

interface ResponseHead {
  readonly status: number;
  readonly headers: string[];
}

/** Writes to a Node response once it is its turn on the connection. */
export class ResponseSink implements AnswerSink {
  private bufferedHead: ResponseHead | undefined;
  private readonly bufferedChunks: Buffer[] = [];
  private hasBufferedEnd = false;
  private readonly drainListeners = new Set<() => void>();

  /** `beforeHead` is called immediately before the head is sent. */
  constructor(
    private readonly response: ServerResponse,
    private readonly beforeHead: () => void,
  ) {
    if (response.socket === null) {
      response.once('socket', () => this.flushBuffered());
    }
  }

  /** Whether the response has begun, even if it is still buffered. */
  get headersSent(): boolean {
    return this.bufferedHead !== undefined || this.response.headersSent;
  }

  /** Bytes of the body that are buffered until the response's turn. */
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
