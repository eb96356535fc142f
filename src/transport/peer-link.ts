/** One link to a peer: performs the handshake on a connection, then exchanges messages. */
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
import { HandshakeError, type WireRefusalReason } from './handshake-error.js';
import type { LinkRole } from './handshake-proof.js';
import { PROTECTED_BY_TLS, SealedLink, TAG_BYTES, type LinkProtection } from './link-protection.js';
import { countMessage, TRANSPORT_COUNTERS } from './transport-counters.js';

/** Callbacks of a link, always called from the socket's events. */
export interface LinkOwner {
  /** The peer proved its identity; the owner opens or refuses the link. */
  onProved(link: PeerLink, peer: PeerIdentity): void;
  onHandshakeFailed(link: PeerLink, error: HandshakeError): void;
  onMessage(link: PeerLink, peer: PeerIdentity, message: PeerMessage): void;
  /** A frame on an open link was refused; the owner must close the link. */
  onFrameRefused(link: PeerLink, error: FrameError): void;
  /** The connection has closed. */
  onLinkClosed(link: PeerLink): void;
}

/** Options of a {@link PeerLink}. */
export interface LinkOptions {
  readonly role: LinkRole;
  /** The dialled address; undefined on the accepting side. */
  readonly target: PeerAddress | undefined;
  readonly owner: LinkOwner;
  readonly counters: CounterSink;
  /** Whether TLS protects the connection, so that frames are not sealed. */
  readonly usesTls: boolean;
}

/** A link. Its phase is `closed` also while the connection is still closing. */
export class PeerLink implements ConnectionListener {
  phase: 'handshaking' | 'open' | 'closed' = 'handshaking';
  /** The peer, once it has proved its identity. */
  peer: PeerIdentity | undefined;
  private readonly connection: Connection;
  private handshake: Handshake | undefined;
  private protection: LinkProtection = PROTECTED_BY_TLS;

  constructor(
    socket: Socket,
    private readonly options: LinkOptions,
  ) {
    this.connection = new Connection(socket, MAX_HANDSHAKE_FRAME_BYTES, this);
  }

  get role(): LinkRole {
    return this.options.role;
  }

  get target(): PeerAddress | undefined {
    return this.options.target;
  }

  /** Whether messages can be sent. */
  get isUsable(): boolean {
    return this.phase === 'open' && this.connection.isOpen;
  }

  /** Starts the handshake. Call it when the connection is ready. */
  begin(parameters: HandshakeParameters): void {
    this.handshake = new Handshake(parameters);
    if (this.role === 'dialer') {
      this.writeHandshake(this.handshake.hello());
    }
  }

  /** Opens the link to a peer that has proved its identity. */
  open(): void {
    if (this.role === 'acceptor' && this.handshake !== undefined) {
      this.writeHandshake(this.handshake.ownProof());
    }
    this.handshake = undefined;
    this.phase = 'open';
    this.connection.setMaxFrameBytes(MAX_FRAME_BYTES + TAG_BYTES);
  }

  /** Sends the reason for the refusal to the dialer and closes the link. */
  refuse(reason: WireRefusalReason): void {
    this.phase = 'closed';
    this.writeHandshake(encodeHandshakeFrame({ type: 'refusal', reason }));
    this.connection.destroySoon();
  }

  /**
   * Sends a message unless more than `maxBufferedBytes` would be buffered. Throws {@link FrameError} if
   * the message does not fit into a frame.
   */
  send(message: PeerMessage, maxBufferedBytes: number): boolean {
    const plain = encodeMessage(message);
    if (this.connection.bufferedBytes + plain.length + TAG_BYTES > maxBufferedBytes) {
      return false;
    }
    const frame = this.protection.seal(plain);
    this.connection.write(frame);
    countMessage(this.options.counters, 'sent', message.type, frame.length);
    return true;
  }

  /** Closes once all written frames are sent and the peer has closed too. */
  end(): void {
    this.phase = 'closed';
    this.connection.end();
  }

  /** Closes as soon as the kernel has accepted all written frames. */
  destroySoon(): void {
    this.phase = 'closed';
    this.connection.destroySoon();
  }

  /** Closes the connection at once; the phase is unchanged until the owner handles the close. */
  destroy(): void {
    this.connection.destroy();
  }

  onFrame(body: Buffer): void {
    const bytes = body.length + LENGTH_PREFIX_BYTES;
    if (this.phase === 'handshaking') {
      this.options.counters.add(TRANSPORT_COUNTERS.handshakeReceivedBytes, bytes);
      this.continueHandshake(body);
    } else if (this.phase === 'open' && this.peer !== undefined) {
      const message = decodeMessage(this.protection.open(body));
      countMessage(this.options.counters, 'received', message.type, bytes);
      this.options.owner.onMessage(this, this.peer, message);
    }
  }

  onFrameError(error: FrameError): void {
    if (this.phase === 'handshaking') {
      const code = error.code === 'truncated' ? 'closed' : 'malformed';
      this.options.owner.onHandshakeFailed(this, new HandshakeError(code, false, { cause: error }));
    } else {
      this.options.owner.onFrameRefused(this, error);
    }
  }

  onClose(): void {
    this.options.owner.onLinkClosed(this);
  }

  private continueHandshake(body: Buffer): void {
    let step: HandshakeStep | undefined;
    try {
      step = this.handshake?.receive(body);
    } catch (error) {
      if (!(error instanceof HandshakeError)) {
        throw error;
      }
      this.options.owner.onHandshakeFailed(this, error);
      return;
    }
    if (step?.type === 'reply') {
      this.writeHandshake(step.frame);
    } else if (step !== undefined) {
      this.handleProof(step);
    }
  }

  private handleProof(step: Extract<HandshakeStep, { type: 'proved' }>): void {
    const { role, usesTls, owner } = this.options;
    this.peer = step.peer;
    if (!usesTls) {
      const peerRole: LinkRole = role === 'dialer' ? 'acceptor' : 'dialer';
      this.protection = new SealedLink(step.keys[role], step.keys[peerRole]);
    }
    owner.onProved(this, step.peer);
  }

  private writeHandshake(frame: Buffer): void {
    this.options.counters.add(TRANSPORT_COUNTERS.handshakeSentBytes, frame.length);
    this.connection.write(frame);
  }
}
