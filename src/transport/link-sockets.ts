/** Sockets for links: plain TCP, or mutual TLS where there are certificates. */
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

/** What a listener needs. */
export interface SocketListenerOptions {
  readonly tls: TransportTls | undefined;
  /** Connections at most, those within a TLS handshake included. */
  readonly maxConnections: number;
  /** Time for a TLS handshake, in milliseconds. */
  readonly handshakeTimeoutMs: number;
  /** Gets each connection once TLS, if any, is done. */
  readonly onSocket: (socket: Socket) => void;
  /** TLS refused a connection, or failed on it. */
  readonly onTlsFailure: () => void;
}

/** Accepts connections, and knows those whose TLS handshake is still going on. */
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

  /** Listens and gives the port; rejects when the address can not be had. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        this.server.off('error', reject);
        // A failure to accept, such as no free file descriptor, must not end the process.
        this.server.on('error', () => undefined);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Accepts no more connections; those that are there stay. */
  close(): void {
    this.closed = new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  /** Closes the connections that are left, after {@link close}. */
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
    // The server leaves a socket open whose handshake ran out of time.
    socket.destroy();
    options.onTlsFailure();
  });
  return server;
}

/** Opens outgoing sockets; certificates are parsed once. */
export class SocketDialer {
  private readonly secureContext: SecureContext | undefined;

  constructor(tls: TransportTls | undefined) {
    this.secureContext = tls === undefined ? undefined : createSecureContext(pemOptions(tls));
  }

  /** A socket on its way; `onReady` is called when it is connected and TLS, if any, is done. */
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
      // Certificates name no address: a peer is known by its proof of the fleet key.
      checkServerIdentity: () => undefined,
    } as const;
    return connectTls(options, onReady);
  }
}

/** Key material that only the two ends of this TLS session share; empty without TLS. */
export function channelBindingOf(socket: Socket): Buffer {
  return socket instanceof TLSSocket
    ? socket.exportKeyingMaterial(BINDING_BYTES, BINDING_LABEL, NO_BINDING)
    : NO_BINDING;
}

function pemOptions(tls: TransportTls): { cert: string; key: string; ca: string } {
  return { cert: tls.certificatePem, key: tls.keyPem, ca: tls.authorityPem };
}
