/**
 * Framed connection between two nodes. Frames sent within one event loop iteration are combined into a single
 * write, and body frames are queued behind all others, so that a cancellation or a refusal does not wait for an
 * upload. Bodies take turns; see {@link BodySchedule}.
 */
import { PROCESSOR_TIME, type WorkKind } from '../../clock/processor-time.js';
import type { Duplex } from 'node:stream';
import { FrameError } from '../../wire/frame-error.js';
import { FrameReader } from '../../wire/frame-reader.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { BodySchedule } from './body-schedule.js';
import type { ConnectionLiveness } from './link-pulse.js';
import {
  decodeRelayFrame,
  encodeRelayFrame,
  type FreeSlotsFrame,
  type RelayFrame,
  type SlotDeclineFrame,
  type SlotOfferFrame,
  type StreamFrame,
} from './relay-frame.js';

/** Kinds of frames whose delivery is not checked. */
const UNTRACKED_KINDS: ReadonlySet<RelayFrame['kind']> = new Set([
  'ping',
  'acknowledgement',
  'free-slots',
]);
/**
 * Number of bytes queued in the socket from which on body frames are queued by the connection, which decides late
 * whose turn it is: one frame of a body.
 */
const MAX_SOCKET_BACKLOG_BYTES = 16 * 1024;
/**
 * Time after the first unacknowledged frame until a ping checks its delivery, in milliseconds, if nothing has been
 * received since. Idle time before the frame was sent does not count: it does not show whether the frame arrived.
 */
const PING_DELAY_MS = 100;
/**
 * Idle time until the next ping, in milliseconds, once the peer has acknowledged everything that was sent: only
 * data from the peer can still be lost. On a connection with one request at a time, each ping costs both nodes a
 * tenth of a request, and most endpoints take longer to answer than the delay of the first ping.
 */
const DELIVERED_PING_DELAY_MS = 350;

/** Receives the events of a connection. */
export interface RelayConnectionObserver {
  /** Frames that arrived in one read, in order. */
  received(frames: readonly StreamFrame[]): void;
  /** The peer cancels an attempt whose request it sent on another connection. */
  attemptCancelled?(requestId: string): void;
  /** The peer announces free slots of one of its endpoints. */
  slotsAnnounced?(frame: FreeSlotsFrame): void;
  /** The peer offers a slot, or declines one that was offered to it. */
  slotFrameReceived?(frame: SlotOfferFrame | SlotDeclineFrame): void;
  /** The connection was closed; called once. */
  closed(): void;
}

/** Liveness monitoring of a connection whose peer acknowledges pings. */
export interface ConnectionWatch {
  readonly liveness: ConnectionLiveness;
  readonly scheduler: Scheduler;
  /** Called once for each step; see {@link ./link-pulse.ts}. */
  readonly onLivenessStep: (step: 'suspect' | 'silent' | 'lost', quietMs: number) => void;
}

/** Framed connection to a peer. */
export class RelayConnection {
  private readonly reader = new FrameReader();
  private urgentFrames: Buffer[] = [];
  private readonly bodyFrames = new BodySchedule();
  private isFlushDue = false;
  private isEnding = false;
  private isClosed = false;
  private cancelCheck: CancelTimer | undefined;
  /** When the first frame was sent since bytes last arrived; undefined if none was. */
  private unackedSinceMs: number | undefined;
  /** When a ping was sent behind all other frames; undefined if frames were sent or queued after it. */
  private deliveryPingAtMs: number | undefined;
  /** Whether that ping was acknowledged, which shows that everything sent before it has arrived. */
  private isAllDelivered = false;
  /** Everything sent before this time has provably arrived. */
  private latestDeliveredMs = -Infinity;
  /** Actions that wait until the peer acknowledges a ping. */
  private readonly peerReadWaits: { readonly pingSentAtMs: number; readonly run: () => void }[] =
    [];

  /** `head` holds the bytes already read from the socket. */
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
   * Queues a frame, which is written together with the others of this event loop iteration. Returns false, and
   * sends nothing, if a value does not fit its field.
   */
  send(frame: RelayFrame): boolean {
    const bytes = tryEncode(frame);
    if (bytes === undefined) {
      return false;
    }
    if (!UNTRACKED_KINDS.has(frame.kind)) {
      this.recordSent();
    }
    if (frame.kind === 'body') {
      this.bodyFrames.enqueue(frame.streamId, bytes);
    } else {
      this.urgentFrames.push(bytes);
    }
    if (!this.isFlushDue) {
      this.isFlushDue = true;
      setImmediate(() => this.flush());
    }
    return true;
  }

  /**
   * Pings the peer, and runs the action after the frames that it had sent when it read the ping. Never runs it without
   * liveness monitoring, or if the ping is not acknowledged.
   */
  whenPeerHasRead(run: () => void): void {
    if (this.watch !== undefined) {
      const pingSentAtMs = Math.floor(this.watch.scheduler.now());
      this.peerReadWaits.push({ pingSentAtMs, run });
      this.send({ kind: 'ping', pingSentAtMs });
    }
  }

  /** Must be called periodically; `isAwaiting` tells whether work is pending on the connection. */
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
    if (step === 'ping') {
      const pingSentAtMs = Math.floor(nowMs);
      this.deliveryPingAtMs = this.bodyFrames.isEmpty ? pingSentAtMs : undefined;
      this.send({ kind: 'ping', pingSentAtMs });
      this.flush();
    }
    this.scheduleCheck(this.watch);
    if (step !== 'ping' && step !== 'none') {
      onLivenessStep(step, liveness.idleMs(nowMs));
    }
  }

  /** The peer has received everything that was sent before this time. */
  get deliveredMs(): number {
    return this.latestDeliveredMs;
  }

  /** Whether bytes arrived at `atMs` or later; always true without liveness monitoring. */
  hasReceivedSince(atMs: number): boolean {
    if (this.watch === undefined) {
      return true;
    }
    const { liveness, scheduler } = this.watch;
    const nowMs = scheduler.now();
    return nowMs - liveness.idleMs(nowMs) >= atMs;
  }

  /** Another connection to or from the same process was opened. */
  confirmPeerAlive(): void {
    if (this.watch !== undefined) {
      this.watch.liveness.confirmPeerAlive(this.watch.scheduler.now());
      this.scheduleCheck(this.watch);
    }
  }

  /** Sends all queued frames, then closes the connection; this takes until the peer has read them. */
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

  /** The check runs after the bytes that arrived in the meantime are read. */
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
    while (dueBytes < MAX_SOCKET_BACKLOG_BYTES) {
      const next = this.bodyFrames.next();
      if (next === undefined) {
        break;
      }
      due.push(next);
      dueBytes += next.length;
    }
    if (due.length > 0) {
      const bytes = due.length === 1 ? due[0] : Buffer.concat(due);
      this.socket.write(bytes, () => this.flushBodies());
      PROCESSOR_TIME.workEnded('relay-written');
    }
    if (this.isEnding && this.bodyFrames.isEmpty) {
      this.socket.end();
    }
  }

  /** Continues with queued body frames once the previous write completes, whether or not `drain` is emitted. */
  private flushBodies(): void {
    if (!this.bodyFrames.isEmpty) {
      this.flush();
    }
  }

  private read(chunk: Buffer): void {
    const frames: StreamFrame[] = [];
    const slotFrames: (SlotOfferFrame | SlotDeclineFrame)[] = [];
    let acknowledgedMs = -Infinity;
    let frameCount = 0;
    let livenessCount = 0;
    this.watch?.liveness.recordReceived(this.watch.scheduler.now());
    this.unackedSinceMs = undefined;
    try {
      this.reader.push(chunk);
      for (let body = this.reader.next(); body !== undefined; body = this.reader.next()) {
        const frame = decodeRelayFrame(body);
        frameCount += 1;
        if (frame.kind === 'ping') {
          livenessCount += 1;
          this.send({ kind: 'acknowledgement', pingSentAtMs: frame.pingSentAtMs });
        } else if (frame.kind === 'acknowledgement') {
          livenessCount += 1;
          this.handleAcknowledgement(frame.pingSentAtMs);
          acknowledgedMs = Math.max(acknowledgedMs, frame.pingSentAtMs);
        } else if (frame.kind === 'cancel-attempt') {
          this.observer.attemptCancelled?.(frame.requestId);
        } else if (frame.kind === 'free-slots') {
          this.observer.slotsAnnounced?.(frame);
        } else if (frame.kind === 'slot-offer' || frame.kind === 'slot-decline') {
          slotFrames.push(frame);
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
    // An offer may be for the request of a failure that arrived before it.
    slotFrames.forEach((frame) => this.observer.slotFrameReceived?.(frame));
    this.runPeerReadWaits(acknowledgedMs);
    PROCESSOR_TIME.workEnded(kindOfRead(frameCount, livenessCount));
  }

  private runPeerReadWaits(acknowledgedMs: number): void {
    while ((this.peerReadWaits[0]?.pingSentAtMs ?? Infinity) <= acknowledgedMs) {
      this.peerReadWaits.shift()?.run();
    }
  }

  private handleAcknowledgement(pingSentAtMs: number): void {
    this.latestDeliveredMs = Math.max(this.latestDeliveredMs, pingSentAtMs);
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

function kindOfRead(frameCount: number, livenessCount: number): WorkKind {
  return livenessCount > 0 && livenessCount === frameCount ? 'relay-liveness' : 'relay-read';
}

function byteLengthOf(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, { length }) => sum + length, 0);
}
