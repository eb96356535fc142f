import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { encodeMessage } from '../../src/wire/codec.js';
import type { PeerAddress } from '../../src/membership/peer-identity.js';
import { decodeHandshakeFrame } from '../../src/transport/handshake-codec.js';
import type { TransportLimits } from '../../src/transport/transport-options.js';
import { FrameReader } from '../../src/wire/frame-reader.js';
import { HEARTBEAT } from '../wire/message-arbitraries.js';
import { Bench, dialerHandshake, lease, RawPeer, type TestNode } from './transport-helpers.js';

const HELLO = dialerHandshake('z').hello();
const WRONG_KEY = 'not the key of the fleet';

/** Adds the length prefix back to a body that `FrameReader` returned. */
function reframe(body: Buffer): Buffer {
  const prefix = Buffer.alloc(3);
  prefix.writeUIntBE(body.length, 0, 3);
  return Buffer.concat([prefix, body]);
}

function otherVersion(frame: Buffer): Buffer {
  const changed = Buffer.from(frame);
  changed[3] = (changed[3] ?? 0) ^ 0x60;
  return changed;
}

/** Uses a short handshake timeout only in tests that expect a timeout. */
function limitsFor(reason: string): Partial<TransportLimits> {
  return reason === 'timeout' ? { handshakeTimeoutMs: 300 } : {};
}

describe('peer transport against faulty dialers', () => {
  const bench = new Bench();
  afterEach(() => bench.close());

  type Attack = (raw: RawPeer, node: TestNode) => unknown;
  const attacks: readonly [string, string, Attack][] = [
    ['text of another protocol', 'malformed', write(Buffer.from('GET / HTTP/1.1\r\n\r\n'))],
    ['noise', 'malformed', write(Buffer.alloc(4_096, 0xa5))],
    ['oversized frame announced', 'malformed', write(Buffer.from([0x00, 0x05, 0x01, 0x2c]))],
    ['empty frame', 'malformed', write(Buffer.alloc(3))],
    ['another version', 'wrong_version', write(otherVersion(HELLO))],
    ['a message in place of hello', 'malformed', write(encodeMessage(HEARTBEAT))],
    ['hello twice', 'malformed', write(Buffer.concat([HELLO, HELLO]))],
    ['hello of a wrong length', 'malformed', write(reframe(HELLO.subarray(3, 15)))],
    ['end inside a frame', 'closed', (raw) => raw.socket.end(HELLO.subarray(0, 9))],
    ['end after hello', 'closed', (raw) => raw.socket.end(HELLO)],
    ['reset after hello', 'closed', (raw) => raw.socket.write(HELLO, () => raw.socket.destroy())],
    ['silence', 'timeout', () => undefined],
    ['silence after hello', 'timeout', write(HELLO)],
    [
      'wrong key',
      'wrong_key',
      (raw) => raw.prove(dialerHandshake('z', 1, WRONG_KEY)).catch(ignoreError),
    ],
    ['a message after hello', 'malformed', write(Buffer.concat([HELLO, encodeMessage(HEARTBEAT)]))],
    ['a replayed hello and proof', 'wrong_key', replay],
    ['a proof for another identity', 'wrong_key', claimOther],
    ["the node's own proof, reflected", 'self', reflect],
  ];
  for (const [name, reason, attack] of attacks) {
    it(`closes only the faulty connection: ${name}`, async () => {
      const [good, node] = await bench.pair(limitsFor(reason));
      const raw = await bench.rawClient(node.address);
      await attack(raw, node);
      await raw.untilClosed();
      await node.until(() => node.refused(reason) === 1);
      expect(node.of('peer-up')).to.have.length(1);
      good.transport.send('b', lease(1));
      await node.untilRounds(1);
      node.transport.send('a', lease(2));
      await good.untilRounds(2);
    });
  }

  it('sends the reason for the refusal to a dialer of another version', async () => {
    const node = await bench.node('a');
    const raw = await bench.rawClient(node.address);
    raw.socket.write(otherVersion(HELLO));
    const refusal = decodeHandshakeFrame((await raw.frame()) ?? Buffer.alloc(0));
    expect(refusal).to.deep.equal({ type: 'refusal', reason: 'wrong-version' });
  });

  function write(bytes: Buffer): Attack {
    return (raw) => raw.socket.write(bytes);
  }

  /** Records a valid handshake, then replays the dialer's bytes. */
  async function replay(raw: RawPeer, node: TestNode): Promise<void> {
    const handshake = dialerHandshake('y');
    const first = await bench.rawClient(node.address);
    const proof = await first.dialerProof(handshake);
    raw.socket.write(Buffer.concat([handshake.hello(), proof]));
  }

  /** Changes the identity in a frame with a valid proof. */
  async function claimOther(raw: RawPeer): Promise<void> {
    const proof = await raw.dialerProof(dialerHandshake('z'));
    proof[proof.indexOf('z')] = 'y'.charCodeAt(0);
    raw.socket.write(proof);
  }

  /** Makes the node dial, and forwards frames between its two handshakes. */
  async function reflect(raw: RawPeer, node: TestNode): Promise<void> {
    const dialled = new Promise<RawPeer>((resolve) => {
      void bench
        .rawServer((socket) => {
          resolve(new RawPeer(socket));
        })
        .then((address) => {
          node.transport.dial(address);
        });
    });
    const inbound = await dialled;
    for (const [from, to] of [
      [inbound, raw],
      [raw, inbound],
      [inbound, raw],
    ] as const) {
      to.socket.write(reframe((await from.frame()) ?? Buffer.alloc(1)));
    }
  }
});

describe('peer transport against faulty listeners', () => {
  const bench = new Bench();
  afterEach(() => bench.close());

  const listeners: readonly [string, string, (socket: Socket) => unknown][] = [
    ['echoes everything', 'malformed', (socket) => socket.pipe(socket)],
    ['closes at once', 'closed', (socket) => socket.end()],
    ['resets', 'closed', (socket) => socket.resetAndDestroy()],
    ['sends noise', 'malformed', (socket) => socket.write(Buffer.alloc(64, 0xa5))],
    ['sends a message', 'malformed', (socket) => socket.write(encodeMessage(HEARTBEAT))],
    ['sends nothing', 'timeout', () => undefined],
    ['echoes the proof', 'wrong_key', (socket) => void echoProof(socket)],
  ];
  for (const [name, reason, onSocket] of listeners) {
    it(`fails the dial of a listener that ${name}`, async () => {
      const node = await bench.node('a', { limits: limitsFor(reason) });
      const target = await bench.rawServer(onSocket);
      node.transport.dial(target);
      await node.until(() => node.of('dial-failed').length === 1);
      expect(node.refused(reason)).to.equal(1);
      expect(node.events).to.deep.equal([{ type: 'dial-failed', target }]);
    });
  }

  /** Replies to the hello with a challenge, and echoes the dialer's proof. */
  async function echoProof(socket: Socket): Promise<void> {
    const peer = new RawPeer(socket);
    await peer.frame();
    const challenge = Buffer.from(HELLO);
    challenge[3] = (challenge[3] ?? 0) + 1;
    socket.write(challenge);
    socket.write(reframe((await peer.frame()) ?? Buffer.alloc(1)));
  }
});

describe('a sealed link against an attacker on the network path', () => {
  const bench = new Bench();
  afterEach(() => bench.close());

  type Tamper = (bodies: readonly Buffer[]) => Buffer[];
  const tampers: readonly [string, Tamper, ...number[]][] = [
    ['flips a bit', ([first, ...rest]) => [flipped(first), ...rest]],
    ['changes the tag', ([first, ...rest]) => [flipped(first, -1), ...rest]],
    ['replays a frame', ([first, ...rest]) => (first ? [first, first, ...rest] : []), 1],
    ['drops a frame', ([, ...rest]) => rest],
    ['swaps two frames', ([first, second]) => (first && second ? [second, first] : [])],
    ['injects a frame', (bodies) => [Buffer.from(encodeMessage(HEARTBEAT).subarray(3)), ...bodies]],
    ['injects a frame without a tag', (bodies) => [Buffer.alloc(4, 0x20), ...bodies]],
  ];
  for (const [name, tamper, ...delivered] of tampers) {
    it(`is closed if the attacker ${name}`, async () => {
      const [a, b] = [await bench.node('a'), await bench.node('b')];
      a.transport.dial(await proxy(b.address, tamper));
      await Promise.all([a.until(() => a.up().length === 1), b.until(() => b.up().length === 1)]);
      a.transport.send('b', lease(1));
      a.transport.send('b', lease(2));
      await b.until(() => b.of('peer-down').length === 1);
      expect(b.count('ferryspool_peer_frames_refused_forged_total')).to.equal(1);
      expect(b.rounds()).to.deep.equal(delivered);
      await a.until(() => a.of('peer-down').length === 1);
    });
  }

  it('encrypts messages', async () => {
    const captured: Buffer[] = [];
    const [a, b] = [await bench.node('a'), await bench.node('b')];
    a.transport.dial(await proxy(b.address, (bodies) => [...bodies], captured));
    await a.until(() => a.up().length === 1);
    a.transport.send('b', { type: 'lease-release', slot: 'a secret slot', round: 1 });
    a.transport.send('b', lease(1));
    await b.untilRounds(1);
    expect(Buffer.concat(captured).includes('secret')).to.equal(false);
    expect(Buffer.concat(captured).includes('zone-1')).to.equal(true);
  });

  function flipped(body: Buffer | undefined, at = 0): Buffer {
    const changed = Buffer.from(body ?? Buffer.alloc(1));
    const index = at < 0 ? changed.length + at : at;
    changed[index] = (changed[index] ?? 0) ^ 1;
    return changed;
  }

  /** Forwards all bytes, except that the dialer's two frames after its hello and proof pass through `tamper`. */
  function proxy(
    target: PeerAddress,
    tamper: Tamper,
    captured: Buffer[] = [],
  ): Promise<PeerAddress> {
    return bench.rawServer((inbound) => {
      const outbound = connect(target.controlPort, target.address);
      outbound.on('error', () => undefined);
      outbound.on('close', () => inbound.destroy());
      inbound.on('close', () => outbound.destroy());
      outbound.pipe(inbound);
      const reader = new FrameReader();
      const buffered: Buffer[] = [];
      let passed = 0;
      inbound.on('data', (chunk: Buffer) => {
        reader.push(chunk);
        for (let body = reader.next(); body !== undefined; body = reader.next()) {
          captured.push(Buffer.from(body));
          passed += 1;
          if (passed <= 2) {
            outbound.write(reframe(body));
            continue;
          }
          buffered.push(Buffer.from(body));
          if (buffered.length === 2) {
            tamper(buffered.splice(0)).forEach((one) => outbound.write(reframe(one)));
          }
        }
      });
    });
  }
});

function ignoreError(): void {
  return;
}
