/** What a peer transport is made from. */
import type { ControlEvent, CounterSink } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';

/** Shortest fleet key, in characters. */
export const MIN_FLEET_KEY_LENGTH = 16;

/** Bounds of a transport. */
export interface TransportLimits {
  /** Time for connecting and proving, and for a closing link to send its rest, in milliseconds. */
  readonly handshakeTimeoutMs: number;
  /** Accepted links at most. */
  readonly maxInboundLinks: number;
  /** Accepted connections that have not proved themselves at most; the oldest one gives way. */
  readonly maxUnprovenConnections: number;
  /** Bytes that may wait to be sent on one link; a peer slower than that is hung up. */
  readonly maxBufferedBytes: number;
  /** Time that a stop gives the links to send what was written, in milliseconds. */
  readonly stopFlushMs: number;
}

/** Limits where the options name none. */
export const DEFAULT_TRANSPORT_LIMITS: TransportLimits = {
  handshakeTimeoutMs: 5_000,
  maxInboundLinks: 256,
  maxUnprovenConnections: 64,
  maxBufferedBytes: 4_194_304,
  stopFlushMs: 1_000,
};

/** Certificates for mutual TLS, as PEM text. Peers are known by the fleet key, not by their names. */
export interface TransportTls {
  readonly certificatePem: string;
  readonly keyPem: string;
  /** Authority that signed the certificates of all nodes. */
  readonly authorityPem: string;
}

/** What a transport tells the control plane. */
export type TransportEvent = Extract<
  ControlEvent,
  { readonly type: 'peer-up' | 'peer-down' | 'message' | 'dial-failed' }
>;

/** Options of `createPeerTransport`. */
export interface TransportOptions {
  /** Who this node is; a `controlPort` of 0 is replaced by the port that is listened on. */
  readonly identity: PeerIdentity;
  /** Secret of the fleet, at least {@link MIN_FLEET_KEY_LENGTH} characters. */
  readonly fleetKey: string;
  readonly tls?: TransportTls | undefined;
  /** IP address and port to listen on; port 0 takes a free one. */
  readonly listen: { readonly address: string; readonly port: number };
  /** Gets events in order, never from within a call of the transport; must not throw. */
  readonly onEvent: (event: TransportEvent) => void;
  readonly counters: CounterSink;
  readonly limits?: Partial<TransportLimits> | undefined;
}

/** Links to peers. */
export interface PeerTransport {
  /** The port that is listened on. */
  readonly port: number;
  readonly identity: PeerIdentity;
  /**
   * Opens a link. Answered by `peer-up` of a peer at this address, or else by one `dial-failed`. A
   * dial of an address that is being dialled is answered together with it.
   */
  dial(target: PeerAddress): void;
  /** Sends on the link to the peer; false when there is none, or when it can not take the message. */
  send(peerId: string, message: Extract<ControlEvent, { type: 'message' }>['message']): boolean;
  /** Closes the link to the peer, after what was sent; no `peer-down` follows. */
  hangUp(peerId: string): void;
  /** Sends what was written, closes everything and tells nothing more. Never rejects. */
  stop(): Promise<void>;
}

/** The transport can not be made from its options. */
export class TransportOptionsError extends Error {
  override readonly name = 'TransportOptionsError';
  readonly code = 'bad-transport-options';
}
