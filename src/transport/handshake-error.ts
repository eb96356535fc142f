/** Why a handshake ended without a link. */

/** Reasons that one side tells the other, in their positions on the wire; append only. */
export const TOLD_REFUSAL_REASONS = [
  'malformed',
  'wrong-version',
  'wrong-key',
  'self',
  'duplicate',
  'stale-incarnation',
  'too-many-links',
] as const;

/** A reason that is told to the other side. */
export type ToldRefusalReason = (typeof TOLD_REFUSAL_REASONS)[number];

/**
 * - `malformed`: a frame that may not come here, is too long, or has a wrong layout.
 * - `wrong-version`: another version of the protocol.
 * - `wrong-key`: the proof does not show the fleet key, or was made for another handshake.
 * - `self`: the peer has this node's own identity.
 * - `duplicate`: the link that both sides keep is another one.
 * - `stale-incarnation`: the peer has restarted since; this is its earlier process.
 * - `too-many-links`: the bound on accepted links.
 * - `evicted`: made room for a newer connection, at the bound on unproven ones.
 * - `timeout`: not done within the time limit.
 * - `closed`: the connection failed or was closed by the other side.
 * - `tls`: TLS refused the certificate or failed.
 */
export const REFUSAL_REASONS = [
  ...TOLD_REFUSAL_REASONS,
  'evicted',
  'timeout',
  'closed',
  'tls',
] as const;

/** Why a handshake ended without a link; see {@link REFUSAL_REASONS}. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

/** Whether a refusal for this reason is told to the dialer. */
export function isTold(reason: RefusalReason): reason is ToldRefusalReason {
  return (TOLD_REFUSAL_REASONS as readonly string[]).includes(reason);
}

/** A handshake that failed. */
export class HandshakeError extends Error {
  override readonly name = 'HandshakeError';

  constructor(
    readonly code: RefusalReason,
    /** Whether the other side refused, rather than this one. */
    readonly byPeer: boolean = false,
    options?: ErrorOptions,
  ) {
    super(`handshake ${byPeer ? 'refused by the peer' : 'failed'}: ${code}`, options);
  }
}
