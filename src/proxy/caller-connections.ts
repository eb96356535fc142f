/**
 * Callers' connections and the open exchanges on each. A caller may pipeline requests; Node notifies only the
 * response that is being written when its connection closes, so the other exchanges are notified here. All connections
 * that are not closed by their callers or by the time limit of a shutdown are closed here, in a way that lets the
 * caller still read the last answer.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type {
  ConnectionEnd,
  ConnectionEndListener,
  ConnectionEndReason,
} from './connection-end.js';
import { ReadingPause } from './reading-pause.js';
import { MAX_BUFFERED_BYTES } from './response-sink.js';
import { MACHINE_TIME } from './scheduler.js';
import { SocketPoll } from './socket-poll.js';
import { LINGER_MS, LingeringCloses } from './lingering-close.js';

/** Called at the end of one exchange; `isComplete` if its answer was sent in full, else `reason` says why not. */
type CloseListener = (isComplete: boolean, reason?: ConnectionEndReason) => void;

/** The end of a connection that is being closed, as recorded when closing started. */
type PendingEnd = Pick<ConnectionEnd, 'reason' | 'unsentBytes'>;

/** The open exchanges of one connection. */
type OpenExchanges = Map<ServerResponse, CloseListener[]>;

/** The connections of one server. */
export class CallerConnections {
  private readonly exchangesOf = new WeakMap<Duplex, OpenExchanges>();
  private readonly closing = new WeakSet<Duplex>();
  /** Called once all complete requests of a connection are answered. */
  private readonly answeredListeners = new WeakMap<Duplex, () => void>();
  private readonly openSockets = new Set<Duplex>();
  /** Why connections are being closed; those without an entry are closed by their callers. */
  private readonly pendingEnds = new WeakMap<Duplex, PendingEnd>();
  private readonly bufferedBytesOf = new WeakMap<ServerResponse, () => number>();
  /** Functions that start the deferred requests of a connection, in their order. */
  private readonly deferredStarts = new WeakMap<Duplex, (() => void)[]>();
  private readonly socketPoll = new SocketPoll();
  private readonly lingering = new LingeringCloses(this.socketPoll);
  private readonly readingPauses = new WeakMap<Duplex, ReadingPause>();

  /** `afterFlush` calls its action once Node has written the buffered part of a response to the connection. */
  constructor(
    private readonly onEnd: ConnectionEndListener = () => undefined,
    private readonly afterFlush: (action: () => void) => void = setImmediate,
  ) {}

  /** Connections that are closed on this side, but not yet by their callers. */
  get lingeringCount(): number {
    return this.lingering.count;
  }

  /** Registers an accepted connection. */
  opened(socket: Socket): void {
    this.openSockets.add(socket);
    this.readingPauses.set(socket, new ReadingPause(socket, () => MACHINE_TIME.now()));
    // Node calls this once the last answer is written.
    socket.destroySoon = () => this.close(socket, 'last-answer');
    socket.once('end', () => this.handleEnd(socket));
    // Listeners of the exchanges on the connection are registered later, so they run after this one.
    socket.once('close', () => {
      this.openSockets.delete(socket);
      const cutCount = this.exchangesOf.get(socket)?.size ?? 0;
      const { unsentBytes = 0 } = this.pendingEnds.get(socket) ?? {};
      this.onEnd({ reason: this.reasonOf(socket), cutCount, unsentBytes });
    });
  }

  /**
   * The caller has closed its side, so it gets no answer that is not complete by now. Node closes the connection and
   * emits `close` some iterations of the event loop later.
   */
  private handleEnd(socket: Duplex): void {
    this.closing.add(socket);
    for (const response of [...(this.exchangesOf.get(socket)?.keys() ?? [])]) {
      if (!response.writableEnded) {
        this.endExchange(socket, response);
      }
    }
  }

  /**
   * Closes a connection on which nothing more will be sent. Its caller can still read sent data for up to `lingerMs`;
   * data that it sends is discarded.
   */
  close(socket: Duplex, reason: ConnectionEndReason, lingerMs = LINGER_MS): void {
    this.recordEndReason(socket, reason);
    this.closing.add(socket);
    this.lingering.begin(socket, lingerMs);
  }

  /** The number of connections without an open exchange that are not being closed. */
  get idleCount(): number {
    return this.idleSockets().length;
  }

  /** Closes idle connections until `mayClose` returns false. */
  closeIdle(mayClose: () => boolean = () => true): void {
    for (const socket of this.idleSockets()) {
      if (!mayClose()) {
        return;
      }
      this.close(socket, 'stop');
    }
  }

  /** Closes a connection that reached its idle timeout, unless data from its caller is still unread. */
  async closeIfIdle(socket: Socket): Promise<void> {
    const { bytesRead } = socket;
    await this.socketPoll.renew();
    if (socket.bytesRead === bytesRead && !this.hasOpenRequest(socket)) {
      this.close(socket, 'idle');
    }
  }

  private idleSockets(): Duplex[] {
    return [...this.openSockets].filter(
      (socket) => !this.hasOpenRequest(socket) && !this.lingering.has(socket),
    );
  }

  /** Records `reason` for all open connections, which are about to be closed abruptly. */
  recordEndReasonForAll(reason: ConnectionEndReason): void {
    this.openSockets.forEach((socket) => this.recordEndReason(socket, reason));
  }

  /**
   * Closes a connection in the middle of an answer, so that its caller can't mistake the answer for a complete one.
   * Earlier answers can still be read; later requests on the connection can't be answered.
   */
  abortAnswer(socket: Duplex, response: ServerResponse): void {
    this.closing.add(socket);
    if (response.socket === null && !response.destroyed) {
      // Earlier answers are still being sent; the written part of this one follows them.
      response.once('socket', () => this.afterFlush(() => this.abortConnection(socket)));
    } else {
      this.abortConnection(socket);
    }
  }

  /** Longest time for which a request that is read now may have been unread, in milliseconds. */
  unreadMs(socket: Duplex): number {
    return this.readingPauses.get(socket)?.unreadMs ?? 0;
  }

  exchangeStarted(socket: Duplex, response: ServerResponse): void {
    this.openExchanges(socket).set(response, []);
    response.once('close', () => this.endExchange(socket, response));
  }

  /** Registers how many bytes of an answer wait for earlier answers on the connection. */
  trackBufferedBytes(response: ServerResponse, bufferedBytes: () => number): void {
    this.bufferedBytesOf.set(response, bufferedBytes);
  }

  /**
   * Calls `start` once the buffered answers of the connection are below their size limit and no earlier request
   * is deferred. This bounds the work started for a caller that pipelines requests without reading the answers.
   */
  whenBelowBufferLimit(socket: Duplex, start: () => void): void {
    const queue = this.deferredStarts.get(socket) ?? [];
    this.deferredStarts.set(socket, queue);
    queue.push(start);
    this.startDeferred(socket);
  }

  private startDeferred(socket: Duplex): void {
    const queue = this.deferredStarts.get(socket) ?? [];
    while (
      queue.length > 0 &&
      !socket.destroyed &&
      this.bufferedBytes(socket) < MAX_BUFFERED_BYTES
    ) {
      queue.shift()?.();
    }
  }

  /** Whether a request of the connection is unanswered. */
  hasOpenRequest(socket: Duplex): boolean {
    return (this.exchangesOf.get(socket)?.size ?? 0) > 0;
  }

  /** Whether a completely received request of the connection is unanswered. */
  hasCompleteRequest(socket: Duplex): boolean {
    return [...(this.exchangesOf.get(socket)?.keys() ?? [])].some(({ req }) => req.complete);
  }

  /** Calls `action` once all completely received requests are answered or aborted. */
  onceAnswered(socket: Duplex, action: () => void): void {
    this.answeredListeners.set(socket, action);
    this.notifyAnswered(socket);
  }

  /** Whether a request that arrived after that of `response` is unanswered. */
  hasLaterRequest(socket: Duplex, response: ServerResponse): boolean {
    const responses = [...(this.exchangesOf.get(socket)?.keys() ?? [])];
    return responses.length > 0 && responses.at(-1) !== response;
  }

  /** Marks the current answer as the last one of the connection. */
  markClosing(socket: Duplex): void {
    this.closing.add(socket);
  }

  /** Whether no further request of the connection can be answered. */
  isClosing(socket: Duplex): boolean {
    return this.closing.has(socket);
  }

  /** Calls `action` once the exchange has ended, completely or not. */
  onClose(socket: Duplex, response: ServerResponse, action: CloseListener): void {
    const listeners = this.exchangesOf.get(socket)?.get(response);
    if (listeners === undefined) {
      action(response.writableFinished, this.reasonOf(socket));
    } else {
      listeners.push(action);
    }
  }

  /** Records why a connection is closed; only the first reason is kept. */
  private recordEndReason(socket: Duplex, reason: ConnectionEndReason): void {
    if (!this.pendingEnds.has(socket)) {
      this.pendingEnds.set(socket, { reason, unsentBytes: this.unsentBytes(socket) });
    }
  }

  private reasonOf(socket: Duplex): ConnectionEndReason {
    return this.pendingEnds.get(socket)?.reason ?? 'caller';
  }

  /** Buffered bytes of all answers of a connection, including those that wait for earlier answers. */
  private unsentBytes(socket: Duplex): number {
    return socket.writableLength + this.bufferedBytes(socket);
  }

  private bufferedBytes(socket: Duplex): number {
    let bytes = 0;
    for (const response of this.exchangesOf.get(socket)?.keys() ?? []) {
      bytes += this.bufferedBytesOf.get(response)?.() ?? 0;
    }
    return bytes;
  }

  private abortConnection(socket: Duplex): void {
    this.close(socket, 'broken-answer');
    this.endExchanges(socket);
  }

  private openExchanges(socket: Duplex): OpenExchanges {
    let exchanges = this.exchangesOf.get(socket);
    if (exchanges === undefined) {
      exchanges = new Map();
      this.exchangesOf.set(socket, exchanges);
      socket.once('close', () => this.endExchanges(socket));
    }
    return exchanges;
  }

  private endExchanges(socket: Duplex): void {
    for (const response of [...(this.exchangesOf.get(socket)?.keys() ?? [])]) {
      this.endExchange(socket, response);
    }
  }

  private endExchange(socket: Duplex, response: ServerResponse): void {
    const exchanges = this.exchangesOf.get(socket);
    const listeners = exchanges?.get(response) ?? [];
    exchanges?.delete(response);
    for (const listener of listeners) {
      listener(response.writableFinished, this.reasonOf(socket));
    }
    this.notifyAnswered(socket);
    this.startDeferred(socket);
  }

  private notifyAnswered(socket: Duplex): void {
    const listener = this.answeredListeners.get(socket);
    if (listener !== undefined && !this.hasCompleteRequest(socket)) {
      this.answeredListeners.delete(socket);
      listener();
    }
  }
}
