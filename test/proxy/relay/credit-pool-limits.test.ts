/**
 * Guards against three failures of the credit pool:
 *
 * - A rate measured while the link was slow or the process paused is kept forever: every upload is then refused
 *   based on its head because of its expected transfer time, no body arrives, and the rate is never measured again.
 * - On a link that needs more than 150 ms to transfer the pool, every sender is considered stalled and its credit is
 *   granted to the next one, so that the bytes in flight grow with the number of bodies.
 * - A long body occupies the whole pool until it ends.
 */
import { expect } from 'chai';
import { CreditPool, POOL_BYTES, type BodyCredit } from '../../../src/proxy/relay/credit-pool.js';
import type { Scheduler } from '../../../src/proxy/scheduler.js';
import { VirtualScheduler } from '../../../tools/emulator/virtual-scheduler.js';

const UPLOAD_BYTES = 60_000;
const FRAME_BYTES = 16 * 1024;

/** A virtual clock and one link to the node that transfers frames in the order of their grants. */
class Link implements Scheduler {
  readonly pool = new CreditPool(this);
  /** Bytes granted but not yet received: current and maximum. */
  inFlightBytes = 0;
  maxInFlightBytes = 0;
  private readonly clock = new VirtualScheduler();
  private freeAtMs = 0;
  private pausedMs = 0;

  constructor(public bytesPerMs: number) {}

  now(): number {
    return this.clock.nowMs + this.pausedMs;
  }

  schedule(delayMs: number, action: () => void): () => void {
    let isCancelled = false;
    const run = (): void => (isCancelled ? undefined : action());
    this.clock.schedule(this.clock.nowMs + delayMs, { run });
    return () => {
      isCancelled = true;
    };
  }

  advance(ms: number): void {
    this.clock.runUntil(this.clock.nowMs + ms);
  }

  /** Pauses the process: timers that were due fire late and all at once. */
  pause(ms: number): void {
    this.pausedMs += ms;
  }

  /** Opens a body whose sender uses all credit immediately and whose receiver reads immediately. */
  upload(lengthBytes: number, rank = 0): Body {
    const body = new Body(this, lengthBytes, rank);
    body.credit.addDemand(64 * 1024);
    return body;
  }

  carry(bytes: number, arrived: () => void): void {
    this.inFlightBytes += bytes;
    this.maxInFlightBytes = Math.max(this.maxInFlightBytes, this.inFlightBytes);
    this.freeAtMs = Math.max(this.freeAtMs, this.now()) + bytes / this.bytesPerMs;
    this.schedule(this.freeAtMs - this.now(), () => {
      this.inFlightBytes -= bytes;
      arrived();
    });
  }
}

class Body {
  arrivedBytes = 0;
  grantedBytes = 0;
  readonly credit: BodyCredit;

  constructor(link: Link, lengthBytes: number, rank: number) {
    this.credit = link.pool.open({
      rank,
      lengthBytes,
      grant: (bytes) => {
        this.grantedBytes += bytes;
        for (let remaining = bytes; remaining > 0; remaining -= FRAME_BYTES) {
          const part = Math.min(remaining, FRAME_BYTES);
          link.carry(part, () => {
            this.arrivedBytes += part;
            this.credit.addDemand(part);
            this.credit.recordArrival(part);
            if (this.arrivedBytes === lengthBytes) {
              this.credit.close();
            }
          });
        }
      },
    });
  }
}

describe('CreditPool under adverse conditions', () => {
  /** Submits one upload per second; each is refused based on its head if it is expected to take more than 2 s. */
  function outcomesOf(link: Link, count: number): Set<string> {
    const outcomes = new Set<string>();
    for (let second = 0; second < count; second += 1) {
      const body = link.upload(UPLOAD_BYTES);
      const isRefused = body.credit.expectedArrival().endsAtMs - link.now() > 2_000;
      outcomes.add(isRefused ? 'refused' : 'taken');
      if (isRefused) {
        body.credit.close();
      }
      link.advance(1_000);
    }
    return outcomes;
  }

  it('accepts uploads again after a slow link becomes fast', () => {
    const link = new Link(20);
    Array.from({ length: 60 }, () => link.upload(UPLOAD_BYTES));
    link.advance(300_000);
    expect(link.inFlightBytes).to.equal(0);
    link.bytesPerMs = 875;
    expect([...outcomesOf(link, 60)]).to.include('taken');
  });

  it('accepts uploads again after a pause of the process', () => {
    const link = new Link(875);
    Array.from({ length: 10 }, () => link.upload(UPLOAD_BYTES));
    link.pause(5_000);
    link.advance(10_000);
    expect(link.inFlightBytes).to.equal(0);
    expect([...outcomesOf(link, 60)]).to.include('taken');
  });

  it('bounds the bytes in flight on a 1 Mbit/s link', () => {
    const link = new Link(125);
    Array.from({ length: 60 }, () => link.upload(UPLOAD_BYTES));
    link.advance(5_000);
    expect(link.maxInFlightBytes).to.be.at.most(2 * POOL_BYTES);
  });

  it('lets a short body complete while a long one of the same rank is in progress', () => {
    const link = new Link(875);
    const long = link.upload(20_000_000);
    link.advance(100);
    const short = link.upload(UPLOAD_BYTES);
    link.advance(2_000);
    expect(long.arrivedBytes).to.be.greaterThan(0);
    expect(short.arrivedBytes).to.equal(UPLOAD_BYTES);
  });
});
