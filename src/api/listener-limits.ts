/** Bounds that the admin listener puts on connections, beside those of the settings. */

/** Request line and headers of one request, in bytes. */
export const MAX_HEADER_BYTES = 16_384;
/** Connections beyond the watches, at once. */
export const MAX_PLAIN_CONNECTIONS = 256;

/** Times after which the listener gives a connection up, in milliseconds. */
export interface ListenerTimeouts {
  /** For the headers of a request to arrive. */
  readonly headersMs: number;
  /** For a whole request to arrive. */
  readonly requestMs: number;
  /** Time between two checks of the two above. */
  readonly checkIntervalMs: number;
  /** Idle connection after an answer. */
  readonly keepAliveMs: number;
  /** Silence on a connection, unless it carries a watch. */
  readonly silenceMs: number;
  /** Silence after which TCP asks whether a watcher is still there. */
  readonly tcpKeepAliveMs: number;
}

/** The times that hold unless a test says otherwise. */
export const LISTENER_TIMEOUTS: ListenerTimeouts = {
  headersMs: 10_000,
  requestMs: 30_000,
  checkIntervalMs: 5_000,
  keepAliveMs: 5_000,
  silenceMs: 60_000,
  tcpKeepAliveMs: 30_000,
};
