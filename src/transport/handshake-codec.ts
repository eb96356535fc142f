/** Frames of the handshake. They use the frame format of the peer protocol, with types 12 to 15. */
import type { PeerIdentity } from '../membership/peer-identity.js';
import { decodeExact, encodeFrame } from '../wire/codec.js';
import { fixedBytes, oneOf, PlainStruct } from '../wire/field-types.js';
import { FrameError } from '../wire/frame-error.js';
import { decodeHead, HEAD_BYTES } from '../wire/frame-head.js';
import { peerIdentityLayout } from '../wire/message-layouts.js';
import { WIRE_REFUSAL_REASONS, type WireRefusalReason } from './handshake-error.js';
import { NONCE_BYTES, PROOF_BYTES } from './handshake-proof.js';

/** Maximum size of the body of a handshake frame: a proof whose identity has texts of maximum length. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_280;

/** The dialer's first frame. */
export interface HelloFrame {
  readonly type: 'hello';
  readonly nonce: Buffer;
}

/** The acceptor's reply to `hello`. */
export interface ChallengeFrame {
  readonly type: 'challenge';
  readonly nonce: Buffer;
}

/** The sender's identity and the proof that it holds the fleet key. The acceptor's proof ends the handshake. */
export interface ProofFrame {
  readonly type: 'proof';
  readonly identity: PeerIdentity;
  readonly proof: Buffer;
}

/** The acceptor refuses the link. */
export interface RefusalFrame {
  readonly type: 'refusal';
  readonly reason: WireRefusalReason;
}

export type HandshakeFrame = HelloFrame | ChallengeFrame | ProofFrame | RefusalFrame;

const TYPE_NUMBERS = { hello: 12, challenge: 13, proof: 14, refusal: 15 } as const;

const nonceLayout = new PlainStruct<{ nonce: Buffer }>({ nonce: fixedBytes(NONCE_BYTES) });
const proofLayout = new PlainStruct<Omit<ProofFrame, 'type'>>({
  identity: peerIdentityLayout,
  proof: fixedBytes(PROOF_BYTES),
});
const refusalLayout = new PlainStruct<Omit<RefusalFrame, 'type'>>({
  reason: oneOf(WIRE_REFUSAL_REASONS),
});

/** Encodes a frame including its length prefix. */
export function encodeHandshakeFrame(frame: HandshakeFrame): Buffer {
  switch (frame.type) {
    case 'hello':
    case 'challenge':
      return encodeFrame(TYPE_NUMBERS[frame.type], nonceLayout, frame);
    case 'proof':
      return encodeFrame(TYPE_NUMBERS.proof, proofLayout, frame);
    case 'refusal':
      return encodeFrame(TYPE_NUMBERS.refusal, refusalLayout, frame);
  }
}

/** Decodes the body of a frame. Throws {@link FrameError}. */
export function decodeHandshakeFrame(body: Uint8Array): HandshakeFrame {
  const { typeNumber, compressed } = decodeHead(body);
  const payload = body.subarray(HEAD_BYTES);
  if (compressed) {
    throw new FrameError('malformed', 'compressed handshake');
  }
  switch (typeNumber) {
    case TYPE_NUMBERS.hello:
      return { type: 'hello', ...decodeExact(nonceLayout, payload) };
    case TYPE_NUMBERS.challenge:
      return { type: 'challenge', ...decodeExact(nonceLayout, payload) };
    case TYPE_NUMBERS.proof:
      return { type: 'proof', ...decodeExact(proofLayout, payload) };
    case TYPE_NUMBERS.refusal:
      return { type: 'refusal', ...decodeExact(refusalLayout, payload) };
    default:
      throw new FrameError('unknown-type', `type number ${typeNumber} before the proof`);
  }
}
