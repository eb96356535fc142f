/**
 * The handshake of a link, without I/O.
 *
 *     dialer   -> acceptor   hello(dialer's nonce)
 *     acceptor -> dialer     challenge(acceptor's nonce)
 *     dialer   -> acceptor   proof(dialer's identity)
 *     acceptor -> dialer     proof(acceptor's identity), or refusal(reason)
 *
 * The dialer proves itself first, so that an unauthenticated client learns nothing. Proofs of the two
 * roles differ, which prevents reflection, and cover a fresh nonce of the other side, which prevents replay.
 */
import type { PeerIdentity } from '../membership/peer-identity.js';
import { FrameError } from '../wire/frame-error.js';
import {
  decodeHandshakeFrame,
  encodeHandshakeFrame,
  type HandshakeFrame,
  type ProofFrame,
} from './handshake-codec.js';
import { HandshakeError } from './handshake-error.js';
import {
  deriveSessionKeys,
  makeProof,
  proofsEqual,
  type HandshakeContext,
  type LinkRole,
  type SessionKeys,
} from './handshake-proof.js';

/** Parameters of one side of a handshake. */
export interface HandshakeParameters {
  readonly role: LinkRole;
  readonly fleetKey: string;
  readonly identity: PeerIdentity;
  /** `NONCE_BYTES` random bytes, never used before. */
  readonly nonce: Buffer;
  /** See {@link HandshakeContext}. */
  readonly channelBinding: Buffer;
}

/** Result of a received frame: a frame to send back, or the authenticated peer. */
export type HandshakeStep =
  | { readonly type: 'reply'; readonly frame: Buffer }
  /**
   * The peer proved its identity. A dialer's link is open now; an acceptor still has to send its own
   * proof ({@link Handshake.ownProof}) or a refusal.
   */
  | { readonly type: 'proved'; readonly peer: PeerIdentity; readonly keys: SessionKeys };

/** One side of one handshake. */
export class Handshake {
  private context: HandshakeContext | undefined;
  private ended = false;

  constructor(private readonly parameters: HandshakeParameters) {}

  /** The dialer's first frame. */
  hello(): Buffer {
    return encodeHandshakeFrame({ type: 'hello', nonce: this.parameters.nonce });
  }

  /** Handles the body of a frame. Throws {@link HandshakeError}; must not be called again after that. */
  receive(body: Uint8Array): HandshakeStep {
    const frame = decode(body);
    if (frame.type === 'refusal' && this.parameters.role === 'dialer') {
      throw new HandshakeError(frame.reason, true);
    }
    if (frame.type === 'proof' && this.context !== undefined && !this.ended) {
      this.ended = true;
      return this.verify(frame, this.context);
    }
    if (frame.type === this.firstFrameType() && this.context === undefined) {
      this.context = this.contextFor(frame.nonce);
      return { type: 'reply', frame: this.replyToNonce() };
    }
    throw new HandshakeError('malformed');
  }

  /** This side's proof. Call it only once both nonces are known. */
  ownProof(): Buffer {
    const { fleetKey, role, identity } = this.parameters;
    if (this.context === undefined) {
      throw new HandshakeError('malformed');
    }
    const proof = makeProof(fleetKey, role, this.context, identity);
    return encodeHandshakeFrame({ type: 'proof', identity, proof });
  }

  private firstFrameType(): 'hello' | 'challenge' {
    return this.parameters.role === 'dialer' ? 'challenge' : 'hello';
  }

  private replyToNonce(): Buffer {
    const { role, nonce } = this.parameters;
    return role === 'dialer' ? this.ownProof() : encodeHandshakeFrame({ type: 'challenge', nonce });
  }

  private contextFor(peerNonce: Buffer): HandshakeContext {
    const { role, nonce, channelBinding } = this.parameters;
    return role === 'dialer'
      ? { dialerNonce: nonce, acceptorNonce: peerNonce, channelBinding }
      : { dialerNonce: peerNonce, acceptorNonce: nonce, channelBinding };
  }

  private verify(frame: ProofFrame, context: HandshakeContext): HandshakeStep {
    const { fleetKey, role, identity } = this.parameters;
    const peerRole: LinkRole = role === 'dialer' ? 'acceptor' : 'dialer';
    const expected = makeProof(fleetKey, peerRole, context, frame.identity);
    if (!proofsEqual(expected, frame.proof)) {
      throw new HandshakeError('wrong-key');
    }
    if (frame.identity.id === identity.id) {
      throw new HandshakeError('self');
    }
    return { type: 'proved', peer: frame.identity, keys: deriveSessionKeys(fleetKey, context) };
  }
}

function decode(body: Uint8Array): HandshakeFrame {
  try {
    return decodeHandshakeFrame(body);
  } catch (cause) {
    const versionDiffers = cause instanceof FrameError && cause.code === 'wrong-version';
    throw new HandshakeError(versionDiffers ? 'wrong-version' : 'malformed', false, { cause });
  }
}
