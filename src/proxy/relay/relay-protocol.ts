/** Opening of a relay connection: an HTTP upgrade request to the relay port. */

/**
 * Name and version of the protocol in the `Upgrade` header. Nodes with different versions do not open relay
 * connections to each other: a receiver waiting for a body and a sender waiting for credit would deadlock.
 */
export const RELAY_PROTOCOL = 'ferryspool-relay/7';
/** The sender's monotonic clock when it began to open the connection, in whole milliseconds. */
export const RELAY_CLOCK_HEADER = 'ferryspool-relay-clock';
/** Authenticates the sender as a node of the fleet; see {@link ./relay-token.ts}. */
export const RELAY_TOKEN_HEADER = 'ferryspool-relay-token';
