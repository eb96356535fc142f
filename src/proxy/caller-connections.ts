/**
 * Callers' connections and the exchanges that are open on each. A caller may send further requests
 * before the first is answered; Node tells only the response that is being written of the end of
 * its connection, so the others are told here.
 */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { ConnectionEndListener, ConnectionEndReason } from './connection-end.js';

/** Told of the end of one exchange; `isWhole` when its answer went out in full, `reason` says why it did not. */
type CloseListener = (isWhole: boolean, reason?: ConnectionEndReason) => void;

/** The open exchanges of one connection. */
type OpenExchanges = Map<ServerResponse, CloseListener[]>;

/** The connections of one server. */
export class CallerConnections {
  private readonly exchangesOf = new WeakMap<Duplex, OpenExchanges>();
  private readonly closing = new WeakSet<Duplex>();
  /** What is done once the whole requests of a connection are answered. */
  private readonly answeredListeners = new WeakMap<Duplex, () => void>();
  private readonly open = new Set<Duplex>();
  /** Why connections are being ended; by their callers where nothing is said. */
  private readonly endReasons = new WeakMap<Duplex, ConnectionEndReason>();

  constructor(private readonly onEnd: ConnectionEndListener = () => undefined) {}

  /** The node ends a connection for this reason; the first one counts. */
  endsFor(socket: Duplex, reason: ConnectionEndReason): void {
    if (!this.endReasons.has(socket)) {
      this.endReasons.set(socket, reason);
    }
  }

  /** Every connection that is open ends now, for this reason. */
  allEndFor(reason: ConnectionEndReason): void {
    this.open.forEach((socket) => this.endsFor(socket, reason));
  }

  /** The connections on which nothing is under way end now, for this reason. */
  idleEndFor(reason: ConnectionEndReason): void {
    const idle = [...this.open].filter((socket) => !this.hasOpenRequest(socket));
    idle.forEach((socket) => this.endsFor(socket, reason));
  }

  /** A connection was taken. */
  opened(socket: Duplex): void {
    this.open.add(socket);
    // Listeners of the exchanges on it come after this one.
    socket.once('close', () => {
      this.open.delete(socket);
      const cutCount = this.exchangesOf.get(socket)?.size ?? 0;
      this.onEnd({ reason: this.reasonOf(socket), cutCount });
    });
  }

  /** An exchange begins. */
  began(socket: Duplex, response: ServerResponse): void {
    this.openExchanges(socket).set(response, []);
    response.once('close', () => this.end(socket, response));
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

  private reasonOf(socket: Duplex): ConnectionEndReason {
    return this.endReasons.get(socket) ?? 'caller';
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
  }

  private tellAnswered(socket: Duplex): void {
    const listener = this.answeredListeners.get(socket);
    if (listener !== undefined && !this.hasWholeRequest(socket)) {
      this.answeredListeners.delete(socket);
      listener();
    }
  }
}
