/** One relay connection that a peer has opened, with its requests. */
import { PROCESSOR_TIME } from '../../clock/processor-time.js';
import type { Duplex } from 'node:stream';
import type { CounterSink } from '../../control/control-event.js';
import type { Endpoint } from '../../model/resource.js';
import type { Snapshot } from '../../model/snapshot.js';
import type { FreeSlotAnnouncement } from '../../routing/free-slot-announcements.js';
import type { Call } from '../call.js';
import { relayedRequestFault } from '../message-head.js';
import type { ProxyLimits } from '../proxy-limits.js';
import { BadRequestError, NodeStoppingError, UnknownEndpointError } from '../request-error.js';
import type { RequestLog } from '../request-log.js';
import type { Scheduler } from '../scheduler.js';
import type { SlotListener } from '../waiting/slot-offer.js';
import type { CreditPool } from './credit-pool.js';
import { ConnectionLiveness, type LivenessLimits } from './link-pulse.js';
import { PendingRequests } from './pending-requests.js';
import { RelayConnection } from './relay-connection.js';
import type { RequestFrame, SlotDeclineFrame, SlotOfferFrame, StreamFrame } from './relay-frame.js';
import type { UnresponsiveConnection } from './relay-link.js';
import { freeSlotsFrameOf, ratePerSOf } from './relay-load.js';
import type { AnnouncementReceiver } from '../slot-announcements.js';
import { RelayedRequest, type OwnedEndpoints } from './relayed-request.js';
import { TravelTime } from './travel-time.js';

/**
 * A receiver pings later than senders, whose own pings show that they are alive, and abandons requests later than
 * senders do, so that no one is still waiting for them. Without a new connection from the peer the timeout is
 * longer, because the peer may only be paused.
 */
const RECEIVER_LIVENESS: LivenessLimits = { quietMs: 500, unconfirmedLossTimeoutMs: 5_000 };

/** Dependencies of the server on its node. */
export interface RelayServerOptions {
  readonly machineId: string;
  readonly limits: ProxyLimits;
  readonly counters: CounterSink;
  readonly scheduler: Scheduler;
  /** Returns the machine identity that a token proves; undefined if the token is invalid. */
  readonly verifyToken: (token: string | undefined) => string | undefined;
  readonly snapshot: () => Snapshot | undefined;
  readonly endpoints: OwnedEndpoints;
  /** Runs the action once the process has read what had arrived; at once if the process is on time. */
  readonly whenInputRead: (action: () => void) => void;
  /** Longest time for which input may be unread, in milliseconds; 0 if the process is on time. */
  readonly maxUnreadMs: () => number;
  /** Whether answers tell peers that the node is about to stop. */
  readonly isStopping: () => boolean;
  /** Whether new requests are refused because the node is about to stop. */
  readonly refusesNewWork: () => boolean;
  /** Limits the deadline of a new request if the node is about to stop. */
  readonly deadlineWithin: (deadlineAtMs: number) => number;
  readonly requestLog: RequestLog;
  /** Counts a request as in flight until the returned function is called. */
  readonly trackRequest: () => () => void;
  /** Called when a peer's connection is closed because it is unresponsive. */
  readonly onUnresponsive?: (from: string, silence: UnresponsiveConnection) => void;
  /** Called with the excess transit delay of each request, in milliseconds. */
  readonly onTravelLostMs?: ((ms: number) => void) | undefined;
  /** Called with the time from the head of each request to the end of its body, in milliseconds. */
  readonly onBodyMs?: ((ms: number) => void) | undefined;
}

/** What the connections of one server share. */
export interface SharedState {
  readonly credits: CreditPool;
  readonly onRemove: () => void;
  /** Cancels an attempt of the same sender whose request arrived, or will arrive, on another connection. */
  readonly cancelAttempt: (requestId: string) => void;
  /** Whether an attempt was cancelled before its request arrived. */
  readonly wasCancelled: (requestId: string) => boolean;
}

/** Upgrade of a connection opened by a peer. */
export interface PeerConnectionRequest {
  readonly socket: Duplex;
  readonly head: Buffer;
  /** IP address of the peer's machine. */
  readonly remoteAddress: string | undefined;
  /** When the peer began to open it, on the peer's clock; undefined if the peer does not tell. */
  readonly openedAtMs: number | undefined;
}

/** Connection of one peer with its requests. */
export class RelayPeer implements AnnouncementReceiver {
  readonly remoteAddress: string | undefined;
  private readonly requests = new Map<number, RelayedRequest>();
  private readonly connection: RelayConnection;
  private readonly travelTime = new TravelTime();
  private readonly pendingRequests: PendingRequests;
  private isEnded = false;
  private readonly slotListener: SlotListener = {
    slotOffered: (offer) => void this.connection.send({ kind: 'slot-offer', ...offer }),
  };
  private onClosed: () => void = () => undefined;
  /** When the last frame was sent to the peer in response to a request. */
  lastAnswerSentAtMs = -Infinity;

  constructor(
    readonly sender: string,
    { socket, head, remoteAddress, openedAtMs }: PeerConnectionRequest,
    private readonly options: RelayServerOptions,
    private readonly shared: SharedState,
  ) {
    this.remoteAddress = remoteAddress;
    const { scheduler } = options;
    const watch = {
      liveness: new ConnectionLiveness(RECEIVER_LIVENESS, 0, scheduler.now()),
      scheduler,
      onLivenessStep: (step: 'suspect' | 'silent' | 'lost', quietMs: number) =>
        this.handleLivenessStep(step, quietMs),
    };
    const observer = {
      received: (frames: readonly StreamFrame[]) => this.receive(frames),
      attemptCancelled: (requestId: string) => shared.cancelAttempt(requestId),
      slotFrameReceived: (frame: SlotOfferFrame | SlotDeclineFrame) => this.handleSlotFrame(frame),
      closed: () => this.end(),
    };
    this.connection = new RelayConnection(socket, head, observer, watch);
    if (openedAtMs !== undefined) {
      this.travelTime.lostMs(openedAtMs, scheduler.now());
    }
    this.pendingRequests = new PendingRequests({
      scheduler,
      whenInputRead: options.whenInputRead,
      whenPeerHasRead: (action) => this.connection.whenPeerHasRead(action),
      transitDelayMs: ({ sentAtMs }) =>
        this.travelTime.lostMs(sentAtMs, scheduler.now()) - options.maxUnreadMs(),
      start: (frame) => this.start(frame),
      onHeld: () => options.counters.add('ferryspool_relayed_requests_held_total'),
    });
  }

  checkLiveness(): void {
    this.connection.checkLiveness(this.activeCount > 0);
  }

  /** The peer has opened another connection. */
  confirmPeerAlive(): void {
    this.connection.confirmPeerAlive();
  }

  get unstartedCount(): number {
    return this.pendingRequests.size;
  }

  private get activeCount(): number {
    return this.requests.size + this.pendingRequests.size;
  }

  /** Closing a lost connection frees the slots and the credit of its requests. */
  private handleLivenessStep(step: 'suspect' | 'silent' | 'lost', quietMs: number): void {
    if (step === 'lost') {
      this.options.onUnresponsive?.(this.remoteAddress ?? this.sender, {
        awaitedCount: this.activeCount,
        quietMs,
      });
      this.connection.destroy();
    }
  }

  close(onClosed: () => void): void {
    this.onClosed = onClosed;
    this.connection.end();
  }

  destroy(): void {
    this.connection.destroy();
  }

  giveUp(): number {
    const { requestLog } = this.options;
    return [...this.requests.values()].filter((request) => request.giveUp(requestLog)).length;
  }

  announceSlots(announcement: FreeSlotAnnouncement): void {
    if (!this.isEnded) {
      this.connection.send(freeSlotsFrameOf(announcement));
    }
  }

  /** Cancels a request of this connection; returns false if there is none with the id. */
  cancelAttempt(requestId: string): boolean {
    if (this.pendingRequests.removeById(requestId)) {
      return true;
    }
    const found = [...this.requests.values()].find((request) => request.requestId === requestId);
    found?.abandon('cancelled', this.options.requestLog);
    return found !== undefined;
  }

  private receive(frames: readonly StreamFrame[]): void {
    frames.forEach((frame) => this.handleFrame(frame));
    this.pendingRequests.startWhenRead();
  }

  private handleSlotFrame(frame: SlotOfferFrame | SlotDeclineFrame): void {
    if (frame.kind === 'slot-decline') {
      this.options.endpoints.slotDeclined(frame, this.slotListener);
    }
  }

  private handleFrame(frame: StreamFrame): void {
    if (frame.kind === 'request') {
      if (!this.shared.wasCancelled(frame.requestId)) {
        this.pendingRequests.add(frame);
      }
      return;
    }
    if (frame.kind === 'cancel' && this.pendingRequests.remove(frame.streamId)) {
      return;
    }
    const request = this.requests.get(frame.streamId);
    if (frame.kind === 'cancel') {
      request?.abandon('cancelled', this.options.requestLog);
    } else {
      request?.handleFrame(frame);
    }
  }

  private start(frame: RequestFrame): void {
    const { options } = this;
    options.counters.add('ferryspool_relayed_requests_total');
    const { streamId } = frame;
    const untrackRequest = options.trackRequest();
    const link = {
      send: (outgoing: StreamFrame) => this.send(outgoing),
      ended: () => {
        this.requests.delete(streamId);
        untrackRequest();
      },
      isStopping: options.isStopping,
    };
    const { limits, scheduler } = options;
    const request = new RelayedRequest(
      frame,
      limits.maxBodyBytes,
      link,
      this.shared.credits,
      scheduler,
    );
    this.requests.set(streamId, request);
    if (options.refusesNewWork()) {
      request.failed(new NodeStoppingError('the node is about to stop'));
      return;
    }
    const fault = relayedRequestFault(frame);
    if (fault !== undefined) {
      request.failed(new BadRequestError(`the request cannot be sent on: ${fault}`));
      return;
    }
    const endpoint = this.ownedEndpoint(frame);
    if (endpoint === undefined) {
      request.failed(new UnknownEndpointError('this node does not own the endpoint'));
      return;
    }
    const maxRatePerS = ratePerSOf(frame.knownMaxRatePerKs);
    if (maxRatePerS !== undefined) {
      options.endpoints.rateLimitReported(endpoint, maxRatePerS);
    }
    options.endpoints.senderSeen?.(endpoint, this);
    request.start(options.endpoints, endpoint, this.callOf(frame, request));
    const isAdmitted = this.requests.has(streamId);
    PROCESSOR_TIME.workEnded(isAdmitted ? 'attempt-admitted' : 'attempt-refused');
  }

  private send(frame: StreamFrame): boolean {
    this.lastAnswerSentAtMs = this.options.scheduler.now();
    return this.connection.send(frame);
  }

  private callOf(frame: RequestFrame, request: RelayedRequest): Call {
    const nowMs = this.options.scheduler.now();
    const travelLostMs = this.travelTime.lostMs(frame.sentAtMs, nowMs);
    const sentAtMs = nowMs - travelLostMs;
    this.options.onTravelLostMs?.(travelLostMs);
    const { targetLeftMs, startLeftMs, slotWishLeftMs, offerId } = frame;
    return {
      requestId: frame.requestId,
      method: frame.method,
      target: frame.target,
      headers: frame.headers,
      body: request.body,
      deadlineAtMs: this.options.deadlineWithin(sentAtMs + frame.remainingMs),
      callerNode: this.sender,
      retriesLeft: Math.min(frame.retriesLeft, this.options.limits.maxRetries),
      priority: frame.priority,
      workClass: frame.workClass,
      travelLostMs,
      ...(targetLeftMs !== undefined && { targetAtMs: sentAtMs + targetLeftMs }),
      ...(startLeftMs !== undefined && { startByMs: sentAtMs + startLeftMs }),
      ...(slotWishLeftMs !== undefined && {
        slotWish: { listener: this.slotListener, untilMs: sentAtMs + slotWishLeftMs },
      }),
      ...(offerId !== undefined && { offerId }),
    };
  }

  private ownedEndpoint({ service, endpoint: name }: RequestFrame): Endpoint | undefined {
    const { snapshot, machineId } = this.options;
    const endpoints = snapshot()?.endpointsByService.get(service);
    return endpoints?.find((one) => one.name === name && one.spec.machine === machineId);
  }

  private end(): void {
    this.isEnded = true;
    this.pendingRequests.clear();
    this.options.endpoints.listenerGone(this.slotListener);
    for (const request of [...this.requests.values()]) {
      request.abandon('connection-closed', this.options.requestLog);
    }
    this.shared.onRemove();
    this.onClosed();
  }
}
