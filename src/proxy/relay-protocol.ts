/** Headers between nodes on the relay port. They are taken only from senders that hold the fleet key. */

/** Proof that the sender is a node of the fleet; see {@link ./relay-token.ts}. */
export const RELAY_TOKEN_HEADER = 'ferryspool-relay-token';
/** Endpoint that the request is for, as `service/endpoint`. */
export const RELAY_ENDPOINT_HEADER = 'ferryspool-endpoint';
/** Identity of the attempt. */
export const RELAY_REQUEST_ID_HEADER = 'ferryspool-request-id';
/** Time left, in milliseconds. */
export const RELAY_DEADLINE_HEADER = 'ferryspool-deadline-ms';
/** Attempts after the first that the receivers may make among them. */
export const RELAY_RETRIES_HEADER = 'ferryspool-retries';
/** Code of a failure; present on every error of the relay's own, never on an endpoint's answer. */
export const RELAY_CODE_HEADER = 'ferryspool-code';
/** `1` when another attempt may help. */
export const RELAY_RETRYABLE_HEADER = 'ferryspool-retryable';
/** When to come back, in milliseconds. */
export const RELAY_RETRY_AFTER_HEADER = 'ferryspool-retry-after-ms';
/** Requests that run or wait at the endpoint, and its slots: `inFlight/slots`. */
export const RELAY_LOAD_HEADER = 'ferryspool-load';
/** `1` when the endpoint takes no new work. */
export const RELAY_DRAINING_HEADER = 'ferryspool-draining';
/** `1` when the endpoint's node is about to stop. */
export const RELAY_STOPPING_HEADER = 'ferryspool-stopping';
/** Rank, time left to the target and to the start in milliseconds (empty: none), class of work: `;` between. */
export const RELAY_WORK_HEADER = 'ferryspool-work';
/** Share of the endpoint's latest requests that failed, in percent; left out when none did. */
export const RELAY_FAILURES_HEADER = 'ferryspool-failures';
