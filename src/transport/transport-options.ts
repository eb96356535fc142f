/** Options and interface of the peer transport. */
import type { ControlEvent, CounterSink } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';

/** Minimum length of the fleet key, in characters. */
export const MIN_FLEET_KEY_LENGTH = 16;

/** Limits of a transport. */
export interface TransportLimits {
  /** Time for the connection and the handshake, and for a closing link to send its remaining frames. */
  readonly handshakeTimeoutMs: number;
  /** Maximum number of accepted links. */
  readonly maxInboundLinks: number;
  /** Maximum number of accepted connections that are not authenticated yet; the oldest is evicted. */
  readonly maxUnprovenConnections: number;
  /** Maximum number of bytes buffered for one link; the link to a slower peer is closed. */
  readonly maxBufferedBytes: number;
  /** Time for the links to send their remaining frames when the transport stops. */
  readonly stopFlushMs: number;
}

/** Default limits. */
export const DEFAULT_TRANSPORT_LIMITS: TransportLimits = {
  handshakeTimeoutMs: 5_000,
  maxInboundLinks: 256,
  maxUnprovenConnections: 64,
  maxBufferedBytes: 4_194_304,
  stopFlushMs: 1_000,
};

/** Certificates for mutual TLS, as PEM text. Peers are authenticated by the fleet key, not by their names. */
export interface TransportTls {
  readonly certificatePem: string;
  readonly keyPem: string;
  /** Certificate of the authority that signed the certificates of all nodes. */
  readonly authorityPem: string;
}

/** Events that a transport sends to the control plane. */
export type TransportEvent = Extract<
  ControlEvent,
  { readonly type: 'peer-up' | 'peer-down' | 'message' | 'dial-failed' }
>;

/** Options of `createPeerTransport`. */
export interface TransportOptions {
  /** Identity of this node; a `controlPort` of 0 is replaced by the listening port. */
  readonly identity: PeerIdentity;
  /** Shared secret of the fleet, at least {@link MIN_FLEET_KEY_LENGTH} characters. */
  readonly fleetKey: string;
  readonly tls?: TransportTls | undefined;
  /** IP address and port to listen on; port 0 selects a free one. */
  readonly listen: { readonly address: string; readonly port: number };
  /** Receives events in order, never from within a call to the transport; must not throw. */
  readonly onEvent: (event: TransportEvent) => void;
  readonly counters: CounterSink;
  readonly limits?: Partial<TransportLimits> | undefined;
}

/** Links to peers. */
export interface PeerTransport {
  /** The listening port. */
  readonly port: number;
  readonly identity: PeerIdentity;
  /**
   * Opens a link. The result is either `peer-up` for a peer at this address or one `dial-failed`. A dial to
   * an address with a pending dial shares the result of that dial.
   */
  dial(target: PeerAddress): void;
  /** Sends a message to the peer; false if there is no link or it can't accept the message. */
  send(peerId: string, message: Extract<ControlEvent, { type: 'message' }>['message']): boolean;
  /** Closes the link to the peer once all messages are sent; no `peer-down` follows. */
  hangUp(peerId: string): void;
  /** Sends all buffered frames, closes all links and emits no more events. Never rejects. */
  stop(): Promise<void>;
}

/** Thrown when the options of a transport are invalid. */
export class TransportOptionsError extends Error {
  override readonly name = 'TransportOptionsError';
  readonly code = 'bad-transport-options';
}
