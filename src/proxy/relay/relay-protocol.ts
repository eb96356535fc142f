/** How a relay connection is opened: an HTTP request to the relay port that asks for an upgrade. */

/**
 * Name and version of the protocol, as the `Upgrade` header gives it. Since version 3 a peer answers
 * questions for a sign of life; one that names another version is not asked.
 */
export const RELAY_PROTOCOL = 'ferryspool-relay/3';
/** Proof that the sender is a node of the fleet; see {@link ./relay-token.ts}. */
export const RELAY_TOKEN_HEADER = 'ferryspool-relay-token';
