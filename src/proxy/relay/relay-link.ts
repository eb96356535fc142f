/** Connection of a node to one peer, opened by an HTTP upgrade and shared by all attempts at that peer. */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../../model/resource.js';
import type { FreeSlotAnnouncement } from '../../routing/free-slot-announcements.js';
import type { BodyBufferBudget } from '../body-receiver.js';
import type { Attempt, AttemptObserver, Call } from '../call.js';
import type { BeforeSend } from '../http-exchange.js';
import type { Scheduler } from '../scheduler.js';
import type { SlotOffer } from '../waiting/slot-offer.js';
import { ConnectionLiveness, LOSS_TIMEOUT_MS, type LivenessLimits } from './link-pulse.js';
import { RelayConnection } from './relay-connection.js';
import type {
  FreeSlotsFrame,
  SlotDeclineFrame,
  SlotOfferFrame,
  StreamFrame,
} from './relay-frame.js';
import { announcementOf } from './relay-load.js';
import { RELAY_CLOCK_HEADER, RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from './relay-protocol.js';
import { RelayedAttempt } from './relayed-attempt.js';
import { UnacknowledgedCancellations } from './unacknowledged-cancellations.js';

/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_CONNECTION_MS = 30_000;

/**
 * Senders ping after a short idle time: a call that waits on an unresponsive connection has only a few hundred
 * milliseconds.
 */
const SENDER_LIVENESS: LivenessLimits = { quietMs: 100, unconfirmedLossTimeoutMs: LOSS_TIMEOUT_MS };
/** Time for a connection that is no longer used to send its queued frames, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Address at which a peer accepts relayed requests. */
export interface RelayAddress {
  readonly address: string;
  readonly port: number;
}

/** Dependencies of a link on its node. */
export interface RelayLinkOptions {
  /** Timeout for opening a connection. */
  readonly connectTimeoutMs: number;
  readonly scheduler: Scheduler;
  /** Called with the time a connection took to open, or to fail, in milliseconds. */
  readonly onConnect?: (address: RelayAddress, connectMs: number, isOpen: boolean) => void;
  /** Called when a connection is unresponsive although a new one works. */
  readonly onUnresponsive?: (address: RelayAddress, silence: UnresponsiveConnection) => void;
  /** Whether the current configuration lists the endpoint; if absent, every endpoint is listed. */
  readonly isListed?: (endpoint: Endpoint) => boolean;
  /** Returns a currently valid token; undefined if the fleet has no key. */
  readonly token: () => string | undefined;
  /** Called when the peer announces free slots of one of its endpoints. */
  readonly onFreeSlots?: (announcement: FreeSlotAnnouncement) => void;
  /** Runs the sending of each request at once or later; at once if absent. */
  readonly beforeSend?: BeforeSend;
  /** Memory for answers of stopping peers, shared by all links of the node; they get no extended window if absent. */
  readonly windowBudget?: BodyBufferBudget;
  /** Uses a slot that a peer offers; returns false if no request waits for it. Declines all if absent. */
  readonly onSlotOffer?: (offer: SlotOffer) => boolean;
}

/** State of an unresponsive connection. */
export interface UnresponsiveConnection {
  /** Number of requests in flight on it. */
  readonly awaitedCount: number;
  /** Time since bytes last arrived on it, in milliseconds. */
  readonly quietMs: number;
}

/** Receives the state changes of a link. */
export interface RelayLinkObserver {
  /** The link accepts no new attempts. */
  readonly retired: () => void;
  /** The link accepts no new attempts; a new connection has to show whether the peer is alive. */
  readonly suspect: () => void;
  readonly opened: () => void;
  /** The connection could not be opened. A reachable machine answers in time, even if only by refusing it. */
  readonly openFailed: (isAnswered: boolean) => void;
  readonly closed: () => void;
  /** Cancellations should be repeated on another connection, since this one may not deliver them. */
  readonly cancelsUnacknowledged: (requestIds: readonly string[]) => void;
}

export function keyOf({ address, port }: RelayAddress): string {
  return `${address}:${port}`;
}

/** A connection and its attempts. */
export class RelayLink {
  readonly key: string;
  private readonly streams = new Map<number, RelayedAttempt>();
  private readonly request: http.ClientRequest;
  private connection: RelayConnection | undefined;
  private readonly connectStartedAtMs: number;
  private lastStreamId = 0;
  private isClosed = false;
  /** Whether the peer's machine has answered, even if only by refusing the connection. */
  private hasMachineAnswered = false;
  private isSuspect = false;
  /** Whether nothing arrives on the connection while a new one works. */
  private isUnresponsive = false;
  /** When the connection was lost without a working new one; undefined if it was not. */
  private peerLostAtMs: number | undefined;
  private lastSentAtMs = -Infinity;
  private readonly unacknowledgedCancels = new UnacknowledgedCancellations();

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
    // After a pause of the process the timer may fire before the socket event of an open connection is read.
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
      cancelled: (requestId) => this.recordCancel(requestId),
      windowBudget: this.options.windowBudget,
      ended: () => this.handleStreamEnd(streamId),
    });
    this.streams.set(streamId, attempt);
    if (this.connection !== undefined) {
      this.passBarrier(streamId, attempt);
    }
    return attempt;
  }

  /** Cancellations on this connection that the peer may not receive; none while the connection is not suspect. */
  get unacknowledgedCancelIds(): readonly string[] {
    return this.isSuspect ? this.unacknowledgedCancels.requestIds : [];
  }

  /** Cancels attempts whose requests were sent on other connections to the peer; returns false if it is not open. */
  repeatCancels(requestIds: readonly string[]): boolean {
    const { connection } = this;
    if (connection === undefined || this.isSuspect) {
      return false;
    }
    requestIds.forEach((requestId) => connection.send({ kind: 'cancel-attempt', requestId }));
    return true;
  }

  /** Must be called periodically. */
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

  /** The peer's machine does not answer connection attempts. */
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
      [RELAY_CLOCK_HEADER]: Math.floor(this.connectStartedAtMs),
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
      slotsAnnounced: (frame: FreeSlotsFrame) => this.options.onFreeSlots?.(announcementOf(frame)),
      slotFrameReceived: (frame: SlotOfferFrame | SlotDeclineFrame) => this.handleSlotFrame(frame),
      closed: () => this.end('lost'),
    };
    this.connection = new RelayConnection(socket, head, observer, watch);
    this.observer.opened();
    this.streams.forEach((attempt, streamId) => this.passBarrier(streamId, attempt));
  }

  private passBarrier(streamId: number, attempt: RelayedAttempt): void {
    const send = (): void => {
      if (this.streams.has(streamId)) {
        this.send(attempt);
      }
    };
    if (this.options.beforeSend === undefined) {
      send();
    } else {
      this.options.beforeSend(send);
    }
  }

  private send(attempt: RelayedAttempt): void {
    this.lastSentAtMs = this.options.scheduler.now();
    attempt.send();
  }

  private recordCancel(requestId: string): void {
    this.lastSentAtMs = this.options.scheduler.now();
    this.unacknowledgedCancels.delivered(this.connection?.deliveredMs ?? -Infinity);
    this.unacknowledgedCancels.add(requestId, this.lastSentAtMs);
    if (this.isSuspect) {
      this.observer.cancelsUnacknowledged([requestId]);
    }
  }

  /** An aborted request awaits no answer, but receiving nothing since it was sent may mean that it was lost. */
  private isUnansweredSinceSend(): boolean {
    return this.connection?.hasReceivedSince(this.lastSentAtMs) === false;
  }

  /**
   * An unresponsive connection may only be slow, so its attempts become suspect but continue. If it stays
   * unresponsive until it is lost although a new connection works, it is closed; without a working new connection
   * the peer's machine may only be paused.
   */
  private handleLivenessStep(step: 'suspect' | 'silent' | 'lost', quietMs: number): void {
    const attempts = [...this.streams.values()];
    if (step === 'suspect') {
      this.unacknowledgedCancels.delivered(this.connection?.deliveredMs ?? -Infinity);
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

  /** Ends attempts at endpoints that were delisted with the peer; a paused peer stays listed for longer. */
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

  /** A suspect connection accepts no new attempts, so it is closed after its last one. */
  private handleStreamEnd(streamId: number): void {
    this.streams.delete(streamId);
    if (this.isSuspect && this.streams.size === 0) {
      this.connection?.end();
      this.options.scheduler.schedule(CLOSE_TIMEOUT_MS, () => this.connection?.destroy());
    }
  }

  /** A suspect connection may close on this side only, and the peer would go on with its requests. */
  private repeatCancelsAtClose(): void {
    const attempted = [...this.streams.values()].filter((attempt) => attempt.wasSent);
    const requestIds = [
      ...this.unacknowledgedCancelIds,
      ...attempted.map(({ requestId }) => requestId),
    ];
    if (this.isSuspect && requestIds.length > 0) {
      this.observer.cancelsUnacknowledged(requestIds);
    }
  }

  private closeIdle(): void {
    if (this.streams.size === 0) {
      this.observer.retired();
      this.connection?.end();
    }
  }

  private handleSlotFrame(frame: SlotOfferFrame | SlotDeclineFrame): void {
    if (frame.kind === 'slot-offer' && this.options.onSlotOffer?.(frame) !== true) {
      this.connection?.send({ ...frame, kind: 'slot-decline' });
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
    this.repeatCancelsAtClose();
    for (const attempt of [...this.streams.values()]) {
      attempt.connectionClosed(cause);
    }
  }
}
