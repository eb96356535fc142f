/**
 * One connection between two nodes, as frames. What is sent within one turn of the event loop goes out
 * in one write, and frames of bodies wait behind all others, so that a cancellation or a refusal does
 * not queue behind an upload.
 */
import type { Duplex } from 'node:stream';
import { FrameError } from '../../wire/frame-error.js';
import { FrameReader } from '../../wire/frame-reader.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import type { LinkPulse } from './link-pulse.js';
import {
  decodeRelayFrame,
  encodeRelayFrame,
  type RelayFrame,
  type StreamFrame,
} from './relay-frame.js';

/** Bytes that the socket may hold before frames of bodies wait here. */
const MAX_SOCKET_BACKLOG_BYTES = 64 * 1024;

/** Gets what happens on a connection. */
export interface RelayConnectionObserver {
  /** Frames that arrived together, in their order. */
  received(frames: readonly StreamFrame[]): void;
  /** The connection is over; called once. */
  closed(): void;
}

/** Watches over a connection whose peer answers pings. */
export interface ConnectionWatch {
  readonly pulse: LinkPulse;
  readonly scheduler: Scheduler;
  /** Told of each step once; see {@link ./link-pulse.ts}. */
  readonly onSilence: (step: 'suspect' | 'silent' | 'lost', quietMs: number) => void;
}

/** A connection. */
export class RelayConnection {
  private readonly reader = new FrameReader();
  private urgent: Buffer[] = [];
  private bodies: Buffer[] = [];
  private isFlushDue = false;
  private isEnding = false;
  private isClosed = false;
  private cancelLook: CancelTimer | undefined;

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
    const queue = frame.kind === 'body' ? this.bodies : this.urgent;
    queue.push(bytes);
    if (!this.isFlushDue) {
      this.isFlushDue = true;
      setImmediate(() => this.flush());
    }
    return true;
  }

  /** To be called now and then; `isOwed` is whether anything is awaited on the connection. */
  look(isOwed: boolean): void {
    if (this.watch === undefined || this.isClosed) {
      return;
    }
    const { pulse, scheduler, onSilence } = this.watch;
    const nowMs = scheduler.now();
    const step = pulse.look(isOwed, nowMs);
    if (step === 'ask') {
      this.send({ kind: 'ping', askedAtMs: Math.floor(nowMs) });
      this.flush();
    }
    this.lookAgainInTime(this.watch);
    if (step !== 'ask' && step !== 'none') {
      onSilence(step, pulse.quietForMs(nowMs));
    }
  }

  /** Whether anything arrived at `atMs` or later; true where nobody watches. */
  hasHeardSince(atMs: number): boolean {
    if (this.watch === undefined) {
      return true;
    }
    const { pulse, scheduler } = this.watch;
    const nowMs = scheduler.now();
    return nowMs - pulse.quietForMs(nowMs) >= atMs;
  }

  /** Another connection to, or from, the same process was opened. */
  isProvenAlive(): void {
    if (this.watch !== undefined) {
      this.watch.pulse.proven(this.watch.scheduler.now());
      this.lookAgainInTime(this.watch);
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

  /** What arrived meanwhile is read before the look. */
  private lookAgainInTime({ pulse, scheduler }: ConnectionWatch): void {
    this.cancelLook?.();
    const delayMs = this.isClosed ? undefined : pulse.msToNextLook(scheduler.now());
    this.cancelLook =
      delayMs === undefined
        ? undefined
        : scheduler.schedule(Math.ceil(delayMs), () => setImmediate(() => this.look(false)));
  }

  private flush(): void {
    this.isFlushDue = false;
    if (this.isClosed || this.socket.writableEnded) {
      return;
    }
    const due = this.urgent;
    this.urgent = [];
    let dueBytes = this.socket.writableLength + byteLengthOf(due);
    while (this.bodies.length > 0 && dueBytes < MAX_SOCKET_BACKLOG_BYTES) {
      const next = this.bodies.shift() ?? Buffer.alloc(0);
      due.push(next);
      dueBytes += next.length;
    }
    if (due.length > 0) {
      const bytes = due.length === 1 ? due[0] : Buffer.concat(due);
      this.socket.write(bytes, () => this.flushRest());
    }
    if (this.isEnding && this.bodies.length === 0) {
      this.socket.end();
    }
  }

  /** Bodies that did not fit go on once the bytes before them are out, whether or not a drain is told. */
  private flushRest(): void {
    if (this.bodies.length > 0) {
      this.flush();
    }
  }

  private read(chunk: Buffer): void {
    const frames: StreamFrame[] = [];
    this.watch?.pulse.heard(this.watch.scheduler.now());
    try {
      this.reader.push(chunk);
      for (let body = this.reader.next(); body !== undefined; body = this.reader.next()) {
        const frame = decodeRelayFrame(body);
        if (frame.kind === 'ping') {
          this.send({ kind: 'acknowledgement', askedAtMs: frame.askedAtMs });
        } else if (frame.kind === 'acknowledgement') {
          this.takeAcknowledgement(frame.askedAtMs);
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

  private takeAcknowledgement(askedAtMs: number): void {
    if (this.watch !== undefined) {
      this.watch.pulse.answered(askedAtMs, this.watch.scheduler.now());
      this.lookAgainInTime(this.watch);
    }
  }

  private close(): void {
    this.isClosed = true;
    this.cancelLook?.();
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
