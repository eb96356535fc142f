/**
 * An answer's way out as an HTTP response. One that comes behind others on its connection is kept here until its turn:
 * Node stops reading a connection while responses that wait for their turn hold more than a bound, and the time of what
 * its caller sends meanwhile would count from its reading.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './answer-forwarding.js';

/**
 * Bytes of answers that wait for their turn on a connection before the sender of a body is asked to wait, and before
 * the next requests of the connection do.
 */
export const MAX_WAITING_BYTES = 16 * 1024;

interface ResponseHead {
  readonly status: number;
  readonly headers: string[];
}

/** Passes everything to a response of Node's once its turn has come. */
export class ResponseSink implements AnswerSink {
  private waitingHead: ResponseHead | undefined;
  private readonly waitingChunks: Buffer[] = [];
  private isWaitingEnded = false;
  private readonly drainListeners = new Set<() => void>();

  /** `beforeHead` is called right before the head goes out. */
  constructor(
    private readonly response: ServerResponse,
    private readonly beforeHead: () => void,
  ) {
    if (response.socket === null) {
      response.once('socket', () => this.takeTurn());
    }
  }

  /** Whether the answer has begun, be it that it still waits for its turn. */
  get headersSent(): boolean {
    return this.waitingHead !== undefined || this.response.headersSent;
  }

  /** Bytes of the body that wait for their turn. */
  get waitingBytes(): number {
    return this.waitingChunks.reduce((bytes, { length }) => bytes + length, 0);
  }

  writeHead(status: number, headers: string[], contentLength: number | undefined): void {
    if (contentLength !== undefined) {
      headers.push('Content-Length', String(contentLength));
    }
    if (this.isTurn) {
      this.sendHead({ status, headers });
    } else {
      this.waitingHead = { status, headers };
    }
  }

  write(chunk: Buffer): boolean {
    if (this.isTurn) {
      return this.response.write(chunk);
    }
    this.waitingChunks.push(chunk);
    return this.waitingBytes < MAX_WAITING_BYTES;
  }

  end(chunk?: Buffer): void {
    if (this.isTurn) {
      this.response.end(chunk);
      return;
    }
    if (chunk !== undefined) {
      this.waitingChunks.push(chunk);
    }
    this.isWaitingEnded = true;
  }

  on(event: 'drain', listener: () => void): void {
    this.drainListeners.add(listener);
    this.response.on(event, listener);
  }

  off(event: 'drain', listener: () => void): void {
    this.drainListeners.delete(listener);
    this.response.off(event, listener);
  }

  private get isTurn(): boolean {
    return this.response.socket !== null;
  }

  private sendHead({ status, headers }: ResponseHead): void {
    this.beforeHead();
    this.response.writeHead(status, headers);
  }

  private takeTurn(): void {
    if (this.waitingHead === undefined) {
      return;
    }
    const chunks = this.waitingChunks.splice(0);
    this.sendHead(this.waitingHead);
    if (this.isWaitingEnded) {
      this.response.end(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
      return;
    }
    chunks.forEach((chunk) => this.response.write(chunk));
    this.drainListeners.forEach((listener) => listener());
  }
}
