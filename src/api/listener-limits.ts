/** Connection limits of the admin listener, in addition to those in the settings. */

/** Maximum size of the request line and headers of one request, in bytes. */
export const MAX_HEADER_BYTES = 16_384;
/** Maximum number of concurrent connections that carry no watch. */
export const MAX_NON_WATCH_CONNECTIONS = 256;

/** Connection timeouts of the listener, in milliseconds. */
export interface ListenerTimeouts {
  /** Time limit for receiving the headers of a request. */
  readonly headersMs: number;
  /** Time limit for receiving a complete request. */
  readonly requestMs: number;
  /** Interval at which {@link headersMs} and {@link requestMs} are checked. */
  readonly checkIntervalMs: number;
  /** Time limit for an idle connection after a response. */
  readonly keepAliveMs: number;
  /** Time limit without traffic on a connection that carries no watch. */
  readonly inactivityMs: number;
  /** Time without traffic after which TCP sends a keep-alive probe. */
  readonly tcpKeepAliveMs: number;
}

/** Default timeouts; tests override them. */
export const LISTENER_TIMEOUTS: ListenerTimeouts = {
  headersMs: 10_000,
  requestMs: 30_000,
  checkIntervalMs: 5_000,
  keepAliveMs: 5_000,
  inactivityMs: 60_000,
  tcpKeepAliveMs: 30_000,
};
