/**
 * Callers' connections and the exchanges that are open on each. A caller may send further requests
 * before the first is answered; Node tells only the response that is being written of the end of
 * its connection, so the others are told here. Whatever ends a caller's connection but its caller, or the
 * bound of a stop, does so here: after the last answer its caller may still read.
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

/** Told of the end of one exchange; `isWhole` when its answer went out in full, `reason` says why it did not. */
type CloseListener = (isWhole: boolean, reason?: ConnectionEndReason) => void;

/** The end of a connection, from the moment at which it began. */
type BegunEnd = Pick<ConnectionEnd, 'reason' | 'unsentBytes'>;

/** The open exchanges of one connection. */
type OpenExchanges = Map<ServerResponse, CloseListener[]>;

/** The connections of one server. */
export class CallerConnections {
  private readonly exchangesOf = new WeakMap<Duplex, OpenExchanges>();
  private readonly closing = new WeakSet<Duplex>();
  /** What is done once the whole requests of a connection are answered. */
  private readonly answeredListeners = new WeakMap<Duplex, () => void>();
  private readonly open = new Set<Duplex>();
  /** How connections are being ended; by their callers where nothing is said. */
  private readonly ends = new WeakMap<Duplex, BegunEnd>();
  private readonly waitingBytesOf = new WeakMap<ServerResponse, () => number>();
  /** What begins the requests of a connection that wait, in their order. */
  private readonly deferred = new WeakMap<Duplex, (() => void)[]>();
  private readonly poll = new SocketPoll();
  private readonly lingering = new LingeringCloses(this.poll);
  private readonly pauses = new WeakMap<Duplex, ReadingPause>();

  /** `afterFlush` calls its action once Node has handed what it holds of a response to the connection. */
  constructor(
    private readonly onEnd: ConnectionEndListener = () => undefined,
    private readonly afterFlush: (action: () => void) => void = setImmediate,
  ) {}

  /** Connections that are closed here, and not by their callers yet. */
  get lingeringCount(): number {
    return this.lingering.count;
  }

  /** A connection was taken. */
  opened(socket: Socket): void {
    this.open.add(socket);
    this.pauses.set(socket, new ReadingPause(socket, () => MACHINE_TIME.now()));
    // What Node calls once the last answer is written.
    socket.destroySoon = () => this.close(socket, 'last-answer');
    // Listeners of the exchanges on it come after this one.
    socket.once('close', () => {
      this.open.delete(socket);
      const cutCount = this.exchangesOf.get(socket)?.size ?? 0;
      const { unsentBytes = 0 } = this.ends.get(socket) ?? {};
      this.onEnd({ reason: this.reasonOf(socket), cutCount, unsentBytes });
    });
  }

  /**
   * Closes a connection on which nothing more is to be sent. Its caller can still read what was, for `lingerMs` at
   * most; what it sends is dropped.
   */
  close(socket: Duplex, reason: ConnectionEndReason, lingerMs = LINGER_MS): void {
    this.endsFor(socket, reason);
    this.closing.add(socket);
    this.lingering.begin(socket, lingerMs);
  }

  /** Connections on which nothing is under way and that are not being closed. */
  get idleCount(): number {
    return this.idle().length;
  }

  /** Closes the connections on which nothing is under way, as long as `mayClose` says so. */
  closeIdle(mayClose: () => boolean = () => true): void {
    for (const socket of this.idle()) {
      if (!mayClose()) {
        return;
      }
      this.close(socket, 'stop');
    }
  }

  /** Closes a connection whose idle time is over, unless its caller has sent something that was not read yet. */
  async closeUnused(socket: Socket): Promise<void> {
    const { bytesRead } = socket;
    await this.poll.renew();
    if (socket.bytesRead === bytesRead && !this.hasOpenRequest(socket)) {
      this.close(socket, 'idle');
    }
  }

  private idle(): Duplex[] {
    return [...this.open].filter(
      (socket) => !this.hasOpenRequest(socket) && !this.lingering.has(socket),
    );
  }

  /** Every connection that is open is about to be cut. */
  allEndFor(reason: ConnectionEndReason): void {
    this.open.forEach((socket) => this.endsFor(socket, reason));
  }

  /**
   * Ends a connection in the middle of an answer, so that its caller can't take it for a whole one; what went
   * before it can still be read. Nothing behind it can be answered.
   */
  breakOff(socket: Duplex, response: ServerResponse): void {
    this.closing.add(socket);
    if (response.socket === null && !response.destroyed) {
      // Answers before it are still going out; what was written of it follows them.
      response.once('socket', () => this.afterFlush(() => this.breakNow(socket)));
    } else {
      this.breakNow(socket);
    }
  }

  /** Longest time for which a request may have lain unread that is read now, in milliseconds. */
  unreadMs(socket: Duplex): number {
    return this.pauses.get(socket)?.unreadMs ?? 0;
  }

  /** An exchange begins. */
  began(socket: Duplex, response: ServerResponse): void {
    this.openExchanges(socket).set(response, []);
    response.once('close', () => this.end(socket, response));
  }

  /** An answer is passed to `response`; `waitingBytes` tells how much of it waits for its turn. */
  answerWaits(response: ServerResponse, waitingBytes: () => number): void {
    this.waitingBytesOf.set(response, waitingBytes);
  }

  /**
   * Calls `begin` once fewer bytes of answers wait on the connection, and no request before this one does: a caller
   * that sends ahead of what it reads has no more work begun.
   */
  whenRoom(socket: Duplex, begin: () => void): void {
    const queue = this.deferred.get(socket) ?? [];
    this.deferred.set(socket, queue);
    queue.push(begin);
    this.beginDeferred(socket);
  }

  private beginDeferred(socket: Duplex): void {
    const queue = this.deferred.get(socket) ?? [];
    while (
      queue.length > 0 &&
      !socket.destroyed &&
      this.waitingBytes(socket) < MAX_BUFFERED_BYTES
    ) {
      queue.shift()?.();
    }
  }

  /** Whether a request of the connection waits for its answer. */
  hasOpenRequest(socket: Duplex): boolean {
    return (this.exchangesOf.get(socket)?.size ?? 0) > 0;
  }

  /** Whether a request of the connection that was read to its end waits for its answer. */
  hasWholeRequest(socket: Duplex): boolean {
    return [...(this.exchangesOf.get(socket)?.keys() ?? [])].some(({ req }) => req.complete);
  }

  /** Calls `action` once all requests that were read to their end are answered, or broken off. */
  onceAnswered(socket: Duplex, action: () => void): void {
    this.answeredListeners.set(socket, action);
    this.tellAnswered(socket);
  }

  /** Whether a request that came behind that of `response` waits for its answer. */
  hasRequestBehind(socket: Duplex, response: ServerResponse): boolean {
    const responses = [...(this.exchangesOf.get(socket)?.keys() ?? [])];
    return responses.length > 0 && responses.at(-1) !== response;
  }

  /** The answer under way is the last one of the connection. */
  closesAfterAnswer(socket: Duplex): void {
    this.closing.add(socket);
  }

  /** Whether no further request of the connection can be answered. */
  isClosing(socket: Duplex): boolean {
    return this.closing.has(socket);
  }

  /** Calls `action` once the exchange is over, whichever way it ends. */
  onClose(socket: Duplex, response: ServerResponse, action: CloseListener): void {
    const listeners = this.exchangesOf.get(socket)?.get(response);
    if (listeners === undefined) {
      action(response.writableFinished, this.reasonOf(socket));
    } else {
      listeners.push(action);
    }
  }

  /** Notes why a connection ends; the first reason counts. */
  private endsFor(socket: Duplex, reason: ConnectionEndReason): void {
    if (!this.ends.has(socket)) {
      this.ends.set(socket, { reason, unsentBytes: this.unsentBytes(socket) });
    }
  }

  private reasonOf(socket: Duplex): ConnectionEndReason {
    return this.ends.get(socket)?.reason ?? 'caller';
  }

  /** What is held of the answers of a connection, those that wait for their turn included. */
  private unsentBytes(socket: Duplex): number {
    return socket.writableLength + this.waitingBytes(socket);
  }

  private waitingBytes(socket: Duplex): number {
    let bytes = 0;
    for (const response of this.exchangesOf.get(socket)?.keys() ?? []) {
      bytes += this.waitingBytesOf.get(response)?.() ?? 0;
    }
    return bytes;
  }

  private breakNow(socket: Duplex): void {
    this.close(socket, 'broken-answer');
    this.endAll(socket);
  }

  private openExchanges(socket: Duplex): OpenExchanges {
    let exchanges = this.exchangesOf.get(socket);
    if (exchanges === undefined) {
      exchanges = new Map();
      this.exchangesOf.set(socket, exchanges);
      socket.once('close', () => this.endAll(socket));
    }
    return exchanges;
  }

  private endAll(socket: Duplex): void {
    for (const response of [...(this.exchangesOf.get(socket)?.keys() ?? [])]) {
      this.end(socket, response);
    }
  }

  private end(socket: Duplex, response: ServerResponse): void {
    const exchanges = this.exchangesOf.get(socket);
    const listeners = exchanges?.get(response) ?? [];
    exchanges?.delete(response);
    for (const listener of listeners) {
      listener(response.writableFinished, this.reasonOf(socket));
    }
    this.tellAnswered(socket);
    this.beginDeferred(socket);
  }

  private tellAnswered(socket: Duplex): void {
    const listener = this.answeredListeners.get(socket);
    if (listener !== undefined && !this.hasWholeRequest(socket)) {
      this.answeredListeners.delete(socket);
      listener();
    }
  }
}
