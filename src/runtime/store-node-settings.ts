/** Settings of a node that replicates a key-value store; an adapter reads them. */

/** An address to listen on or to connect to. */
export interface SocketAddress {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** Settings of one node. */
export interface StoreNodeSettings {
  readonly machine: {
    /** Name used in log lines. */
    readonly name: string;
    /** IP address, which identifies the machine. */
    readonly address: string;
    readonly zone: string;
    readonly region: string;
  };
  /** Listener for callers' requests. */
  readonly caller: SocketAddress;
  /** Listener for requests relayed by other nodes; the port is the same on every machine. */
  readonly relay: SocketAddress;
  /** Listener for readiness checks: 200 while this node accepts new work, otherwise 503. */
  readonly readiness: SocketAddress;
  /** Range of ports for traffic between nodes, inclusive. */
  readonly internalPorts: { readonly first: number; readonly last: number };
  /** Maximum duration of a planned stop, in milliseconds. */
  readonly drainTimeoutMs: number;
  readonly retry: {
    /** Percentage of a service's requests that may be retried, fleet-wide. */
    readonly percent: number;
    /** Additional retries that the fleet may send in a burst. */
    readonly fleetBurst: number;
    /** Window over which the retries are counted, in milliseconds; retries are only saved up if absent. */
    readonly windowMs?: number | undefined;
  };
}
