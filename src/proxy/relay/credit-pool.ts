/**
 * Credit that a node gives to the senders of bodies. The bytes that all senders together have on the way
 * to the node are bounded, so that a link of few bytes a second does not fill with bodies: what is urgent
 * waits behind {@link POOL_BYTES} at most, whatever the number of bodies and of connections.
 */
import type { BodyArrival } from '../../admission/endpoint-admission.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { ArrivalRate } from './arrival-rate.js';
import { isCollected } from './collected-body.js';

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
const STALL_POOL_TIMES = 4;
/** Weight of a new measurement in the running mean of the time that bodies take. */
const COLLECT_WEIGHT = 0.2;

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
  want(bytes: number): void;
  arrived(bytes: number): void;
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
      whole: () => this.measure(this.scheduler.now() - openedAtMs),
      changed: (arrivedBytes) => this.changed(body, arrivedBytes),
      expectedArrival: () => this.expectedArrival(body),
    });
    this.enqueue(body);
    return body;
  }

  /** Puts a body behind those of its rank. */
  private enqueue(body: PooledCredit): void {
    const after = this.bodies.findIndex((other) => other.rank > body.rank);
    this.bodies.splice(after < 0 ? this.bodies.length : after, 0, body);
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
    const aheadBytes = ahead.reduce((bytes, other) => bytes + other.owedBytes, 0);
    if (aheadBytes === 0) {
      return { beginsAtMs: nowMs, endsAtMs: nowMs };
    }
    const beginBytes = Math.max(0, aheadBytes - POOL_BYTES);
    return {
      beginsAtMs: nowMs + this.rate.msFor(beginBytes, nowMs),
      endsAtMs: nowMs + this.rate.msFor(aheadBytes + body.owedBytes, nowMs),
    };
  }

  private measure(bodyMs: number): void {
    this.onBodyMs?.(bodyMs);
    const previous = this.meanMs ?? bodyMs;
    this.meanMs = previous + (bodyMs - previous) * COLLECT_WEIGHT;
  }

  private changed(body: PooledCredit, arrivedBytes: number): void {
    const nowMs = this.scheduler.now();
    if (arrivedBytes > 0) {
      this.arrivedBytes += arrivedBytes;
      this.lastArrivalAtMs = nowMs;
      body.moved(this.arrivedBytes, nowMs);
      this.rate.arrived(arrivedBytes, nowMs);
    }
    if (body.isClosed) {
      this.dequeue(body);
    }
    this.grantInOrder(nowMs);
  }

  /** A body that waits is not overtaken by those behind it; long ones take turns with the others. */
  private grantInOrder(nowMs: number): void {
    let freeBytes = POOL_BYTES - this.heldBytes(nowMs);
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
  private heldBytes(nowMs: number): number {
    const stalledSinceMs = nowMs - this.stallMs(nowMs);
    const isStalled = this.lastArrivalAtMs <= stalledSinceMs;
    let bytes = 0;
    for (const body of this.bodies) {
      body.judge(this.arrivedBytes, isStalled ? stalledSinceMs : -Infinity);
      bytes += body.isSlow ? 0 : body.underWayBytes;
    }
    return bytes;
  }

  private stallMs(nowMs: number): number {
    return Math.max(STALL_MS, STALL_POOL_TIMES * this.rate.msFor(POOL_BYTES, nowMs));
  }

  private watchForStall(isWaited: boolean): void {
    this.cancelStallTimer?.();
    const nowMs = this.scheduler.now();
    this.cancelStallTimer = isWaited
      ? this.scheduler.schedule(this.stallMs(nowMs), () => this.grantInOrder(this.scheduler.now()))
      : undefined;
  }
}

/** What the credit of a body needs of its pool. */
interface PoolLink {
  /** The body arrived in full. */
  readonly whole: () => void;
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
  underWayBytes = 0;
  /** When credit was last granted or used, and what had arrived of all bodies by then. */
  private movedAtMs = 0;
  private movedAtBytes = 0;
  /** Whether its sender has sent something; until then it gets one grant. */
  private hasMoved = false;
  private wantedBytes = 0;
  private ungrantedBytes: number;

  constructor(
    private readonly request: CreditRequest,
    private readonly pool: PoolLink,
  ) {
    this.rank = request.rank;
    this.ungrantedBytes = request.lengthBytes ?? Infinity;
    this.isLong = !isCollected(request.lengthBytes);
  }

  /** What is still to come before its turn is over. */
  get owedBytes(): number {
    const toGrant = this.isLong
      ? Math.min(this.wantedBytes, this.ungrantedBytes, GRANT_BYTES)
      : this.ungrantedBytes;
    return this.underWayBytes + toGrant;
  }

  get nextGrantBytes(): number {
    const isAlone = this.isSlow || this.isLong || !this.hasMoved;
    if (isAlone && this.underWayBytes > 0) {
      return 0;
    }
    return Math.min(GRANT_BYTES, this.wantedBytes, this.ungrantedBytes);
  }

  /** Takes whether its sender leaves credit unused that it got before `stalledSinceMs`. */
  judge(arrivedBytes: number, stalledSinceMs: number): void {
    const isOvertaken = arrivedBytes - this.movedAtBytes >= OVERTAKEN_BYTES;
    const isStalled = this.movedAtMs <= stalledSinceMs;
    this.isSlow ||= this.underWayBytes > 0 && (isOvertaken || isStalled);
  }

  /** Bytes arrived; a sender that has used its credit before others overtook it is not slow any more. */
  moved(arrivedBytes: number, nowMs: number): void {
    const wasInTime = arrivedBytes - this.movedAtBytes < OVERTAKEN_BYTES;
    this.isSlow &&= !(wasInTime && this.underWayBytes === 0);
    this.mark(arrivedBytes, nowMs);
    this.hasMoved = true;
  }

  grantNext(arrivedBytes: number, nowMs: number): void {
    const bytes = this.nextGrantBytes;
    this.mark(arrivedBytes, nowMs);
    this.wantedBytes -= bytes;
    this.ungrantedBytes -= bytes;
    this.underWayBytes += bytes;
    this.request.grant(bytes);
  }

  expectedArrival(): BodyArrival {
    return this.pool.expectedArrival();
  }

  want(bytes: number): void {
    this.wantedBytes += bytes;
    this.pool.changed(0);
  }

  arrived(bytes: number): void {
    this.underWayBytes = Math.max(0, this.underWayBytes - bytes);
    this.pool.changed(bytes);
  }

  close(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      if (this.ungrantedBytes === 0 && this.underWayBytes === 0) {
        this.pool.whole();
      }
      this.pool.changed(0);
    }
  }

  private mark(arrivedBytes: number, nowMs: number): void {
    this.movedAtBytes = arrivedBytes;
    this.movedAtMs = nowMs;
  }
}
