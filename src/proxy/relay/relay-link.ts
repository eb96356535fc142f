/** The connection of a node to one peer: opened by an HTTP upgrade, shared by the attempts there. */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../../model/resource.js';
import type { Attempt, AttemptObserver, Call } from '../call.js';
import type { Scheduler } from '../scheduler.js';
import { ConnectionLiveness, LOSS_TIMEOUT_MS, type LivenessLimits } from './connection-liveness.js';
import { RelayConnection } from './relay-connection.js';
import type { StreamFrame } from './relay-frame.js';
import { RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from './relay-protocol.js';
import { RelayedAttempt } from './relayed-attempt.js';

/** A connection on which nothing is awaited is closed after this time, in milliseconds. */
const IDLE_CONNECTION_MS = 30_000;

/**
 * A sender asks after a short quiet: a call that waits on a silent connection has some hundred
 * milliseconds.
 */
const SENDER_LIVENESS: LivenessLimits = { quietMs: 100, unconfirmedLossTimeoutMs: LOSS_TIMEOUT_MS };
/** Time in which a connection that is of no use any more sends what it has, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

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
  /** Told that a connection is silent though a new one works, with what is awaited on it. */
  readonly onUnresponsive?: (address: RelayAddress, silence: UnresponsiveConnection) => void;
  /** Whether the configuration in force names the endpoint; it always does when absent. */
  readonly isListed?: (endpoint: Endpoint) => boolean;
  /** A token that is valid now; undefined where the fleet has no key. */
  readonly token: () => string | undefined;
}

/** What is known of a silent connection. */
export interface UnresponsiveConnection {
  /** Requests that were under way on it. */
  readonly awaitedCount: number;
  /** Time since anything arrived on it, in milliseconds. */
  readonly quietMs: number;
}

/** Told of the end of a link. */
export interface RelayLinkObserver {
  /** It takes no new attempts. */
  readonly retired: () => void;
  /** It takes no new attempts; another connection is to show whether the peer is alive. */
  readonly suspect: () => void;
  /** It is open. */
  readonly opened: () => void;
  /** It did not open. A machine that is there answers in time, if only that nothing listens. */
  readonly openFailed: (isAnswered: boolean) => void;
  readonly closed: () => void;
}

/** Tells addresses apart. */
export function keyOf({ address, port }: RelayAddress): string {
  return `${address}:${port}`;
}

/** The connection, and the attempts on it. */
export class RelayLink {
  readonly key: string;
  private readonly streams = new Map<number, RelayedAttempt>();
  private readonly request: http.ClientRequest;
  private connection: RelayConnection | undefined;
  private readonly connectStartedAtMs: number;
  private lastStreamId = 0;
  private isClosed = false;
  /** Whether the peer's machine has answered, be it that nothing listens. */
  private hasMachineAnswered = false;
  private isSuspect = false;
  /** Whether it says nothing while a new connection works. */
  private isUnresponsive = false;
  /** Since when nothing at all has been heard of the peer for long; undefined where that is not so. */
  private peerLostAtMs: number | undefined;
  /** When the last request was sent. */
  private lastSentAtMs = -Infinity;

  constructor(
    private readonly address: RelayAddress,
    private readonly options: RelayLinkOptions,
    private readonly observer: RelayLinkObserver,
  ) {
    this.key = keyOf(address);
    this.connectStartedAtMs = options.scheduler.now();
    this.request = http.request({
      host: address.address,
      port: address.port,
      agent: false,
      headers: this.upgradeHeaders(),
    });
    // After a pause of the process the connection may be open, and the timer come before that is read.
    const timer = setTimeout(
      () => setImmediate(() => this.endUnopened()),
      options.connectTimeoutMs,
    );
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
    this.request.once('socket', (socket) =>
      socket.once('connect', () => {
        this.hasMachineAnswered = true;
      }),
    );
    this.request.on('error', ({ code }: NodeJS.ErrnoException) => {
      this.hasMachineAnswered ||= code === 'ECONNREFUSED';
    });
    this.request.once('close', () => {
      clearTimeout(timer);
      if (this.connection === undefined) {
        this.reportConnect(false);
        this.end('never-sent');
        this.observer.openFailed(this.hasMachineAnswered);
      }
    });
    this.request.end();
  }

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    this.lastStreamId += 1;
    const streamId = this.lastStreamId;
    const attempt = new RelayedAttempt(streamId, endpoint, call, observer, this.options.scheduler, {
      send: (frame) => this.connection?.send(frame) === true,
      ended: () => this.handleStreamEnd(streamId),
    });
    this.streams.set(streamId, attempt);
    if (this.connection !== undefined) {
      this.send(attempt);
    }
    return attempt;
  }

  /** To be called now and then. */
  checkLiveness(): void {
    this.connection?.checkLiveness(this.streams.size > 0 || this.isUnansweredSinceSend());
    if (this.isSuspect && this.streams.size > 0) {
      this.observer.suspect();
    }
    this.endDelistedAttempts();
  }

  /** Another connection to the peer was opened. */
  confirmPeerAlive(): void {
    this.connection?.confirmPeerAlive();
  }

  /** The peer's machine answers nothing. */
  peerIsUnreachable(): void {
    if (this.isSuspect) {
      [...this.streams.values()].forEach((attempt) => attempt.peerIsGone());
    }
  }

  destroy(): void {
    this.request.destroy();
    this.connection?.destroy();
  }

  private endUnopened(): void {
    if (this.connection === undefined) {
      this.request.destroy();
    }
  }

  private reportConnect(isOpen: boolean): void {
    const connectMs = this.options.scheduler.now() - this.connectStartedAtMs;
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
    const { scheduler } = this.options;
    const nowMs = scheduler.now();
    const watch = {
      liveness: new ConnectionLiveness(SENDER_LIVENESS, nowMs - this.connectStartedAtMs, nowMs),
      scheduler,
      onLivenessStep: (step: 'suspect' | 'silent' | 'lost', quietMs: number) =>
        this.handleLivenessStep(step, quietMs),
    };
    const observer = {
      received: (frames: readonly StreamFrame[]) =>
        frames.forEach((frame) => this.handleFrame(frame)),
      closed: () => this.end('lost'),
    };
    this.connection = new RelayConnection(socket, head, observer, watch);
    this.observer.opened();
    this.streams.forEach((attempt) => this.send(attempt));
  }

  private send(attempt: RelayedAttempt): void {
    this.lastSentAtMs = this.options.scheduler.now();
    attempt.send();
  }

  /** A request whose caller left is owed nothing, but no word since then may mean that it was lost. */
  private isUnansweredSinceSend(): boolean {
    return this.connection?.hasReceivedSince(this.lastSentAtMs) === false;
  }

  /**
   * A connection that says nothing may only be slow: its attempts are in doubt, and go on. None is answered
   * any more once it has said nothing for long while a new one works; without a new one the peer's machine
   * may only stand still.
   */
  private handleLivenessStep(step: 'suspect' | 'silent' | 'lost', quietMs: number): void {
    const attempts = [...this.streams.values()];
    if (step === 'suspect') {
      this.isSuspect = true;
      this.isUnresponsive = false;
      this.observer.suspect();
    } else if (step === 'silent') {
      this.isUnresponsive = true;
      this.options.onUnresponsive?.(this.address, { awaitedCount: attempts.length, quietMs });
      attempts.forEach((attempt) => attempt.connectionUnresponsive(quietMs));
    } else if (this.isUnresponsive) {
      this.connection?.destroy();
    } else {
      this.peerLostAtMs = this.options.scheduler.now();
    }
  }

  /** Ends attempts at endpoints that went with the peer; one that stands still keeps its entries for longer. */
  private endDelistedAttempts(): void {
    if (this.peerLostAtMs === undefined) {
      return;
    }
    if (this.connection?.hasReceivedSince(this.peerLostAtMs) === true) {
      this.peerLostAtMs = undefined;
      return;
    }
    for (const attempt of [...this.streams.values()]) {
      if (this.options.isListed?.(attempt.endpoint) === false) {
        attempt.peerIsGone();
      }
    }
  }

  /** A suspect connection gets no new attempts: it is of no use once its last one is over. */
  private handleStreamEnd(streamId: number): void {
    this.streams.delete(streamId);
    if (this.isSuspect && this.streams.size === 0) {
      this.connection?.end();
      this.options.scheduler.schedule(CLOSE_TIMEOUT_MS, () => this.connection?.destroy());
    }
  }

  private closeIdle(): void {
    if (this.streams.size === 0) {
      this.observer.retired();
      this.connection?.end();
    }
  }

  private handleFrame(frame: StreamFrame): void {
    this.streams.get(frame.streamId)?.handleFrame(frame);
  }

  private end(cause: 'never-sent' | 'lost'): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.observer.retired();
    this.observer.closed();
    for (const attempt of [...this.streams.values()]) {
      attempt.connectionClosed(cause);
    }
  }
}
