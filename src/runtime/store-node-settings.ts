/** Settings of a node that follows a key-value store; an adapter reads them. */

/** An address to listen on or to connect to. */
export interface SocketAddress {
  /** IP number. */
  readonly address: string;
  readonly port: number;
}

/** Settings of one node. */
export interface StoreNodeSettings {
  readonly machine: {
    /** For the log. */
    readonly name: string;
    /** IP number; it is the machine's identity. */
    readonly address: string;
    readonly zone: string;
    readonly region: string;
  };
  /** Callers' requests. */
  readonly caller: SocketAddress;
  /** Requests relayed by other nodes; the port is the same on every machine. */
  readonly relay: SocketAddress;
  /** Whether this node takes new work: 200, else 503. */
  readonly readiness: SocketAddress;
  /** Ports that are free for what nodes say to each other, the last one included. */
  readonly internalPorts: { readonly first: number; readonly last: number };
  /** Time that a planned stop may take, in milliseconds. */
  readonly drainTimeoutMs: number;
  readonly retry: {
    /** Requests of a service that may be sent again, in percent of all, fleet-wide. */
    readonly percent: number;
    /** Further ones that the fleet may send again in a burst. */
    readonly fleetBurst: number;
  };
}
