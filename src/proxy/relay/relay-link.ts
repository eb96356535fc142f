/** The connection of a node to one peer: opened by an HTTP upgrade, shared by the attempts there. */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../../model/resource.js';
import type { Attempt, AttemptObserver, Call } from '../call.js';
import type { Scheduler } from '../scheduler.js';
import { RelayConnection } from './relay-connection.js';
import type { RelayFrame } from './relay-frame.js';
import { RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from './relay-protocol.js';
import { RelayedAttempt } from './relayed-attempt.js';

/** A connection on which nothing is awaited is closed after this time, in milliseconds. */
const IDLE_CONNECTION_MS = 30_000;

/** Where a peer takes relayed requests. */
export interface RelayAddress {
  readonly address: string;
  readonly port: number;
}

/** What a link needs of its node. */
export interface RelayLinkOptions {
  /** Time to open a connection. */
  readonly connectTimeoutMs: number;
  readonly scheduler: Scheduler;
  /** Told how long a connection took to open, or to fail, in milliseconds. */
  readonly onConnect?: (address: RelayAddress, connectMs: number, isOpen: boolean) => void;
  /** A token that is valid now; undefined where the fleet has no key. */
  readonly token: () => string | undefined;
}

/** Told of the end of a link. */
export interface RelayLinkObserver {
  /** It takes no new attempts. */
  readonly retired: () => void;
  readonly closed: () => void;
}

/** The connection, and the attempts on it. */
export class RelayLink {
  private readonly streams = new Map<number, RelayedAttempt>();
  private readonly request: http.ClientRequest;
  private connection: RelayConnection | undefined;
  private readonly beganAtMs: number;
  private lastStreamId = 0;
  private isOver = false;

  constructor(
    private readonly address: RelayAddress,
    private readonly options: RelayLinkOptions,
    private readonly observer: RelayLinkObserver,
  ) {
    this.beganAtMs = options.scheduler.now();
    this.request = http.request({
      host: address.address,
      port: address.port,
      agent: false,
      headers: this.upgradeHeaders(),
    });
    const timer = setTimeout(() => this.request.destroy(), options.connectTimeoutMs);
    this.request.once('upgrade', (message, socket, head) => {
      clearTimeout(timer);
      if (message.headers.upgrade !== RELAY_PROTOCOL) {
        socket.destroy();
        return;
      }
      this.reportConnect(true);
      this.open(socket, head);
    });
    this.request.once('response', () => this.request.destroy());
    this.request.on('error', () => undefined);
    this.request.once('close', () => {
      clearTimeout(timer);
      if (this.connection === undefined) {
        this.reportConnect(false);
        this.end('never-sent');
      }
    });
    this.request.end();
  }

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    this.lastStreamId += 1;
    const streamId = this.lastStreamId;
    const attempt = new RelayedAttempt(streamId, endpoint, call, observer, this.options.scheduler, {
      send: (frame) => this.connection?.send(frame) === true,
      over: () => this.streams.delete(streamId),
    });
    this.streams.set(streamId, attempt);
    if (this.connection !== undefined) {
      attempt.send();
    }
    return attempt;
  }

  destroy(): void {
    this.request.destroy();
    this.connection?.destroy();
  }

  private reportConnect(isOpen: boolean): void {
    const connectMs = this.options.scheduler.now() - this.beganAtMs;
    this.options.onConnect?.(this.address, connectMs, isOpen);
  }

  private upgradeHeaders(): http.OutgoingHttpHeaders {
    const token = this.options.token();
    return {
      Connection: 'Upgrade',
      Upgrade: RELAY_PROTOCOL,
      ...(token !== undefined && { [RELAY_TOKEN_HEADER]: token }),
    };
  }

  private open(socket: Socket, head: Buffer): void {
    socket.setNoDelay();
    socket.setTimeout(IDLE_CONNECTION_MS, () => this.closeIdle());
    this.connection = new RelayConnection(socket, head, {
      received: (frames) => frames.forEach((frame) => this.take(frame)),
      closed: () => this.end('lost'),
    });
    this.streams.forEach((attempt) => attempt.send());
  }

  private closeIdle(): void {
    if (this.streams.size === 0) {
      this.observer.retired();
      this.connection?.end();
    }
  }

  private take(frame: RelayFrame): void {
    this.streams.get(frame.streamId)?.take(frame);
  }

  private end(cause: 'never-sent' | 'lost'): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    this.observer.retired();
    this.observer.closed();
    for (const attempt of [...this.streams.values()]) {
      attempt.connectionClosed(cause);
    }
  }
}
