/**
 * The handshake of a link, without I/O:
 *
 *     dialer   -> acceptor   hello(dialer's nonce)
 *     acceptor -> dialer     challenge(acceptor's nonce)
 *     dialer   -> acceptor   proof(dialer's identity)
 *     acceptor -> dialer     proof(acceptor's identity), or refusal(reason)
 *
 * The dialer proves first, so that who merely connects learns nothing. Proofs of the two roles
 * differ (no reflection) and cover a fresh nonce of the other side (no replay).
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

/** What one side brings to a handshake. */
export interface HandshakeParameters {
  readonly role: LinkRole;
  readonly fleetKey: string;
  readonly identity: PeerIdentity;
  /** Random, never used before, of `NONCE_BYTES`. */
  readonly nonce: Buffer;
  /** See {@link HandshakeContext}. */
  readonly channelBinding: Buffer;
}

/** What comes of a frame: a frame to send back, or the proved peer. */
export type HandshakeStep =
  | { readonly type: 'reply'; readonly frame: Buffer }
  /**
   * The peer proved itself. A dialer's link is open; an acceptor still sends its own proof
   * ({@link Handshake.ownProof}) or a refusal.
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

  /** Takes the body of a frame. Throws {@link HandshakeError}; nothing may be received after that. */
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
      this.context = this.contextWith(frame.nonce);
      return { type: 'reply', frame: this.answerToNonce() };
    }
    throw new HandshakeError('malformed');
  }

  /** This side's proof; to be called once both nonces are known. */
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

  private answerToNonce(): Buffer {
    const { role, nonce } = this.parameters;
    return role === 'dialer' ? this.ownProof() : encodeHandshakeFrame({ type: 'challenge', nonce });
  }

  private contextWith(peerNonce: Buffer): HandshakeContext {
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
