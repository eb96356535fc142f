/** Detection of unresponsive peers and of replicas that are ahead, and the encoding of datagrams. */
import { expect } from 'chai';
import { decodeDatagram, encodeDatagram } from '../../src/peers/peer-datagram.js';
import { PeerMonitor, type PeerEffect } from '../../src/peers/peer-monitor.js';

const TICK_MS = 50;
const OWN = { revision: 10, ageMs: 20, suspicionDigest: 7 };
const CAUGHT_UP = { revision: 12, ageMs: 0, suspicionDigest: 0 };
const NOTHING = { revision: 0, ageMs: 0, suspicionDigest: 0 };

/** Ticks from `fromMs` to `toMs`; returns the effects with their times. */
function run(
  monitor: PeerMonitor,
  fromMs: number,
  toMs: number,
  awaitedSinceMs?: number,
): { atMs: number; effect: PeerEffect }[] {
  const effects: { atMs: number; effect: PeerEffect }[] = [];
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += TICK_MS) {
    const awaited = awaitedSinceMs === undefined ? [] : [{ peer: 'owes', sinceMs: awaitedSinceMs }];
    for (const effect of monitor.tick(nowMs, OWN, awaited)) {
      effects.push({ atMs: nowMs, effect });
    }
  }
  return effects;
}

function monitorOf(peers: readonly string[] = ['owes']): PeerMonitor {
  const monitor = new PeerMonitor(() => 0);
  monitor.setPeers(peers);
  return monitor;
}

function firstOf(
  effects: readonly { atMs: number; effect: PeerEffect }[],
  type: PeerEffect['type'],
): number | undefined {
  return effects.find(({ effect }) => effect.type === type)?.atMs;
}

describe('PeerMonitor', () => {
  it('reports a peer that owes an answer and sends nothing as unresponsive within a second', () => {
    const unresponsiveAtMs = firstOf(run(monitorOf(), 0, 2_000, 0), 'silent');
    expect(unresponsiveAtMs).to.be.within(600, 1_000);
  });

  it('sends only random pings to a peer that owes no answer', () => {
    const effects = run(monitorOf(), 0, 2_000);
    expect(firstOf(effects, 'silent')).to.equal(undefined);
    expect(effects).to.have.length(3);
  });

  const kinds = ['answer', 'acknowledgement', 'ping'] as const;
  for (const received of kinds) {
    it(`reports an unresponsive peer as responsive again after its ${received}`, () => {
      const monitor = monitorOf();
      run(monitor, 0, 1_500, 0);
      expect(monitor.isUnresponsive('owes')).to.equal(true);
      const effects =
        received === 'answer'
          ? monitor.recordReceived('owes', 1_600)
          : monitor.receive(
              'owes',
              { kind: received, revision: 1, ageMs: 0, suspicionDigest: 0 },
              OWN,
              1_600,
            );
      expect(effects.map(({ type }) => type)).to.include('heard-again');
      expect(monitor.isUnresponsive('owes')).to.equal(false);
    });
  }

  it('does not report a peer that acknowledges pings as unresponsive, however slow its answer', () => {
    const monitor = monitorOf();
    for (let nowMs = 0; nowMs <= 5_000; nowMs += TICK_MS) {
      const effects = monitor.tick(nowMs, OWN, [{ peer: 'owes', sinceMs: 0 }]);
      expect(effects.map(({ type }) => type)).to.not.include('silent');
      if (effects.some(({ type }) => type === 'send')) {
        const sign = { kind: 'acknowledgement', ...OWN } as const;
        monitor.receive('owes', sign, OWN, nowMs + 1);
      }
    }
  });

  it('continues to ping an unresponsive peer', () => {
    const monitor = monitorOf([]);
    run(monitor, 0, 1_500, 0);
    const pings = run(monitor, 1_550, 3_550).filter(({ effect }) => effect.type === 'send');
    expect(pings).to.have.length.within(4, 6);
  });

  it('acknowledges a ping with the revision of its own replica', () => {
    const effects = monitorOf().receive(
      'p',
      { kind: 'ping', revision: 3, ageMs: 0, suspicionDigest: 0 },
      OWN,
      0,
    );
    expect(effects).to.deep.equal([
      {
        type: 'send',
        to: 'p',
        datagram: { kind: 'acknowledgement', ...OWN },
      },
    ]);
  });

  it('fetches from a peer that remains ahead, not from one that it catches up with', () => {
    const monitor = monitorOf([]);
    monitor.receive('p', { kind: 'ping', revision: 12, ageMs: 0, suspicionDigest: 0 }, OWN, 0);
    expect(firstOf(run(monitor, 50, 400), 'fetch')).to.equal(undefined);
    expect(firstOf(run(monitor, 450, 1_000), 'fetch')).to.be.within(500, 550);
    expect(monitor.tick(2_000, CAUGHT_UP, [])).to.deep.equal([]);
    expect(monitor.tick(2_500, CAUGHT_UP, [])).to.deep.equal([]);
  });

  it('fetches from the next peer at the same revision after a failed fetch', () => {
    const monitor = monitorOf(['p', 'q']);
    monitor.receive('p', { kind: 'acknowledgement', ...CAUGHT_UP }, OWN, 0);
    monitor.receive('q', { kind: 'acknowledgement', ...CAUGHT_UP }, OWN, 100);
    expect(run(monitor, 550, 550).at(-1)?.effect).to.deep.equal({ type: 'fetch', from: 'p' });
    monitor.fetchFailed('p');
    monitor.receive('q', { kind: 'acknowledgement', ...CAUGHT_UP }, OWN, 900);
    expect(run(monitor, 1_100, 1_100).at(-1)?.effect).to.deep.equal({ type: 'fetch', from: 'q' });
  });

  it('fetches at once if it has no state', () => {
    const monitor = monitorOf([]);
    monitor.receive('p', { kind: 'ping', revision: 12, ageMs: 0, suspicionDigest: 0 }, NOTHING, 0);
    expect(monitor.tick(0, NOTHING, [])).to.deep.equal([{ type: 'fetch', from: 'p' }]);
  });

  it('removes the state of machines that have left', () => {
    const monitor = monitorOf();
    run(monitor, 0, 1_500, 0);
    monitor.setPeers([]);
    expect(monitor.isUnresponsive('owes')).to.equal(false);
  });
});

describe('datagrams between peers', () => {
  it('are decoded as they were encoded; malformed ones are refused', () => {
    const datagram = {
      kind: 'ping',
      revision: 123_456_789,
      ageMs: 1_500,
      suspicionDigest: 4_000_000_000,
    } as const;
    const bytes = encodeDatagram(datagram);
    expect(decodeDatagram(bytes)).to.deep.equal(datagram);
    const foreign = [
      Buffer.alloc(0),
      bytes.subarray(0, 2),
      Buffer.from([9, 1]),
      Buffer.alloc(20, 255),
    ];
    foreign.forEach((text) => expect(decodeDatagram(text)).to.equal(undefined));
  });
});
