/** An answer's way to a peer. */
import { EventEmitter } from 'node:events';
import type { AnswerSink } from '../answer-relay.js';
import type { Answer } from '../call.js';
import { RelayBodyWriter } from './relay-body.js';
import { frameLoadOf, UNKNOWN_LOAD } from './relay-load.js';
import type { RequestLink } from './request-link.js';

/** An answer of up to this length, in bytes, is sent as one frame where it is soon whole. */
const MAX_SINGLE_FRAME_ANSWER_BYTES = 16 * 1024;
/** How long an answer's head waits for the rest at most, in milliseconds. */
const MAX_BUFFERING_MS = 20;

/** An answer's way out as frames: one where it is small and soon whole, else a head and parts. */
export class FrameSink extends EventEmitter implements AnswerSink {
  headersSent = false;
  private bufferedChunks: Buffer[] = [];
  private bufferedBytes = 0;
  private readonly writer: RelayBodyWriter;
  private readonly bufferingTimer: NodeJS.Timeout;

  constructor(
    private readonly streamId: number,
    private readonly answer: Answer,
    private readonly link: RequestLink,
  ) {
    super();
    this.writer = new RelayBodyWriter((bytes, isLast) => {
      link.send({ kind: 'body', streamId, bytes, isLast });
    });
    this.writer.on('drain', () => this.emit('drain'));
    // What the endpoint still sends after the answer was given up goes nowhere.
    this.writer.on('error', () => undefined);
    this.bufferingTimer = setTimeout(() => this.flushBuffered(), MAX_BUFFERING_MS);
  }

  /** The head goes out with the first frame. */
  writeHead(): void {
    return;
  }

  write(chunk: Buffer): boolean {
    if (this.headersSent) {
      return this.writer.write(chunk);
    }
    this.bufferedChunks.push(chunk);
    this.bufferedBytes += chunk.length;
    return this.isBufferable || this.flushBuffered();
  }

  end(chunk?: Buffer): void {
    if (this.headersSent) {
      this.writer.end(chunk);
      return;
    }
    if (chunk !== undefined) {
      this.bufferedChunks.push(chunk);
    }
    const [first] = this.bufferedChunks;
    const hasSingleChunk = this.bufferedChunks.length === 1 && first !== undefined;
    this.sendHead(true, hasSingleChunk ? first : Buffer.concat(this.bufferedChunks));
  }

  addCredit(bytes: number): void {
    this.writer.addCredit(bytes);
  }

  /** Calls `action` once all of the ended answer is sent, which may take the receiver's credit. */
  whenSent(action: () => void): void {
    if (this.writer.writableEnded && !this.writer.writableFinished) {
      this.writer.once('finish', action);
    } else {
      action();
    }
  }

  destroy(): void {
    clearTimeout(this.bufferingTimer);
    this.writer.destroy();
  }

  /** An answer of unknown length is passed on as it comes. */
  private get isBufferable(): boolean {
    const hasKnownLength = this.answer.contentLength !== undefined;
    return hasKnownLength && this.bufferedBytes <= MAX_SINGLE_FRAME_ANSWER_BYTES;
  }

  /** Sends the head and what is held of the body; false when the receiver should be waited for. */
  private flushBuffered(): boolean {
    this.sendHead(false, Buffer.alloc(0));
    const buffered = Buffer.concat(this.bufferedChunks.splice(0));
    return buffered.length === 0 || this.writer.write(buffered);
  }

  private sendHead(isHeld: boolean, bytes: Buffer): void {
    clearTimeout(this.bufferingTimer);
    this.headersSent = true;
    const { status, headers, contentLength, load } = this.answer;
    this.link.send({
      kind: 'answer',
      streamId: this.streamId,
      status,
      headers,
      contentLengthBytes: contentLength,
      ...frameLoadOf(load ?? UNKNOWN_LOAD, this.link.isStopping()),
      isHeld,
      bytes,
    });
  }
}
