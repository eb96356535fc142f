/** Sockets for links: plain TCP, or mutual TLS if certificates are configured. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import {
  connect as connectTls,
  createSecureContext,
  createServer as createTlsServer,
  TLSSocket,
  type SecureContext,
} from 'node:tls';
import type { PeerAddress } from '../membership/peer-identity.js';
import type { TransportTls } from './transport-options.js';

const TLS_VERSION = 'TLSv1.3';
const BINDING_BYTES = 32;
const BINDING_LABEL = 'EXPORTER-ferryspool-peer';
const NO_BINDING = Buffer.alloc(0);

/** Options of a {@link SocketListener}. */
export interface SocketListenerOptions {
  readonly tls: TransportTls | undefined;
  /** Maximum number of connections, including those in a TLS handshake. */
  readonly maxConnections: number;
  /** Timeout of a TLS handshake. */
  readonly handshakeTimeoutMs: number;
  /** Called with each connection, after its TLS handshake if TLS is used. */
  readonly onSocket: (socket: Socket) => void;
  /** Called when a TLS handshake was refused or has failed. */
  readonly onTlsFailure: () => void;
}

/** Accepts connections and tracks them, including those whose TLS handshake is still in progress. */
export class SocketListener {
  private readonly server: Server;
  private readonly connections = new Set<Socket>();
  private closed: Promise<void> = Promise.resolve();

  constructor(options: SocketListenerOptions) {
    const { tls, onSocket } = options;
    this.server = tls === undefined ? createServer(onSocket) : createSecureServer(tls, options);
    this.server.maxConnections = options.maxConnections;
    this.server.on('connection', (socket: Socket) => {
      this.connections.add(socket);
      socket.once('close', () => this.connections.delete(socket));
    });
  }

  /** Listens and resolves with the port; rejects if the address can't be bound. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        this.server.off('error', reject);
        // An accept failure, such as a lack of file descriptors, must not crash the process.
        this.server.on('error', () => undefined);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops accepting connections; existing ones stay open. */
  close(): void {
    this.closed = new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  /** Closes the remaining connections. Call it after {@link close}. */
  async destroyConnections(): Promise<void> {
    this.connections.forEach((socket) => socket.destroy());
    await this.closed;
  }
}

function createSecureServer(tls: TransportTls, options: SocketListenerOptions): Server {
  const server = createTlsServer({
    ...pemOptions(tls),
    minVersion: TLS_VERSION,
    requestCert: true,
    rejectUnauthorized: true,
    handshakeTimeout: options.handshakeTimeoutMs,
  });
  server.on('secureConnection', options.onSocket);
  server.on('tlsClientError', (_error: Error, socket: TLSSocket) => {
    // The server does not close a socket whose handshake has timed out.
    socket.destroy();
    options.onTlsFailure();
  });
  return server;
}

/** Opens outgoing sockets. Certificates are parsed only once. */
export class SocketDialer {
  private readonly secureContext: SecureContext | undefined;

  constructor(tls: TransportTls | undefined) {
    this.secureContext = tls === undefined ? undefined : createSecureContext(pemOptions(tls));
  }

  /** Returns a connecting socket. `onReady` is called once it is connected and any TLS handshake is done. */
  open(target: PeerAddress, onReady: () => void): Socket {
    const address = { host: target.address, port: target.controlPort };
    if (this.secureContext === undefined) {
      return connect(address, onReady);
    }
    const options = {
      ...address,
      secureContext: this.secureContext,
      minVersion: TLS_VERSION,
      rejectUnauthorized: true,
      // Certificates contain no address; the peer is authenticated by its proof of the fleet key.
      checkServerIdentity: () => undefined,
    } as const;
    return connectTls(options, onReady);
  }
}

/** Key material shared only by the two ends of this TLS session; empty without TLS. */
export function channelBindingOf(socket: Socket): Buffer {
  return socket instanceof TLSSocket
    ? socket.exportKeyingMaterial(BINDING_BYTES, BINDING_LABEL, NO_BINDING)
    : NO_BINDING;
}

function pemOptions(tls: TransportTls): { cert: string; key: string; ca: string } {
  return { cert: tls.certificatePem, key: tls.keyPem, ca: tls.authorityPem };
}
