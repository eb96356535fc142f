/**
 * One connection between two nodes, as frames. What is sent within one turn of the event loop goes out
 * in one write, and frames of bodies wait behind all others, so that a cancellation or a refusal does
 * not queue behind an upload.
 */
import type { Duplex } from 'node:stream';
import { FrameError } from '../../wire/frame-error.js';
import { FrameReader } from '../../wire/frame-reader.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import type { ConnectionLiveness } from './connection-liveness.js';
import {
  decodeRelayFrame,
  encodeRelayFrame,
  type RelayFrame,
  type StreamFrame,
} from './relay-frame.js';

/** Bytes that the socket may hold before frames of bodies wait here. */
const MAX_SOCKET_BACKLOG_BYTES = 64 * 1024;
/**
 * Time after which the peer is asked whether a frame has arrived, in milliseconds, where nothing was heard
 * since: the silence before it was sent says nothing of it.
 */
const PING_DELAY_MS = 100;
/**
 * Silence after which the peer is asked again, in milliseconds, once it has shown that all that was sent has
 * arrived: only what is still to come can be lost. On a connection with one request at a time, each question
 * costs both nodes a tenth of a request, and most endpoints take longer than the first one waits.
 */
const DELIVERED_PING_DELAY_MS = 350;

/** Gets what happens on a connection. */
export interface RelayConnectionObserver {
  /** Frames that arrived together, in their order. */
  received(frames: readonly StreamFrame[]): void;
  /** The connection is over; called once. */
  closed(): void;
}

/** Watches over a connection whose peer answers pings. */
export interface ConnectionWatch {
  readonly liveness: ConnectionLiveness;
  readonly scheduler: Scheduler;
  /** Told of each step once; see {@link ./link-pulse.ts}. */
  readonly onLivenessStep: (step: 'suspect' | 'silent' | 'lost', quietMs: number) => void;
}

/** A connection. */
export class RelayConnection {
  private readonly reader = new FrameReader();
  private urgentFrames: Buffer[] = [];
  private bodyFrames: Buffer[] = [];
  private isFlushDue = false;
  private isEnding = false;
  private isClosed = false;
  private cancelCheck: CancelTimer | undefined;
  /** When the first frame was sent since anything was heard; undefined where none was. */
  private unackedSinceMs: number | undefined;
  /** When the question was asked that went out behind all that was sent; undefined where none did. */
  private deliveryPingAtMs: number | undefined;
  /** Whether it was answered: all that was sent has arrived. */
  private isAllDelivered = false;

  /** `head` is what was already read of the socket. */
  constructor(
    private readonly socket: Duplex,
    head: Buffer,
    private readonly observer: RelayConnectionObserver,
    private readonly watch?: ConnectionWatch,
  ) {
    if (head.length > 0) {
      socket.unshift(head);
    }
    socket.on('data', (chunk: Buffer) => this.read(chunk));
    socket.on('drain', () => this.flush());
    socket.on('error', () => socket.destroy());
    socket.on('end', () => socket.end());
    socket.once('close', () => this.close());
  }

  /**
   * Sends a frame with the others of this turn of the event loop. False when a value does not fit its
   * field: nothing is sent then.
   */
  send(frame: RelayFrame): boolean {
    const bytes = tryEncode(frame);
    if (bytes === undefined) {
      return false;
    }
    if (frame.kind !== 'ping' && frame.kind !== 'acknowledgement') {
      this.recordSent();
    }
    const queue = frame.kind === 'body' ? this.bodyFrames : this.urgentFrames;
    queue.push(bytes);
    if (!this.isFlushDue) {
      this.isFlushDue = true;
      setImmediate(() => this.flush());
    }
    return true;
  }

  /** To be called now and then; `isOwed` is whether anything is awaited on the connection. */
  checkLiveness(isAwaiting: boolean): void {
    if (this.watch === undefined || this.isClosed) {
      return;
    }
    const { liveness, scheduler, onLivenessStep } = this.watch;
    const nowMs = scheduler.now();
    const step = liveness.check(isAwaiting && this.isPingDue(liveness, nowMs), nowMs);
    if (step === 'none' && this.cancelCheck === undefined) {
      return;
    }
    if (step === 'ask') {
      const pingSentAtMs = Math.floor(nowMs);
      this.deliveryPingAtMs = this.bodyFrames.length === 0 ? pingSentAtMs : undefined;
      this.send({ kind: 'ping', pingSentAtMs });
      this.flush();
    }
    this.scheduleCheck(this.watch);
    if (step !== 'ask' && step !== 'none') {
      onLivenessStep(step, liveness.idleMs(nowMs));
    }
  }

  /** Whether anything arrived at `atMs` or later; true where nobody watches. */
  hasReceivedSince(atMs: number): boolean {
    if (this.watch === undefined) {
      return true;
    }
    const { liveness, scheduler } = this.watch;
    const nowMs = scheduler.now();
    return nowMs - liveness.idleMs(nowMs) >= atMs;
  }

  /** Another connection to, or from, the same process was opened. */
  confirmPeerAlive(): void {
    if (this.watch !== undefined) {
      this.watch.liveness.confirmPeerAlive(this.watch.scheduler.now());
      this.scheduleCheck(this.watch);
    }
  }

  /** Sends what waits, then closes; takes as long as the peer needs to read it. */
  end(): void {
    this.isEnding = true;
    this.flush();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private isPingDue(liveness: ConnectionLiveness, nowMs: number): boolean {
    if (this.isAllDelivered) {
      return liveness.idleMs(nowMs) >= DELIVERED_PING_DELAY_MS;
    }
    return this.unackedSinceMs === undefined || nowMs - this.unackedSinceMs >= PING_DELAY_MS;
  }

  private recordSent(): void {
    this.deliveryPingAtMs = undefined;
    this.isAllDelivered = false;
    this.unackedSinceMs ??= this.watch?.scheduler.now();
  }

  /** What arrived meanwhile is read before the look. */
  private scheduleCheck({ liveness, scheduler }: ConnectionWatch): void {
    this.cancelCheck?.();
    const delayMs = this.isClosed ? undefined : liveness.msToNextCheck(scheduler.now());
    this.cancelCheck =
      delayMs === undefined
        ? undefined
        : scheduler.schedule(Math.ceil(delayMs), () =>
            setImmediate(() => this.checkLiveness(false)),
          );
  }

  private flush(): void {
    this.isFlushDue = false;
    if (this.isClosed || this.socket.writableEnded) {
      return;
    }
    const due = this.urgentFrames;
    this.urgentFrames = [];
    let dueBytes = this.socket.writableLength + byteLengthOf(due);
    while (this.bodyFrames.length > 0 && dueBytes < MAX_SOCKET_BACKLOG_BYTES) {
      const next = this.bodyFrames.shift() ?? Buffer.alloc(0);
      due.push(next);
      dueBytes += next.length;
    }
    if (due.length > 0) {
      const bytes = due.length === 1 ? due[0] : Buffer.concat(due);
      this.socket.write(bytes, () => this.flushBodies());
    }
    if (this.isEnding && this.bodyFrames.length === 0) {
      this.socket.end();
    }
  }

  /** Bodies that did not fit go on once the bytes before them are out, whether or not a drain is told. */
  private flushBodies(): void {
    if (this.bodyFrames.length > 0) {
      this.flush();
    }
  }

  private read(chunk: Buffer): void {
    const frames: StreamFrame[] = [];
    this.watch?.liveness.recordReceived(this.watch.scheduler.now());
    this.unackedSinceMs = undefined;
    try {
      this.reader.push(chunk);
      for (let body = this.reader.next(); body !== undefined; body = this.reader.next()) {
        const frame = decodeRelayFrame(body);
        if (frame.kind === 'ping') {
          this.send({ kind: 'acknowledgement', pingSentAtMs: frame.pingSentAtMs });
        } else if (frame.kind === 'acknowledgement') {
          this.handleAcknowledgement(frame.pingSentAtMs);
        } else {
          frames.push(frame);
        }
      }
    } catch (err) {
      if (!(err instanceof FrameError)) {
        throw err;
      }
      this.socket.destroy();
    }
    this.observer.received(frames);
  }

  private handleAcknowledgement(pingSentAtMs: number): void {
    if (this.watch !== undefined) {
      this.isAllDelivered ||= pingSentAtMs === this.deliveryPingAtMs;
      this.watch.liveness.recordAcknowledgement(pingSentAtMs, this.watch.scheduler.now());
      this.scheduleCheck(this.watch);
    }
  }

  private close(): void {
    this.isClosed = true;
    this.cancelCheck?.();
    this.observer.closed();
  }
}

function tryEncode(frame: RelayFrame): Buffer | undefined {
  try {
    return encodeRelayFrame(frame);
  } catch (err) {
    if (err instanceof FrameError) {
      return undefined;
    }
    throw err;
  }
}

function byteLengthOf(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, { length }) => sum + length, 0);
}
