/** Transports with recorded events, and raw sockets that tests drive by hand. */
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';
import type { CounterSink } from '../../src/control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../../src/membership/peer-identity.js';
import { Handshake, type HandshakeStep } from '../../src/transport/handshake.js';
import { createPeerTransport } from '../../src/transport/peer-transport.js';
import type {
  PeerTransport,
  TransportEvent,
  TransportLimits,
  TransportTls,
} from '../../src/transport/transport-options.js';
import { FrameReader } from '../../src/wire/frame-reader.js';
import type { PeerMessage } from '../../src/wire/message.js';

export const LOOPBACK = '127.0.0.1';
export const FLEET_KEY = 'fleet key of the tests';

export function identity(id: string, incarnation = 1): PeerIdentity {
  const location = { zone: 'zone-1', region: 'region-1' };
  return { id, incarnation, address: LOOPBACK, controlPort: 0, relayPort: 1, ...location };
}

export function lease(round: number): PeerMessage {
  return { type: 'lease-request', slot: 'zone-1/0', round, durationMs: 1_000 };
}

export function certificates(family: '' | 'other-'): TransportTls {
  const directory = new URL('../../../test/transport/certificates/', import.meta.url);
  const read = (name: string): string => readFileSync(new URL(family + name, directory), 'utf8');
  return {
    certificatePem: read('node.pem'),
    keyPem: read('node-key.pem'),
    authorityPem: read('authority.pem'),
  };
}

/** Resolves promises once their conditions hold; conditions are checked after every recorded change. */
class Recorder {
  private readonly waiting = new Set<() => void>();

  changed(): void {
    this.waiting.forEach((check) => {
      check();
    });
  }

  until(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const check = (): void => {
        if (condition()) {
          this.waiting.delete(check);
          resolve();
        }
      };
      this.waiting.add(check);
      check();
    });
  }
}

/** A transport under test with its recorded events and counters. */
export class TestNode implements CounterSink {
  readonly events: TransportEvent[] = [];
  readonly counts = new Map<string, number>();
  readonly recorder = new Recorder();
  transport!: PeerTransport;

  get address(): PeerAddress {
    return { address: LOOPBACK, controlPort: this.transport.port };
  }

  add(name: string, by = 1): void {
    this.counts.set(name, this.count(name) + by);
    this.recorder.changed();
  }

  record(event: TransportEvent): void {
    this.events.push(event);
    this.recorder.changed();
  }

  count(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  refused(reason: string): number {
    return this.count(`ferryspool_peer_handshakes_refused_${reason}_total`);
  }

  /** Events of one type, in order. */
  of<T extends TransportEvent['type']>(type: T): Extract<TransportEvent, { type: T }>[] {
    return this.events.filter((event) => event.type === type) as Extract<
      TransportEvent,
      { type: T }
    >[];
  }

  /** The identities of the peers that are up according to the events. */
  up(): string[] {
    const up: string[] = [];
    for (const event of this.events) {
      if (event.type === 'peer-up') {
        up.push(event.peer.id);
      } else if (event.type === 'peer-down') {
        up.splice(up.indexOf(event.peer.id), 1);
      }
    }
    return up;
  }

  until(condition: () => boolean): Promise<void> {
    return this.recorder.until(condition);
  }

  /** Waits until the last messages received have these rounds, in this order. */
  async untilRounds(...rounds: number[]): Promise<void> {
    await this.until(() => this.rounds().slice(-rounds.length).join() === rounds.join());
  }

  rounds(): number[] {
    return this.of('message').map(({ message }) => ('round' in message ? message.round : -1));
  }
}

/** Options that differ from the defaults of a node. */
export interface TestNodeOptions {
  readonly incarnation?: number;
  readonly fleetKey?: string;
  readonly tls?: TransportTls;
  readonly limits?: Partial<TransportLimits>;
}

/** Starts the nodes and sockets of a test; `close` stops all of them. */
export class Bench {
  private readonly cleanups: (() => unknown)[] = [];

  async node(id: string, options: TestNodeOptions = {}): Promise<TestNode> {
    const node = new TestNode();
    node.transport = await createPeerTransport({
      identity: identity(id, options.incarnation),
      fleetKey: options.fleetKey ?? FLEET_KEY,
      tls: options.tls,
      listen: { address: LOOPBACK, port: 0 },
      onEvent: (event) => {
        node.record(event);
      },
      counters: node,
      limits: { stopFlushMs: 200, ...options.limits },
    });
    this.cleanups.push(() => node.transport.stop());
    return node;
  }

  /** Starts two linked nodes; `a` has dialled `b`. */
  async pair(limits: Partial<TransportLimits> = {}): Promise<[TestNode, TestNode]> {
    const [a, b] = [await this.node('a', { limits }), await this.node('b', { limits })];
    a.transport.dial(b.address);
    await Promise.all([a.until(() => a.up().length === 1), b.until(() => b.up().length === 1)]);
    return [a, b];
  }

  /** Opens a client socket without any protocol. */
  async rawClient(target: PeerAddress): Promise<RawPeer> {
    const socket = connect(target.controlPort, target.address);
    const peer = new RawPeer(socket);
    this.cleanups.push(() => socket.destroy());
    await once(socket, 'connect');
    return peer;
  }

  /** Starts a listener without any protocol; returns its address. */
  async rawServer(onSocket: (socket: Socket) => void): Promise<PeerAddress> {
    const server: Server = createServer((socket) => {
      socket.on('error', () => undefined);
      this.cleanups.push(() => socket.destroy());
      onSocket(socket);
    });
    return this.listen(server);
  }

  private async listen(server: Server): Promise<PeerAddress> {
    server.listen(0, LOOPBACK);
    await once(server, 'listening');
    this.cleanups.push(() => server.close());
    return { address: LOOPBACK, controlPort: (server.address() as AddressInfo).port };
  }

  /** Starts a relay that terminates TLS on both sides with valid certificates; returns its address. */
  async tlsRelay(tls: TransportTls, target: PeerAddress): Promise<PeerAddress> {
    const pem = { cert: tls.certificatePem, key: tls.keyPem, ca: tls.authorityPem };
    const server = createTlsServer({ ...pem, requestCert: true }, (inbound) => {
      const trust = { ...pem, checkServerIdentity: () => undefined };
      const outbound = connectTls({ ...trust, host: target.address, port: target.controlPort });
      for (const socket of [inbound, outbound]) {
        socket.on('error', () => undefined);
        this.cleanups.push(() => socket.destroy());
      }
      inbound.pipe(outbound).pipe(inbound);
    });
    return this.listen(server);
  }

  async close(): Promise<void> {
    await Promise.all(this.cleanups.splice(0).map((cleanup) => cleanup()));
  }
}

/** A socket whose frames a test writes and reads by hand. */
export class RawPeer {
  readonly received: Buffer[] = [];
  readonly recorder = new Recorder();
  closed = false;
  private readonly reader = new FrameReader();

  constructor(readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closed = true;
      this.recorder.changed();
    });
    socket.on('data', (chunk: Buffer) => {
      this.reader.push(chunk);
      for (let body = this.reader.next(); body !== undefined; body = this.reader.next()) {
        this.received.push(Buffer.from(body));
      }
      this.recorder.changed();
    });
  }

  /** Returns the body of the next frame, or undefined if the connection closes first. */
  async frame(): Promise<Buffer | undefined> {
    await this.recorder.until(() => this.received.length > 0 || this.closed);
    return this.received.shift();
  }

  async untilClosed(): Promise<void> {
    await this.recorder.until(() => this.closed);
  }

  /** Performs the dialer's handshake up to its proof, which is returned but not sent. */
  async dialerProof(handshake: Handshake): Promise<Buffer> {
    this.socket.write(handshake.hello());
    const step = handshake.receive((await this.frame()) ?? Buffer.alloc(0));
    return replyOf(step);
  }

  /** Performs the dialer's complete handshake and verifies the transport's proof. */
  async prove(handshake: Handshake): Promise<HandshakeStep> {
    this.socket.write(await this.dialerProof(handshake));
    return handshake.receive((await this.frame()) ?? Buffer.alloc(0));
  }
}

/** Creates the dialer's side of a handshake that a test drives by hand. */
export function dialerHandshake(id: string, incarnation = 1, fleetKey = FLEET_KEY): Handshake {
  const nonce = Buffer.alloc(16, id.charCodeAt(0));
  const empty = Buffer.alloc(0);
  const ownIdentity = identity(id, incarnation);
  return new Handshake({
    role: 'dialer',
    fleetKey,
    identity: ownIdentity,
    nonce,
    channelBinding: empty,
  });
}

export function replyOf(step: HandshakeStep): Buffer {
  if (step.type !== 'reply') {
    throw new Error('expected a reply');
  }
  return step.frame;
}
