/** An answer's way to a peer. */
import { EventEmitter } from 'node:events';
import type { AnswerSink } from '../answer-forwarding.js';
import type { Answer } from '../call.js';
import { RelayBodyWriter } from './relay-body.js';
import { frameLoadOf, NO_LOAD } from './relay-load.js';
import type { RequestLink } from './request-link.js';

/** An answer of up to this length, in bytes, is sent as one frame where it is soon whole. */
const MAX_HELD_ANSWER_BYTES = 16 * 1024;
/** How long an answer's head waits for the rest at most, in milliseconds. */
const MAX_HOLD_MS = 20;

/** An answer's way out as frames: one where it is small and soon whole, else a head and parts. */
export class FrameSink extends EventEmitter implements AnswerSink {
  headersSent = false;
  private heldChunks: Buffer[] = [];
  private heldBytes = 0;
  private readonly writer: RelayBodyWriter;
  private readonly holdTimer: NodeJS.Timeout;

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
    this.holdTimer = setTimeout(() => this.release(), MAX_HOLD_MS);
  }

  /** The head goes out with the first frame. */
  writeHead(): void {
    return;
  }

  write(chunk: Buffer): boolean {
    if (this.headersSent) {
      return this.writer.write(chunk);
    }
    this.heldChunks.push(chunk);
    this.heldBytes += chunk.length;
    return this.isHoldable || this.release();
  }

  end(chunk?: Buffer): void {
    if (this.headersSent) {
      this.writer.end(chunk);
      return;
    }
    if (chunk !== undefined) {
      this.heldChunks.push(chunk);
    }
    const [first] = this.heldChunks;
    const isOne = this.heldChunks.length === 1 && first !== undefined;
    this.sendHead(true, isOne ? first : Buffer.concat(this.heldChunks));
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
    clearTimeout(this.holdTimer);
    this.writer.destroy();
  }

  /** An answer of unknown length is passed on as it comes. */
  private get isHoldable(): boolean {
    const isFramed = this.answer.contentLength !== undefined;
    return isFramed && this.heldBytes <= MAX_HELD_ANSWER_BYTES;
  }

  /** Sends the head and what is held of the body; false when the receiver should be waited for. */
  private release(): boolean {
    this.sendHead(false, Buffer.alloc(0));
    const held = Buffer.concat(this.heldChunks.splice(0));
    return held.length === 0 || this.writer.write(held);
  }

  private sendHead(isHeld: boolean, bytes: Buffer): void {
    clearTimeout(this.holdTimer);
    this.headersSent = true;
    const { status, headers, contentLength, load } = this.answer;
    this.link.send({
      kind: 'answer',
      streamId: this.streamId,
      status,
      headers,
      contentLengthBytes: contentLength,
      ...frameLoadOf(load ?? NO_LOAD, this.link.isStopping()),
      isHeld,
      bytes,
    });
  }
}
