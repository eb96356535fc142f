/** Tests of the flow-control credit that a node grants to the senders of bodies. */
import { expect } from 'chai';
import fc from 'fast-check';
import { CreditPool, POOL_BYTES, type BodyCredit } from '../../../src/proxy/relay/credit-pool.js';
import type { Scheduler } from '../../../src/proxy/scheduler.js';

/** A clock that is advanced manually. */
class ManualTime implements Scheduler {
  private nowMs = 0;
  private timers: { readonly atMs: number; readonly action: () => void }[] = [];

  now(): number {
    return this.nowMs;
  }

  schedule(delayMs: number, action: () => void): () => void {
    const timer = { atMs: this.nowMs + delayMs, action };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((other) => other !== timer);
    };
  }

  advance(ms: number): void {
    this.nowMs += ms;
    const due = this.timers.filter(({ atMs }) => atMs <= this.nowMs);
    this.timers = this.timers.filter(({ atMs }) => atMs > this.nowMs);
    due.forEach(({ action }) => action());
  }
}

/** A sender that uses its credit only when `send` is called. */
class Sender {
  credit: BodyCredit | undefined;
  grantedBytes = 0;
  sentBytes = 0;

  constructor(
    pool: CreditPool,
    readonly lengthBytes: number,
    rank = 0,
    isSized = true,
  ) {
    this.credit = pool.open({
      rank,
      lengthBytes: isSized ? lengthBytes : undefined,
      grant: (bytes) => {
        this.grantedBytes += bytes;
      },
    });
    this.credit.addDemand(64 * 1024);
  }

  get inFlightBytes(): number {
    return this.grantedBytes - this.sentBytes;
  }

  /** Sends as much as its credit allows, up to `bytes`, and closes the body after its last byte. */
  send(bytes = Infinity): void {
    const sent = Math.min(bytes, this.inFlightBytes, this.lengthBytes - this.sentBytes);
    this.sentBytes += sent;
    if (sent > 0) {
      this.credit?.addDemand(sent);
      this.credit?.recordArrival(sent);
    }
    if (this.sentBytes === this.lengthBytes) {
      this.credit?.close();
    }
  }
}

describe('CreditPool', () => {
  /** Transfers all bodies completely; `pick` selects the next sender, `inspect` is called before each step. */
  function carry(
    bodies: readonly [number, number][],
    choices: Iterator<number>,
    pick: (ready: readonly Sender[], choice: number) => Sender | undefined,
    inspect: (inFlightBytes: number) => void,
  ): void {
    const time = new ManualTime();
    const pool = new CreditPool(time);
    const senders = bodies.map(([lengthBytes, rank]) => new Sender(pool, lengthBytes, rank));
    const isOpen = ({ sentBytes, lengthBytes }: Sender): boolean => sentBytes < lengthBytes;
    for (let open = senders; open.length > 0; open = senders.filter(isOpen)) {
      inspect(senders.reduce((sum, sender) => sum + sender.inFlightBytes, 0));
      const choice = Number(choices.next().value);
      const ready = open.filter(({ inFlightBytes }) => inFlightBytes > 0);
      pick(ready, choice)?.send(1 + (choice % 20_000));
      time.advance(1);
    }
  }

  const anyBodies = fc.array(fc.tuple(fc.integer({ min: 1, max: 200_000 }), fc.nat(2)), {
    minLength: 1,
    maxLength: 12,
  });
  const anyChoices = fc.infiniteStream(fc.nat({ max: 1_000_000 }));

  it('never grants more than the pool in total, and completes every body', () => {
    fc.assert(
      fc.property(anyBodies, anyChoices, (bodies, choices) => {
        const lastServedStep = new Map<Sender, number>();
        let step = 0;
        const leastRecentlyServed = (ready: readonly Sender[]): Sender | undefined => {
          step += 1;
          const [first] = [...ready].sort(
            (left, right) => (lastServedStep.get(left) ?? 0) - (lastServedStep.get(right) ?? 0),
          );
          return first && lastServedStep.set(first, step) && first;
        };
        carry(bodies, choices, leastRecentlyServed, (inFlightBytes) => {
          expect(inFlightBytes).to.be.within(1, POOL_BYTES);
        });
      }),
      { numRuns: 100 },
    );
  });

  it('exceeds the pool by at most one grant per overtaken sender, and completes every body', () => {
    fc.assert(
      fc.property(anyBodies, anyChoices, (bodies, choices) => {
        const anyOf = (ready: readonly Sender[], choice: number): Sender | undefined =>
          ready[choice % ready.length];
        carry(bodies, choices, anyOf, (inFlightBytes) => {
          expect(inFlightBytes).to.be.within(1, POOL_BYTES + bodies.length * 16_384);
        });
      }),
      { numRuns: 100 },
    );
  });

  it('grants credit by rank, and in order within a rank', () => {
    const pool = new CreditPool(new ManualTime());
    const [first, second, third] = [60_000, 60_000, 60_000].map(
      (lengthBytes) => new Sender(pool, lengthBytes, 1),
    );
    const urgent = new Sender(pool, 60_000, 0);
    const granted = (): number[] =>
      [first, second, third, urgent].map((body) => body?.grantedBytes ?? 0);
    expect(granted()).to.deep.equal([16_384, 16_384, 16_384, 0]);
    first?.send();
    expect(granted()).to.deep.equal([16_384, 16_384, 16_384, 16_384]);
    second?.send();
    expect(granted()).to.deep.equal([32_768, 16_384, 16_384, 16_384]);
    urgent.send();
    expect(granted()).to.deep.equal([32_768, 16_384, 16_384, 32_768]);
  });

  it('reassigns unused credit, even if many senders send nothing', () => {
    const time = new ManualTime();
    const pool = new CreditPool(time);
    const silent = Array.from({ length: 20 }, () => new Sender(pool, 60_000));
    const ready = new Sender(pool, 60_000);
    for (let step = 0; step < 40 && ready.sentBytes < ready.lengthBytes; step += 1) {
      time.advance(50);
      ready.send();
    }
    expect(ready.sentBytes).to.equal(ready.lengthBytes);
    const waiting = silent.map(({ inFlightBytes }) => inFlightBytes);
    expect(Math.max(...waiting)).to.be.at.most(POOL_BYTES);
  });

  it('restores full credit to a sender that was overtaken', () => {
    const time = new ManualTime();
    const pool = new CreditPool(time);
    const slow = new Sender(pool, 250_000);
    const quick = new Sender(pool, 250_000);
    for (let sent = 0; sent < 4 && quick.sentBytes < 2 * POOL_BYTES; sent += 1) {
      quick.send();
    }
    slow.send();
    quick.send();
    expect(slow.inFlightBytes).to.equal(16_384);
    slow.send();
    quick.send();
    expect(slow.inFlightBytes).to.equal(POOL_BYTES);
  });

  it('estimates the arrival of a body behind waiting ones once a rate is measured', () => {
    const time = new ManualTime();
    const pool = new CreditPool(time);
    const lengthBytes = 65_536;
    const senders = Array.from({ length: 10 }, () => new Sender(pool, lengthBytes));
    expect(senders[9]?.credit?.expectedArrival()).to.deep.equal({ beginsAtMs: 0, endsAtMs: 0 });
    for (let step = 0; step < 25; step += 1) {
      time.advance(10);
      senders.find(({ inFlightBytes }) => inFlightBytes > 0)?.send(8_192);
    }
    const remainingBytes = 11 * lengthBytes - 25 * 8_192;
    const last = new Sender(pool, lengthBytes);
    const { beginsAtMs = 0, endsAtMs = 0 } = last.credit?.expectedArrival() ?? {};
    expect(endsAtMs - time.now()).to.be.closeTo(remainingBytes / 819.2, 60);
    const aheadBytes = remainingBytes - lengthBytes - POOL_BYTES;
    expect(beginsAtMs - time.now()).to.be.closeTo(aheadBytes / 819.2, 60);
    const urgent = new Sender(pool, 8_192, -1);
    expect(urgent.credit?.expectedArrival().endsAtMs).to.equal(time.now());
    const second = new Sender(pool, 8_192, -1);
    expect((second.credit?.expectedArrival().endsAtMs ?? 0) - time.now()).to.be.closeTo(20, 5);
  });

  it('reports the mean transfer time of completed bodies, without abandoned ones', () => {
    const time = new ManualTime();
    const pool = new CreditPool(time);
    expect(pool.meanBodyMs).to.equal(0);
    const completed = new Sender(pool, 4_096);
    time.advance(20);
    completed.send();
    new Sender(pool, 4_096).credit?.close();
    expect(pool.meanBodyMs).to.equal(20);
  });
});
