/** An answer's way out as an HTTP response. */
import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './answer-relay.js';

/** Passes everything to a response of Node's. */
export class ResponseSink implements AnswerSink {
  constructor(private readonly response: ServerResponse) {}

  get headersSent(): boolean {
    return this.response.headersSent;
  }

  writeHead(status: number, headers: string[], contentLength: number | undefined): void {
    if (contentLength !== undefined) {
      headers.push('Content-Length', String(contentLength));
    }
    this.response.writeHead(status, headers);
  }

  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  end(chunk?: Buffer): void {
    this.response.end(chunk);
  }

  on(event: 'drain', listener: () => void): void {
    this.response.on(event, listener);
  }

  off(event: 'drain', listener: () => void): void {
    this.response.off(event, listener);
  }
}
