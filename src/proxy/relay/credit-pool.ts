/**
 * Credit that a node gives to the senders of bodies. The bytes that all senders together have on the way
 * to the node are bounded, so that a link of few bytes a second does not fill with bodies: what is urgent
 * waits behind {@link POOL_BYTES} at most, whatever the number of bodies and of connections.
 */
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { ArrivalRate } from './arrival-rate.js';

/**
 * Bytes of bodies on their way to a node at most. Keeps a link of 7 Mbit/s busy, and is carried by it in
 * 56 ms: a quarter of the target latency of the calls that share it. With windows for each body alone, ten
 * uploads of 60 KB held up ten calls for 742 ms on such a link (`upload-bodies.test.ts`).
 */
export const POOL_BYTES = 48 * 1024;
/** Bytes that are granted at once, so that a body of 60 KB takes four grants. */
const GRANT_BYTES = 16 * 1024;
/**
 * A sender that has not used its credit for this long, in milliseconds, no longer holds up the others: it
 * has nothing to send, or nothing is heard of it. Several times what a narrow link takes for the pool.
 */
const STALL_MS = 150;

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
  /** Time until the body is here, at the measured pace, in milliseconds. */
  expectedMs(): number;
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
      expectedMs: () => this.expectedMs(body),
    });
    const after = this.bodies.findIndex((other) => other.rank > request.rank);
    this.bodies.splice(after < 0 ? this.bodies.length : after, 0, body);
    return body;
  }

  /** Bodies are carried in their order. */
  private expectedMs(body: PooledCredit): number {
    let bytes = 0;
    for (const other of this.bodies) {
      bytes += other.owedBytes;
      if (other === body) {
        break;
      }
    }
    return this.rate.msFor(bytes);
  }

  private measure(bodyMs: number): void {
    this.onBodyMs?.(bodyMs);
    const previous = this.meanMs ?? bodyMs;
    this.meanMs = previous + (bodyMs - previous) * COLLECT_WEIGHT;
  }

  private changed(body: PooledCredit, arrivedBytes: number): void {
    const nowMs = this.scheduler.now();
    if (arrivedBytes > 0) {
      body.moved(nowMs);
      this.rate.arrived(arrivedBytes, nowMs);
    }
    if (body.isClosed) {
      const at = this.bodies.indexOf(body);
      this.bodies.splice(at, at < 0 ? 0 : 1);
    }
    this.grantInOrder(nowMs);
  }

  /** A body that waits is not overtaken by those behind it. */
  private grantInOrder(nowMs: number): void {
    let freeBytes = POOL_BYTES;
    for (const body of this.bodies) {
      freeBytes -= body.heldBytes(nowMs);
    }
    const waiting = this.bodies.filter((body) => body.nextGrantBytes > 0);
    let next = waiting.shift();
    while (next !== undefined && next.nextGrantBytes <= freeBytes) {
      freeBytes -= next.nextGrantBytes;
      next.grantNext(nowMs);
      next = next.nextGrantBytes > 0 ? next : waiting.shift();
    }
    this.rate.setSaturated(next !== undefined, nowMs);
    this.watchForStall(next !== undefined);
  }

  private watchForStall(isWaited: boolean): void {
    this.cancelStallTimer?.();
    this.cancelStallTimer = isWaited
      ? this.scheduler.schedule(STALL_MS, () => this.grantInOrder(this.scheduler.now()))
      : undefined;
  }
}

/** What the credit of a body needs of its pool. */
interface PoolLink {
  /** The body arrived in full. */
  readonly whole: () => void;
  readonly changed: (arrivedBytes: number) => void;
  readonly expectedMs: () => number;
}

class PooledCredit implements BodyCredit {
  readonly rank: number;
  isClosed = false;
  /** Granted and not arrived yet. */
  private underWayBytes = 0;
  /** When credit was last granted or used. */
  private movedAtMs = 0;
  /** Whether its sender has sent something; until then it gets one grant. */
  private hasMoved = false;
  /** Whether its sender left credit unused; it then gets one grant at a time, apart from the pool. */
  private isSlow = false;
  private wantedBytes = 0;
  private ungrantedBytes: number;

  constructor(
    private readonly request: CreditRequest,
    private readonly pool: PoolLink,
  ) {
    this.rank = request.rank;
    this.ungrantedBytes = request.lengthBytes ?? Infinity;
  }

  /** What is still to come, as far as it is known. */
  get owedBytes(): number {
    const isSized = Number.isFinite(this.ungrantedBytes);
    return this.underWayBytes + (isSized ? this.ungrantedBytes : this.wantedBytes);
  }

  get nextGrantBytes(): number {
    if ((this.isSlow || !this.hasMoved) && this.underWayBytes > 0) {
      return 0;
    }
    return Math.min(GRANT_BYTES, this.wantedBytes, this.ungrantedBytes);
  }

  /** Bytes of the pool that its credit takes. */
  heldBytes(nowMs: number): number {
    this.isSlow ||= this.underWayBytes > 0 && nowMs - this.movedAtMs >= STALL_MS;
    return this.isSlow ? 0 : this.underWayBytes;
  }

  /** Bytes arrived. */
  moved(nowMs: number): void {
    const wasInTime = nowMs - this.movedAtMs < STALL_MS;
    this.isSlow &&= !(wasInTime && this.underWayBytes === 0);
    this.movedAtMs = nowMs;
    this.hasMoved = true;
  }

  grantNext(nowMs: number): void {
    const bytes = this.nextGrantBytes;
    this.movedAtMs = nowMs;
    this.wantedBytes -= bytes;
    this.ungrantedBytes -= bytes;
    this.underWayBytes += bytes;
    this.request.grant(bytes);
  }

  expectedMs(): number {
    return this.pool.expectedMs();
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
}
