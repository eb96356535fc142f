/** One link on its way from a connection to a proved peer: handshake first, then messages. */
import type { Socket } from 'node:net';
import type { CounterSink } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import { decodeMessage, encodeMessage } from '../wire/codec.js';
import type { FrameError } from '../wire/frame-error.js';
import { LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES } from '../wire/frame-reader.js';
import type { PeerMessage } from '../wire/message.js';
import { Connection, type ConnectionListener } from './connection.js';
import { Handshake, type HandshakeParameters, type HandshakeStep } from './handshake.js';
import { encodeHandshakeFrame, MAX_HANDSHAKE_FRAME_BYTES } from './handshake-codec.js';
import { HandshakeError, type ToldRefusalReason } from './handshake-error.js';
import type { LinkRole } from './handshake-proof.js';
import { PROTECTED_BY_TLS, SealedLink, TAG_BYTES, type LinkProtection } from './link-protection.js';
import { countMessage, TRANSPORT_COUNTERS } from './transport-counters.js';

/** What a link tells its owner; always from the socket's events. */
export interface LinkOwner {
  /** The peer proved itself; the owner opens the link, or refuses it. */
  onProved(link: PeerLink, peer: PeerIdentity): void;
  onHandshakeFailed(link: PeerLink, error: HandshakeError): void;
  onMessage(link: PeerLink, peer: PeerIdentity, message: PeerMessage): void;
  /** A frame on an open link was refused; the owner closes the link. */
  onFrameRefused(link: PeerLink, error: FrameError): void;
  /** The connection is gone. */
  onLinkClosed(link: PeerLink): void;
}

/** How a link starts. */
export interface LinkStart {
  readonly role: LinkRole;
  /** What was dialled; undefined on the accepting side. */
  readonly target: PeerAddress | undefined;
  readonly owner: LinkOwner;
  readonly counters: CounterSink;
  /** Whether TLS protects the connection, so that frames need no seal. */
  readonly onTls: boolean;
}

/** A link; `closed` also when only its closing is still going on. */
export class PeerLink implements ConnectionListener {
  phase: 'handshaking' | 'open' | 'closed' = 'handshaking';
  /** The proved peer, once there is one. */
  peer: PeerIdentity | undefined;
  private readonly connection: Connection;
  private handshake: Handshake | undefined;
  private protection: LinkProtection = PROTECTED_BY_TLS;

  constructor(
    socket: Socket,
    private readonly start: LinkStart,
  ) {
    this.connection = new Connection(socket, MAX_HANDSHAKE_FRAME_BYTES, this);
  }

  get role(): LinkRole {
    return this.start.role;
  }

  get target(): PeerAddress | undefined {
    return this.start.target;
  }

  /** Whether messages can be sent. */
  get isUsable(): boolean {
    return this.phase === 'open' && this.connection.isOpen;
  }

  /** Starts the handshake; to be called when the connection is ready. */
  begin(parameters: HandshakeParameters): void {
    this.handshake = new Handshake(parameters);
    if (this.role === 'dialer') {
      this.writeHandshake(this.handshake.hello());
    }
  }

  /** Takes the proved peer's link into use. */
  open(): void {
    if (this.role === 'acceptor' && this.handshake !== undefined) {
      this.writeHandshake(this.handshake.ownProof());
    }
    this.handshake = undefined;
    this.phase = 'open';
    this.connection.allowFrames(MAX_FRAME_BYTES + TAG_BYTES);
  }

  /** Tells the dialer why there will be no link, and closes. */
  refuse(reason: ToldRefusalReason): void {
    this.phase = 'closed';
    this.writeHandshake(encodeHandshakeFrame({ type: 'refusal', reason }));
    this.connection.destroySoon();
  }

  /**
   * Sends a message unless more than `maxBufferedBytes` would wait. Throws {@link FrameError} when
   * no frame can hold it.
   */
  send(message: PeerMessage, maxBufferedBytes: number): boolean {
    const plain = encodeMessage(message);
    if (this.connection.bufferedBytes + plain.length + TAG_BYTES > maxBufferedBytes) {
      return false;
    }
    const frame = this.protection.seal(plain);
    this.connection.write(frame);
    countMessage(this.start.counters, 'sent', message.type, frame.length);
    return true;
  }

  /** Closes once what was written has left and the peer has closed too. */
  end(): void {
    this.phase = 'closed';
    this.connection.end();
  }

  /** Closes as soon as the system has taken what was written. */
  destroySoon(): void {
    this.phase = 'closed';
    this.connection.destroySoon();
  }

  /** Closes the connection at once; the phase stays until the owner has heard of it. */
  destroy(): void {
    this.connection.destroy();
  }

  onFrame(body: Buffer): void {
    const bytes = body.length + LENGTH_PREFIX_BYTES;
    if (this.phase === 'handshaking') {
      this.start.counters.add(TRANSPORT_COUNTERS.handshakeReceivedBytes, bytes);
      this.continueHandshake(body);
    } else if (this.phase === 'open' && this.peer !== undefined) {
      const message = decodeMessage(this.protection.open(body));
      countMessage(this.start.counters, 'received', message.type, bytes);
      this.start.owner.onMessage(this, this.peer, message);
    }
  }

  onFrameError(error: FrameError): void {
    if (this.phase === 'handshaking') {
      const code = error.code === 'truncated' ? 'closed' : 'malformed';
      this.start.owner.onHandshakeFailed(this, new HandshakeError(code, false, { cause: error }));
    } else {
      this.start.owner.onFrameRefused(this, error);
    }
  }

  onClose(): void {
    this.start.owner.onLinkClosed(this);
  }

  private continueHandshake(body: Buffer): void {
    let step: HandshakeStep | undefined;
    try {
      step = this.handshake?.receive(body);
    } catch (error) {
      if (!(error instanceof HandshakeError)) {
        throw error;
      }
      this.start.owner.onHandshakeFailed(this, error);
      return;
    }
    if (step?.type === 'reply') {
      this.writeHandshake(step.frame);
    } else if (step !== undefined) {
      this.takeProof(step);
    }
  }

  private takeProof(step: Extract<HandshakeStep, { type: 'proved' }>): void {
    const { role, onTls, owner } = this.start;
    this.peer = step.peer;
    if (!onTls) {
      const peerRole: LinkRole = role === 'dialer' ? 'acceptor' : 'dialer';
      this.protection = new SealedLink(step.keys[role], step.keys[peerRole]);
    }
    owner.onProved(this, step.peer);
  }

  private writeHandshake(frame: Buffer): void {
    this.start.counters.add(TRANSPORT_COUNTERS.handshakeSentBytes, frame.length);
    this.connection.write(frame);
  }
}
