import { expect } from 'chai';
import { createPeerTransport } from '../../src/transport/peer-transport.js';
import { declareTransportCounters } from '../../src/transport/transport-counters.js';
import { TransportOptionsError } from '../../src/transport/transport-options.js';
import { MESSAGE_TYPES } from '../../src/wire/message-layouts.js';
import { HEARTBEAT, sampleChunk } from '../wire/message-arbitraries.js';
import {
  Bench,
  certificates,
  dialerHandshake,
  identity,
  lease,
  LOOPBACK,
  type TestNode,
} from './transport-helpers.js';

/** Number of declared counters that do not depend on the message types. */
const OTHER_COUNTERS = 28;
/** Counters of messages and of bytes, sent and received. */
const COUNTERS_PER_MESSAGE = 4;

describe('peer transport', () => {
  const bench = new Bench();
  afterEach(() => bench.close());

  it('delivers messages in order in both directions and counts their bytes by type', async () => {
    const [a, b] = await bench.pair();
    expect(a.of('peer-up')[0]?.peer).to.deep.equal(b.transport.identity);
    expect(b.of('peer-up')[0]?.peer).to.deep.equal(a.transport.identity);
    for (let round = 0; round < 50; round += 1) {
      expect(a.transport.send('b', lease(round))).to.equal(true);
    }
    a.transport.send('b', sampleChunk(2_000));
    a.transport.send('b', HEARTBEAT);
    b.transport.send('a', lease(7));
    await Promise.all([a.untilRounds(7), b.until(() => b.of('message').length === 52)]);
    expect(b.rounds().slice(0, 50)).to.deep.equal(Array.from({ length: 50 }, (_, i) => i));
    expect(b.of('message')[50]?.message).to.deep.equal(sampleChunk(2_000));
    expect(b.count('ferryspool_peer_received_heartbeat_messages_total')).to.equal(1);
    expect(b.count('ferryspool_peer_received_heartbeat_bytes_total')).to.equal(20);
    expect(a.count('ferryspool_peer_sent_lease_request_messages_total')).to.equal(50);
    expect(a.count('ferryspool_peer_sent_handshake_bytes_total')).to.equal(
      b.count('ferryspool_peer_received_handshake_bytes_total'),
    );
  });

  it('reports no peer and sends no messages before both proofs', async () => {
    const node = await bench.node('a');
    const raw = await bench.rawClient(node.address);
    const proof = await raw.dialerProof(dialerHandshake('z'));
    expect(node.transport.send('z', lease(1))).to.equal(false);
    expect(node.events).to.deep.equal([]);
    raw.socket.write(proof);
    await node.until(() => node.up().join() === 'z');
    expect(node.transport.send('z', lease(1))).to.equal(true);
  });

  it('delivers messages that were sent before a hang-up or a stop', async () => {
    const [a, b] = await bench.pair();
    a.transport.send('b', lease(1));
    a.transport.hangUp('b');
    expect(a.transport.send('b', lease(2))).to.equal(false);
    await b.until(() => b.of('peer-down').length === 1);
    expect(b.rounds()).to.deep.equal([1]);
    a.transport.dial(b.address);
    await a.until(() => a.of('peer-up').length === 2);
    a.transport.send('b', lease(3));
    const events = a.events.length;
    await a.transport.stop();
    await b.until(() => b.of('peer-down').length === 2);
    expect(b.rounds()).to.deep.equal([1, 3]);
    expect(a.of('peer-down')).to.deep.equal([]);
    expect(a.events).to.have.length(events);
  });

  it('reports exactly one result for every dial', async () => {
    const [a, b] = [await bench.node('a'), await bench.node('b')];
    const gone = await bench.node('gone');
    const goneAddress = gone.address;
    await gone.transport.stop();
    const noAddress = { address: 'localhost', controlPort: 1 };
    const noPort = { address: LOOPBACK, controlPort: 70_000 };
    const failing = [goneAddress, a.address, noAddress, noPort];
    [...failing, ...failing, b.address, b.address].forEach((target) => {
      a.transport.dial(target);
    });
    await a.until(() => a.events.length === 5);
    expect(a.of('dial-failed').map(({ target }) => target)).to.have.deep.members(failing);
    expect(a.up()).to.deep.equal(['b']);
    a.transport.dial(goneAddress);
    await a.until(() => a.events.length === 6);
    expect(a.of('dial-failed')).to.have.length(5);
  });

  it('keeps the same link at both ends if both dial simultaneously', async () => {
    for (let round = 0; round < 20; round += 1) {
      const [a, b] = [await bench.node('a'), await bench.node('b')];
      a.transport.dial(b.address);
      if (round % 2 === 1) {
        await b.until(() => b.count('ferryspool_peer_received_handshake_bytes_total') > 0);
      }
      b.transport.dial(a.address);
      await Promise.all([untilSettled(a, 'b'), untilSettled(b, 'a')]);
      expect(a.transport.send('b', lease(round))).to.equal(true);
      expect(b.transport.send('a', lease(round))).to.equal(true);
      await Promise.all([a.untilRounds(round), b.untilRounds(round)]);
      await bench.close();
    }
  });

  it('replaces the link of an older incarnation and refuses an outdated one', async () => {
    const node = await bench.node('a');
    const old = await bench.node('b', { incarnation: 5 });
    const fresh = await bench.node('b', { incarnation: 6 });
    const older = await bench.node('b', { incarnation: 4 });
    for (const [one, ups] of [
      [old, 1],
      [fresh, 2],
    ] as const) {
      one.transport.dial(node.address);
      await node.until(() => node.of('peer-up').length === ups);
    }
    older.transport.dial(node.address);
    await older.until(() => older.of('dial-failed').length === 1);
    expect(older.refused('stale_incarnation')).to.equal(1);
    await old.until(() => old.of('peer-down').length === 1);
    const reported = node.events.map((event) => [
      event.type,
      'peer' in event ? event.peer.incarnation : 0,
    ]);
    expect(reported).to.deep.equal([
      ['peer-up', 5],
      ['peer-down', 5],
      ['peer-up', 6],
    ]);
  });

  it('refuses a link to its own identity at another address', async () => {
    const node = await bench.node('a');
    const twin = await bench.node('a');
    node.transport.dial(twin.address);
    await node.until(() => node.of('dial-failed').length === 1);
    expect([node.refused('self'), twin.refused('self')]).to.deep.equal([1, 1]);
  });

  it('limits accepted links and keeps the existing ones', async () => {
    const node = await bench.node('a', { limits: { maxInboundLinks: 1 } });
    const [b, c] = [await bench.node('b'), await bench.node('c')];
    b.transport.dial(node.address);
    await b.until(() => b.up().length === 1);
    c.transport.dial(node.address);
    await c.until(() => c.of('dial-failed').length === 1);
    expect(c.refused('too_many_links')).to.equal(1);
    node.transport.dial(c.address);
    await node.until(() => node.up().join() === 'b,c');
    node.transport.send('b', lease(1));
    await b.untilRounds(1);
  });

  it('limits unproven connections and evicts the oldest for a peer that proves itself', async () => {
    const node = await bench.node('a', { limits: { maxUnprovenConnections: 2 } });
    const idle = [await bench.rawClient(node.address), await bench.rawClient(node.address)];
    const b = await bench.node('b');
    b.transport.dial(node.address);
    await b.until(() => b.up().length === 1);
    await idle[0]?.untilClosed();
    expect(node.refused('evicted')).to.equal(1);
    expect(idle[1]?.closed).to.equal(false);
  });

  it('closes the link to a peer that does not read, at the limit on buffered bytes', async () => {
    const node = await bench.node('a', { limits: { maxBufferedBytes: 262_144 } });
    const raw = await bench.rawClient(node.address);
    await raw.prove(dialerHandshake('z'));
    raw.socket.pause();
    await node.until(() => node.up().join() === 'z');
    const noise = Array.from({ length: 500 }, (_, index) => `${index * 7_919}`.repeat(40)).join();
    const version = { number: 1, digest: '0'.repeat(32) };
    let sent = 0;
    while (node.transport.send('z', { type: 'rejection', version, reason: noise })) {
      sent += 1;
      expect(sent).to.be.below(1_000);
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(node.events.at(-1)?.type).to.equal('peer-up');
    await node.until(() => node.of('peer-down').length === 1);
    expect(node.count('ferryspool_peer_links_slow_total')).to.equal(1);
  });

  it('drops a message that exceeds the frame size and keeps the link', async () => {
    const [a, b] = await bench.pair();
    const version = { number: 1, digest: '0'.repeat(32) };
    const reason = 'x'.repeat(1_048_576);
    expect(a.transport.send('b', { type: 'rejection', version, reason })).to.equal(false);
    expect(a.count('ferryspool_peer_messages_unencodable_total')).to.equal(1);
    a.transport.send('b', lease(1));
    await b.untilRounds(1);
  });

  it('declares every counter that it increments', async () => {
    const declared = new Set<string>();
    declareTransportCounters((name) => declared.add(name));
    const [a, b] = await bench.pair();
    a.transport.send('b', HEARTBEAT);
    a.transport.send('c', HEARTBEAT);
    a.transport.dial(a.address);
    (await bench.rawClient(b.address)).socket.write('noise');
    await Promise.all([
      b.until(() => b.refused('malformed') === 1),
      a.until(() => a.events.length > 1),
    ]);
    expect([...declared]).to.include.members([...a.counts.keys(), ...b.counts.keys()]);
    expect(declared.size).to.equal(OTHER_COUNTERS + COUNTERS_PER_MESSAGE * MESSAGE_TYPES.length);
  });

  it('refuses a short fleet key', async () => {
    const options = {
      identity: identity('a'),
      fleetKey: 'short',
      listen: { address: LOOPBACK, port: 0 },
      onEvent: () => undefined,
      counters: { add: () => undefined },
    };
    const failure: unknown = await createPeerTransport(options).catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(TransportOptionsError);
  });

  describe('with TLS', () => {
    const good = { tls: certificates('') };
    const foreign = { tls: certificates('other-') };

    it('delivers messages without a tag per frame', async () => {
      const [a, b] = [await bench.node('a', good), await bench.node('b', good)];
      a.transport.dial(b.address);
      await Promise.all([a.until(() => a.up().length === 1), b.until(() => b.up().length === 1)]);
      a.transport.send('b', HEARTBEAT);
      b.transport.send('a', lease(1));
      await Promise.all([b.until(() => b.of('message').length === 1), a.untilRounds(1)]);
      expect(b.count('ferryspool_peer_received_heartbeat_bytes_total')).to.equal(12);
    });

    const refused = [
      ['a certificate of another authority', foreign, good, 'tls'],
      ['to dial a listener of another authority', good, foreign, 'tls'],
      ['a dialer without TLS', {}, good, 'tls'],
      ['a listener without TLS', good, {}, 'malformed'],
      [
        'a certificate without the fleet key',
        { ...good, fleetKey: 'x'.repeat(16) },
        good,
        'wrong_key',
      ],
    ] as const;
    for (const [name, dialerOptions, acceptorOptions, reason] of refused) {
      it(`refuses ${name}`, async () => {
        const dialer = await bench.node('a', dialerOptions);
        const acceptor = await bench.node('b', acceptorOptions);
        dialer.transport.dial(acceptor.address);
        await dialer.until(() => dialer.of('dial-failed').length === 1);
        await acceptor.until(() => acceptor.refused(reason) === 1);
        expect(acceptor.events).to.deep.equal([]);
        expect(dialer.events).to.have.length(1);
      });
    }

    it('times out a TLS handshake that is not completed', async () => {
      const node = await bench.node('a', { ...good, limits: { handshakeTimeoutMs: 100 } });
      const raw = await bench.rawClient(node.address);
      await raw.untilClosed();
      await node.until(() => node.refused('tls') === 1);
    });

    it('refuses a relay that holds a certificate and forwards the proofs', async () => {
      const [a, b] = [await bench.node('a', good), await bench.node('b', good)];
      a.transport.dial(await bench.tlsRelay(good.tls, b.address));
      await a.until(() => a.of('dial-failed').length === 1);
      expect(b.refused('wrong_key')).to.equal(1);
      expect(b.events).to.deep.equal([]);
    });
  });
});

/** Waits until both dials have ended and one link remains. */
async function untilSettled(node: TestNode, peerId: string): Promise<void> {
  const opened = (): number => node.count('ferryspool_peer_links_opened_total');
  const duplicates = (): number => node.refused('duplicate') + node.refused('closed');
  await node.until(() => opened() + duplicates() >= 2 && node.up().join() === peerId);
}
