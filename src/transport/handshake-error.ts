/** Why a handshake ended without a link. */

/** Reasons that are sent to the dialer, in their positions on the wire; append only. */
export const WIRE_REFUSAL_REASONS = [
  'malformed',
  'wrong-version',
  'wrong-key',
  'self',
  'duplicate',
  'stale-incarnation',
  'too-many-links',
] as const;

/** A reason that is sent to the dialer. */
export type WireRefusalReason = (typeof WIRE_REFUSAL_REASONS)[number];

/**
 * - `malformed`: a frame that is not allowed at this point, is too long, or has a wrong layout.
 * - `wrong-version`: the peer uses another version of the protocol.
 * - `wrong-key`: the proof was made with another key or for another handshake.
 * - `self`: the peer has this node's own identity.
 * - `duplicate`: both sides keep another link.
 * - `stale-incarnation`: the peer has restarted since; the link belongs to its earlier process.
 * - `too-many-links`: the limit on accepted links is reached.
 * - `evicted`: closed in favour of a newer connection, at the limit on unproven connections.
 * - `timeout`: not completed within the time limit.
 * - `closed`: the connection failed or was closed by the other side.
 * - `tls`: the certificate was refused, or the TLS handshake failed.
 */
export const REFUSAL_REASONS = [
  ...WIRE_REFUSAL_REASONS,
  'evicted',
  'timeout',
  'closed',
  'tls',
] as const;

/** Why a handshake ended without a link; see {@link REFUSAL_REASONS}. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

/** Whether a refusal for this reason is sent to the dialer. */
export function isSentToPeer(reason: RefusalReason): reason is WireRefusalReason {
  return (WIRE_REFUSAL_REASONS as readonly string[]).includes(reason);
}

/** A handshake that failed. */
export class HandshakeError extends Error {
  override readonly name = 'HandshakeError';

  constructor(
    readonly code: RefusalReason,
    /** Whether the peer refused the handshake, rather than this side. */
    readonly byPeer: boolean = false,
    options?: ErrorOptions,
  ) {
    super(`handshake ${byPeer ? 'refused by the peer' : 'failed'}: ${code}`, options);
  }
}
