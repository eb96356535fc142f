/** Sends an answer to a peer as relay frames. */
import { EventEmitter } from 'node:events';
import type { AnswerSink } from '../answer-forwarding.js';
import type { Answer } from '../call.js';
import { RelayBodyWriter } from './relay-body.js';
import { frameLoadOf, UNKNOWN_LOAD } from './relay-load.js';
import type { RequestLink } from './request-link.js';

/** Maximum length of an answer that is sent in a single frame, in bytes. */
const MAX_SINGLE_FRAME_ANSWER_BYTES = 16 * 1024;
/** Maximum time for which the head is delayed to share a frame with the body, in milliseconds. */
const MAX_BUFFERING_MS = 20;

/** Sends a single frame if the answer is small and completes in time; otherwise a head and body frames. */
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
    // Writes by the endpoint after the answer was abandoned are discarded.
    this.writer.on('error', () => undefined);
    this.bufferingTimer = setTimeout(() => this.flushBuffered(), MAX_BUFFERING_MS);
  }

  /** Does nothing: the head is sent with the first frame. */
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

  /** Calls `action` once the ended answer is fully sent, which may have to wait for credit from the receiver. */
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

  /** An answer of unknown length is streamed without buffering. */
  private get isBufferable(): boolean {
    const hasKnownLength = this.answer.contentLength !== undefined;
    return hasKnownLength && this.bufferedBytes <= MAX_SINGLE_FRAME_ANSWER_BYTES;
  }

  /** Sends the head and the buffered part of the body; false if the caller should wait for `drain`. */
  private flushBuffered(): boolean {
    this.sendHead(false, Buffer.alloc(0));
    const buffered = Buffer.concat(this.bufferedChunks.splice(0));
    return buffered.length === 0 || this.writer.write(buffered);
  }

  private sendHead(isHeld: boolean, bytes: Buffer): void {
    clearTimeout(this.bufferingTimer);
    this.headersSent = true;
    const { status, headers, contentLength, load, nodeTimes } = this.answer;
    const isSent = this.link.send({
      kind: 'answer',
      streamId: this.streamId,
      status,
      headers,
      contentLengthBytes: contentLength,
      ...frameLoadOf(load ?? UNKNOWN_LOAD, this.link.isStopping()),
      bodyMs: Math.round(nodeTimes?.bodyMs ?? 0),
      queueMs: Math.round(nodeTimes?.queueMs ?? 0),
      endpointMs: Math.round(nodeTimes?.endpointMs ?? 0),
      isHeld,
      bytes,
    });
    if (!isSent) {
      // The peer must not wait until the deadline for an answer that no frame can hold.
      this.link.send({ kind: 'cancel', streamId: this.streamId });
    }
  }
}
