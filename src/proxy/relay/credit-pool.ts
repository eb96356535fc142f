/**
 * Credit that a node gives to the senders of bodies. The bytes that all senders together have on the way
 * to the node are bounded, so that a link of few bytes a second does not fill with bodies: what is urgent
 * waits behind {@link POOL_BYTES} at most, whatever the number of bodies and of connections.
 */
import type { BodyArrival } from '../../admission/endpoint-admission.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { ArrivalRate } from './arrival-rate.js';
import { isBuffered } from './buffered-body.js';

/**
 * Bytes of bodies on their way to a node at most. Keeps a link of 7 Mbit/s busy, and is carried by it in
 * 56 ms: a quarter of the target latency of the calls that share it. With windows for each body alone, ten
 * uploads of 60 KB held up ten calls for 742 ms on such a link (`upload-bodies.test.ts`).
 */
export const POOL_BYTES = 48 * 1024;
/** Bytes that are granted at once, so that a body of 60 KB takes four grants. */
const GRANT_BYTES = 16 * 1024;
/**
 * A sender that leaves its credit unused no longer holds up the others: it has nothing to send, or nothing
 * is heard of it. That is so once others, who were given theirs later, have sent so many bytes, ...
 */
const OVERTAKEN_BYTES = 2 * POOL_BYTES;
/** ... or once nothing has arrived of anybody for this long, in milliseconds, ... */
const STALL_MS = 150;
/** ... and for so many times as long as the pool takes at the measured pace. */
const STALL_POOL_MULTIPLE = 4;
/** Weight of a new measurement in the running mean of the time that bodies take. */
const BODY_TIME_WEIGHT = 0.2;

/** One body that a sender asks to send. */
export interface CreditRequest {
  /** Rank of its request; 0 goes first. */
  readonly rank: number;
  /** Length of the body in bytes; undefined when it is not known. */
  readonly lengthBytes: number | undefined;
  /** Tells the sender that it may send so many bytes more. */
  readonly grant: (bytes: number) => void;
}

/** The credit of one body. */
export interface BodyCredit {
  /** When the body will be here, at the measured pace; now before a measurement. */
  expectedArrival(): BodyArrival;
  /** The receiver has room for so many bytes more. */
  addDemand(bytes: number): void;
  recordArrival(bytes: number): void;
  /** The body is over, or given up. */
  close(): void;
}

/** The pool of one node. */
export class CreditPool {
  /** Bodies that are not over, by rank, and by age within a rank. */
  private readonly bodies: PooledCredit[] = [];
  private readonly rate = new ArrivalRate();
  private cancelStallTimer: CancelTimer | undefined;
  private meanMs: number | undefined;
  /** Bytes that have arrived of all bodies. */
  private arrivedBytes = 0;
  private lastArrivalAtMs = -Infinity;

  /** `onBodyMs` gets the time that each whole body took, in milliseconds. */
  constructor(
    private readonly scheduler: Scheduler,
    private readonly onBodyMs?: (bodyMs: number) => void,
  ) {}

  /** Mean time from the head of a request to the end of its body, in milliseconds; 0 before a body. */
  get meanBodyMs(): number {
    return this.meanMs ?? 0;
  }

  /** A body is to be received; its sender gets credit once its receiver wants some. */
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

  /** Puts a body behind those of its rank. */
  private enqueue(body: PooledCredit): void {
    const insertAt = this.bodies.findIndex((other) => other.rank > body.rank);
    this.bodies.splice(insertAt < 0 ? this.bodies.length : insertAt, 0, body);
  }

  private dequeue(body: PooledCredit): void {
    const at = this.bodies.indexOf(body);
    this.bodies.splice(at, at < 0 ? 0 : 1);
  }

  /**
   * Bodies are carried in their order. Where nothing is ahead nothing is foreseen, so that a pace that was
   * measured on a link in trouble does not turn bodies away once it is well.
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

  /** A body that waits is not overtaken by those behind it; long ones take turns with the others. */
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

  /** Bytes of the pool that are granted and not used, but for those of senders that leave them unused. */
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

/** What the credit of a body needs of its pool. */
interface PoolCallbacks {
  /** The body arrived in full. */
  readonly completed: () => void;
  readonly changed: (arrivedBytes: number) => void;
  readonly expectedArrival: () => BodyArrival;
}

class PooledCredit implements BodyCredit {
  readonly rank: number;
  /** Whether it takes turns with others of its rank; its length may be unknown. */
  readonly isLong: boolean;
  isClosed = false;
  /** Whether its sender left credit unused; it then gets one grant at a time, apart from the pool. */
  isSlow = false;
  /** Granted and not arrived yet. */
  inFlightBytes = 0;
  /** When credit was last granted or used, and what had arrived of all bodies by then. */
  private lastActivityAtMs = 0;
  private poolBytesAtLastActivity = 0;
  /** Whether its sender has sent something; until then it gets one grant. */
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

  /** What is still to come before its turn is over. */
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

  /** Takes whether its sender leaves credit unused that it got before `stalledSinceMs`. */
  detectSlowSender(poolArrivedBytes: number, stalledSinceMs: number): void {
    const isOvertaken = poolArrivedBytes - this.poolBytesAtLastActivity >= OVERTAKEN_BYTES;
    const isStalled = this.lastActivityAtMs <= stalledSinceMs;
    this.isSlow ||= this.inFlightBytes > 0 && (isOvertaken || isStalled);
  }

  /** Bytes arrived; a sender that has used its credit before others overtook it is not slow any more. */
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
