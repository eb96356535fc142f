/**
 * Flow-control credit that a node grants to the senders of request bodies. The total number of body bytes in
 * flight to the node is bounded, so that bodies do not fill a slow link: urgent frames queue behind at most
 * {@link POOL_BYTES}, regardless of the number of bodies and connections.
 */
import type { BodyArrival } from '../../admission/endpoint-admission.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { ArrivalRate } from './arrival-rate.js';
import { isBuffered } from './collected-body.js';

/**
 * Maximum number of body bytes in flight to a node. Enough to keep a 7 Mbit/s link busy, which transfers it in
 * 56 ms: a quarter of the target latency of the calls that share the link. With per-body windows only, ten
 * uploads of 60 KB delayed ten calls by 742 ms on such a link (`upload-bodies.test.ts`).
 */
export const POOL_BYTES = 48 * 1024;
/** Maximum size of one grant; a body of 60 KB needs four grants. */
const GRANT_BYTES = 16 * 1024;
/**
 * A sender is slow, and its unused credit no longer counts against the pool, once this many bytes of other
 * bodies have arrived since its last grant or arrival: it has nothing to send or is unresponsive.
 */
const OVERTAKEN_BYTES = 2 * POOL_BYTES;
/** Minimum time without arrivals from any sender after which senders with unused credit are slow, in milliseconds. */
const STALL_MS = 150;
/** The stall timeout is at least this multiple of the estimated transfer time of the pool. */
const STALL_POOL_MULTIPLE = 4;
/** Weight of a new measurement in the moving average of the body transfer time. */
const BODY_TIME_WEIGHT = 0.2;

/** A body that a sender asks to send. */
export interface CreditRequest {
  /** Priority rank of the request; 0 is the most urgent. */
  readonly rank: number;
  /** Length of the body in bytes; undefined if unknown. */
  readonly lengthBytes: number | undefined;
  /** Allows the sender to send `bytes` more. */
  readonly grant: (bytes: number) => void;
}

/** Flow-control credit of one body. */
export interface BodyCredit {
  /** Expected arrival of the body at the measured rate; the current time before the first measurement. */
  expectedArrival(): BodyArrival;
  /** The receiver can accept `bytes` more. */
  addDemand(bytes: number): void;
  recordArrival(bytes: number): void;
  /** The body has ended or was abandoned. */
  close(): void;
}

/** Credit pool of one node. */
export class CreditPool {
  /** Open bodies, ordered by rank, then by age; a long body moves to the end of its rank after each grant. */
  private readonly bodies: PooledCredit[] = [];
  private readonly rate = new ArrivalRate();
  private cancelStallTimer: CancelTimer | undefined;
  private meanMs: number | undefined;
  /** Total bytes received, over all bodies. */
  private arrivedBytes = 0;
  private lastArrivalAtMs = -Infinity;

  /** `onBodyMs` receives the transfer time of each completed body, in milliseconds. */
  constructor(
    private readonly scheduler: Scheduler,
    private readonly onBodyMs?: (bodyMs: number) => void,
  ) {}

  /** Mean time from the request head to the end of its body, in milliseconds; 0 before the first body. */
  get meanBodyMs(): number {
    return this.meanMs ?? 0;
  }

  /** Registers a body; its sender is granted credit once the receiver adds demand. */
  open(request: CreditRequest): BodyCredit {
    const openedAtMs = this.scheduler.now();
    const body: PooledCredit = new PooledCredit(request, {
      completed: () => this.recordBodyTime(this.scheduler.now() - openedAtMs),
      changed: (arrivedBytes) => this.changed(body, arrivedBytes),
      expectedArrival: () => this.expectedArrival(body),
    });
    this.enqueue(body);
    return body;
  }

  /** Inserts a body after all others of the same or a more urgent rank. */
  private enqueue(body: PooledCredit): void {
    const insertAt = this.bodies.findIndex((other) => other.rank > body.rank);
    this.bodies.splice(insertAt < 0 ? this.bodies.length : insertAt, 0, body);
  }

  private dequeue(body: PooledCredit): void {
    const at = this.bodies.indexOf(body);
    this.bodies.splice(at, at < 0 ? 0 : 1);
  }

  /**
   * Estimates when the body arrives behind those ahead of it in the queue. With nothing ahead the expected
   * arrival is now, so that a low rate measured on a congested link does not cause refusals after it recovers.
   */
  private expectedArrival(body: PooledCredit): BodyArrival {
    const nowMs = this.scheduler.now();
    const ahead = this.bodies.slice(0, this.bodies.indexOf(body));
    const aheadBytes = ahead.reduce((bytes, other) => bytes + other.remainingTurnBytes, 0);
    if (aheadBytes === 0) {
      return { beginsAtMs: nowMs, endsAtMs: nowMs };
    }
    const beginBytes = Math.max(0, aheadBytes - POOL_BYTES);
    return {
      beginsAtMs: nowMs + this.rate.transferMs(beginBytes, nowMs),
      endsAtMs: nowMs + this.rate.transferMs(aheadBytes + body.remainingTurnBytes, nowMs),
    };
  }

  private recordBodyTime(bodyMs: number): void {
    this.onBodyMs?.(bodyMs);
    const previous = this.meanMs ?? bodyMs;
    this.meanMs = previous + (bodyMs - previous) * BODY_TIME_WEIGHT;
  }

  private changed(body: PooledCredit, arrivedBytes: number): void {
    const nowMs = this.scheduler.now();
    if (arrivedBytes > 0) {
      this.arrivedBytes += arrivedBytes;
      this.lastArrivalAtMs = nowMs;
      body.recordProgress(this.arrivedBytes, nowMs);
      this.rate.recordArrival(arrivedBytes, nowMs);
    }
    if (body.isClosed) {
      this.dequeue(body);
    }
    this.grantInOrder(nowMs);
  }

  /** Grants credit in queue order; long bodies go to the end of their rank after each grant. */
  private grantInOrder(nowMs: number): void {
    let freeBytes = POOL_BYTES - this.outstandingBytes(nowMs);
    let next = this.nextWaiting();
    while (next !== undefined && next.nextGrantBytes <= freeBytes) {
      freeBytes -= next.nextGrantBytes;
      next.grantNext(this.arrivedBytes, nowMs);
      if (next.isLong) {
        this.dequeue(next);
        this.enqueue(next);
      }
      next = this.nextWaiting();
    }
    this.rate.setSaturated(next !== undefined, nowMs);
    this.watchForStall(next !== undefined);
  }

  private nextWaiting(): PooledCredit | undefined {
    return this.bodies.find((body) => body.nextGrantBytes > 0);
  }

  /** Granted bytes that have not arrived, without those of slow senders. */
  private outstandingBytes(nowMs: number): number {
    const stalledSinceMs = nowMs - this.stallMs(nowMs);
    const isStalled = this.lastArrivalAtMs <= stalledSinceMs;
    let bytes = 0;
    for (const body of this.bodies) {
      body.detectSlowSender(this.arrivedBytes, isStalled ? stalledSinceMs : -Infinity);
      bytes += body.isSlow ? 0 : body.inFlightBytes;
    }
    return bytes;
  }

  private stallMs(nowMs: number): number {
    return Math.max(STALL_MS, STALL_POOL_MULTIPLE * this.rate.transferMs(POOL_BYTES, nowMs));
  }

  private watchForStall(hasWaitingBody: boolean): void {
    this.cancelStallTimer?.();
    const nowMs = this.scheduler.now();
    this.cancelStallTimer = hasWaitingBody
      ? this.scheduler.schedule(this.stallMs(nowMs), () => this.grantInOrder(this.scheduler.now()))
      : undefined;
  }
}

/** Callbacks from a body's credit to its pool. */
interface PoolCallbacks {
  /** The whole body was received. */
  readonly completed: () => void;
  readonly changed: (arrivedBytes: number) => void;
  readonly expectedArrival: () => BodyArrival;
}

class PooledCredit implements BodyCredit {
  readonly rank: number;
  /** Whether the body is too long to be buffered, or of unknown length, and alternates with others of its rank. */
  readonly isLong: boolean;
  isClosed = false;
  /** Whether the sender left credit unused; it then gets one grant at a time, which does not count against the pool. */
  isSlow = false;
  /** Bytes granted but not yet received. */
  inFlightBytes = 0;
  /** When credit was last granted or used, and the total bytes received by the pool at that time. */
  private lastActivityAtMs = 0;
  private poolBytesAtLastActivity = 0;
  /** Whether the sender has sent any bytes; until then it gets a single grant. */
  private hasReceivedBytes = false;
  private demandBytes = 0;
  private ungrantedBytes: number;

  constructor(
    private readonly request: CreditRequest,
    private readonly pool: PoolCallbacks,
  ) {
    this.rank = request.rank;
    this.ungrantedBytes = request.lengthBytes ?? Infinity;
    this.isLong = !isBuffered(request.lengthBytes);
  }

  /** Bytes still to be received before the next body's turn. */
  get remainingTurnBytes(): number {
    const ungrantedTurnBytes = this.isLong
      ? Math.min(this.demandBytes, this.ungrantedBytes, GRANT_BYTES)
      : this.ungrantedBytes;
    return this.inFlightBytes + ungrantedTurnBytes;
  }

  get nextGrantBytes(): number {
    const isSingleGrant = this.isSlow || this.isLong || !this.hasReceivedBytes;
    if (isSingleGrant && this.inFlightBytes > 0) {
      return 0;
    }
    return Math.min(GRANT_BYTES, this.demandBytes, this.ungrantedBytes);
  }

  /** Marks the sender as slow if it was overtaken or has had unused credit since `stalledSinceMs`. */
  detectSlowSender(poolArrivedBytes: number, stalledSinceMs: number): void {
    const isOvertaken = poolArrivedBytes - this.poolBytesAtLastActivity >= OVERTAKEN_BYTES;
    const isStalled = this.lastActivityAtMs <= stalledSinceMs;
    this.isSlow ||= this.inFlightBytes > 0 && (isOvertaken || isStalled);
  }

  /** Bytes arrived; a sender that used its credit before being overtaken is no longer slow. */
  recordProgress(poolArrivedBytes: number, nowMs: number): void {
    const wasInTime = poolArrivedBytes - this.poolBytesAtLastActivity < OVERTAKEN_BYTES;
    this.isSlow &&= !(wasInTime && this.inFlightBytes === 0);
    this.markActivity(poolArrivedBytes, nowMs);
    this.hasReceivedBytes = true;
  }

  grantNext(poolArrivedBytes: number, nowMs: number): void {
    const bytes = this.nextGrantBytes;
    this.markActivity(poolArrivedBytes, nowMs);
    this.demandBytes -= bytes;
    this.ungrantedBytes -= bytes;
    this.inFlightBytes += bytes;
    this.request.grant(bytes);
  }

  expectedArrival(): BodyArrival {
    return this.pool.expectedArrival();
  }

  addDemand(bytes: number): void {
    this.demandBytes += bytes;
    this.pool.changed(0);
  }

  recordArrival(bytes: number): void {
    this.inFlightBytes = Math.max(0, this.inFlightBytes - bytes);
    this.pool.changed(bytes);
  }

  close(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      if (this.ungrantedBytes === 0 && this.inFlightBytes === 0) {
        this.pool.completed();
      }
      this.pool.changed(0);
    }
  }

  private markActivity(poolArrivedBytes: number, nowMs: number): void {
    this.poolBytesAtLastActivity = poolArrivedBytes;
    this.lastActivityAtMs = nowMs;
  }
}
