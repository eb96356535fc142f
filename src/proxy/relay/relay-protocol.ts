/** How a relay connection is opened: an HTTP request to the relay port that asks for an upgrade. */

/**
 * Name and version of the protocol, as the `Upgrade` header gives it. Nodes of different versions open no
 * relay connection to each other: a receiver that waits for bodies and a sender that waits for credit
 * would wait for ever.
 */
export const RELAY_PROTOCOL = 'ferryspool-relay/3';
/** Proof that the sender is a node of the fleet; see {@link ./relay-token.ts}. */
export const RELAY_TOKEN_HEADER = 'ferryspool-relay-token';
