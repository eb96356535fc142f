/**
 * Cryptography of the handshake, using only `node:crypto`. The fleet key is never sent over the wire. A
 * proof is bound to the role, both nonces, the identity and, with TLS, the TLS session.
 */
import { createHmac, hkdfSync, timingSafeEqual } from 'node:crypto';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { encodeFrame } from '../wire/codec.js';
import { peerIdentityLayout } from '../wire/message-layouts.js';

/** Size of each side's nonce, in bytes. */
export const NONCE_BYTES = 16;
/** Size of a proof, in bytes (HMAC-SHA256). */
export const PROOF_BYTES = 32;
/** Size of a session key, in bytes (AES-256). */
export const SESSION_KEY_BYTES = 32;
/** Size of the vector from which each frame's nonce is derived, in bytes (AES-GCM). */
export const SESSION_VECTOR_BYTES = 12;

const PROOF_LABEL = 'ferryspool peer proof 1';
const SESSION_LABEL = 'ferryspool peer session 1';

/** A side of a link; the dialer is the one that opened the connection. */
export type LinkRole = 'dialer' | 'acceptor';

/** Values to which both proofs of a handshake are bound. */
export interface HandshakeContext {
  readonly dialerNonce: Buffer;
  readonly acceptorNonce: Buffer;
  /** Key material exported from the TLS session; empty without TLS. */
  readonly channelBinding: Buffer;
}

/** Key and vector of one direction of a link. */
export interface DirectionKeys {
  readonly key: Buffer;
  readonly vector: Buffer;
}

/** Keys of a link, by the side that sends. */
export type SessionKeys = Readonly<Record<LinkRole, DirectionKeys>>;

/** Creates the proof of the side `role`, which claims to be `identity`. */
export function makeProof(
  fleetKey: string,
  role: LinkRole,
  context: HandshakeContext,
  identity: PeerIdentity,
): Buffer {
  return createHmac('sha256', fleetKey)
    .update(`${PROOF_LABEL} ${role}\0`)
    .update(context.dialerNonce)
    .update(context.acceptorNonce)
    .update(encodeFrame(0, peerIdentityLayout, identity))
    .update(context.channelBinding)
    .digest();
}

/** Compares two proofs in constant time. */
export function proofsEqual(left: Buffer, right: Buffer): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Derives the keys for the frames after the handshake. They are unique because both nonces are. */
export function deriveSessionKeys(fleetKey: string, context: HandshakeContext): SessionKeys {
  const directionBytes = SESSION_KEY_BYTES + SESSION_VECTOR_BYTES;
  const salt = Buffer.concat([context.dialerNonce, context.acceptorNonce]);
  const bytes = Buffer.from(hkdfSync('sha256', fleetKey, salt, SESSION_LABEL, directionBytes * 2));
  return {
    dialer: splitDirection(bytes.subarray(0, directionBytes)),
    acceptor: splitDirection(bytes.subarray(directionBytes)),
  };
}

function splitDirection(bytes: Buffer): DirectionKeys {
  return { key: bytes.subarray(0, SESSION_KEY_BYTES), vector: bytes.subarray(SESSION_KEY_BYTES) };
}
