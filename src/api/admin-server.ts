/** The admin listener: resource API, status, metrics and health over HTTP. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Logger } from '../runtime/logger.js';
import type { Metrics } from '../runtime/metrics.js';
import type { Settings } from '../settings/settings.js';
import { createAccessCheck } from './access-check.js';
import type { SuspicionView } from '../containment/suspicion.js';
import { AdminHandler } from './admin-handler.js';
import { API_COUNTERS, declareApiCounters } from './api-counters.js';
import { ApiError } from './api-error.js';
import { errorOfParser, sendErrorOnSocket } from './client-error.js';
import { sendError } from './api-response.js';
import { ConfigurationFeed } from './configuration-feed.js';
import type { ConfigurationView } from './configuration-view.js';
import { createDigestMask, maskStatus } from './digest-mask.js';
import {
  LISTENER_TIMEOUTS,
  MAX_HEADER_BYTES,
  MAX_NON_WATCH_CONNECTIONS,
  type ListenerTimeouts,
} from './listener-limits.js';
import type { StatusProvider } from './node-status.js';
import { createResourceVersioner } from './resource-version.js';
import { ResourceWriter } from './resource-writer.js';
import { WatchRegistry } from './watch-registry.js';
import type { WritePort } from './write-port.js';

export interface AdminServerOptions {
  readonly settings: Settings;
  readonly view: ConfigurationView;
  readonly status: StatusProvider;
  readonly suspicions: SuspicionView;
  readonly writePort: WritePort;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Overrides of {@link LISTENER_TIMEOUTS}. */
  readonly timeouts?: Partial<ListenerTimeouts>;
}

/** An open admin listener. */
export class AdminServer {
  private constructor(
    private readonly server: Server,
    private readonly feed: ConfigurationFeed,
    private readonly watches: WatchRegistry,
  ) {}

  /** Opens the listener on `adminAddress` and `ports.admin`; rejects if that fails. */
  static async open(options: AdminServerOptions): Promise<AdminServer> {
    const { settings, metrics } = options;
    const { api } = settings;
    declareApiCounters((name, help) => metrics.declareCounter(name, help));
    const { fleetKey } = settings;
    const versionOf = createResourceVersioner(fleetKey);
    const feed = new ConfigurationFeed(options.view, versionOf, createDigestMask(fleetKey), {
      maxEvents: api.watchHistoryEvents,
      maxBytes: api.watchHistoryBytes,
    });
    const watches = new WatchRegistry({ feed, counters: metrics, maxWatchers: api.maxWatchers });
    metrics.gauge('ferryspool_api_watches', 'Watches that are open', () => watches.size);
    const server = createAdminServer(options, createHandler(options, feed, watches));
    await listen(server, settings.adminAddress, settings.ports.admin);
    return new AdminServer(server, feed, watches);
  }

  /** Port of the listener. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Accepts no new requests, ends watches with a reason and lets answers in progress complete. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.watches.stop();
    this.server.closeIdleConnections();
    await closed;
    this.feed.close();
  }

  /** Closes every connection immediately. */
  abort(): void {
    this.feed.close();
    this.server.close();
    this.server.closeAllConnections();
  }
}

function createHandler(
  { settings, status, suspicions, writePort, metrics, logger }: AdminServerOptions,
  feed: ConfigurationFeed,
  watches: WatchRegistry,
): AdminHandler {
  const versionOf = createResourceVersioner(settings.fleetKey);
  const maskDigest = createDigestMask(settings.fleetKey);
  return new AdminHandler({
    feed,
    watches,
    writer: new ResourceWriter(writePort, versionOf, settings.api.writeTimeoutMs),
    status: () => maskStatus(status(), maskDigest),
    suspicions,
    metrics,
    counters: metrics,
    checkAccess: createAccessCheck(settings.adminToken),
    maxBodyBytes: settings.api.maxBodyBytes,
    onInternalError: (error) =>
      logger.error('api-internal-error', {
        reason: error instanceof Error ? error.stack : String(error),
      }),
  });
}

function createAdminServer(options: AdminServerOptions, handler: AdminHandler): Server {
  const { settings, metrics, logger } = options;
  const timeouts = { ...LISTENER_TIMEOUTS, ...options.timeouts };
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: timeouts.headersMs,
    requestTimeout: timeouts.requestMs,
    connectionsCheckingInterval: timeouts.checkIntervalMs,
    keepAliveTimeout: timeouts.keepAliveMs,
    keepAlive: true,
    keepAliveInitialDelay: timeouts.tcpKeepAliveMs,
  });
  server.maxConnections = settings.api.maxWatchers + MAX_NON_WATCH_CONNECTIONS;
  server.setTimeout(timeouts.inactivityMs);
  server.on('request', (request, response) => {
    response.on('close', () => closeIdleWhenStopping(server));
    void handler.handle(request, response);
  });
  server.on('checkExpectation', (_request, response) =>
    sendError(response, new ApiError('EXPECTATION_FAILED', 'expected no Expect header')),
  );
  server.on('connect', (_request, socket) =>
    sendErrorOnSocket(
      socket,
      new ApiError('METHOD_NOT_ALLOWED', 'the CONNECT method is not supported'),
    ),
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    metrics.add(API_COUNTERS.malformedRequests);
    sendErrorOnSocket(socket, errorOfParser(error.code));
  });
  server.on('error', (error) => logger.error('api-listener-error', { reason: error.message }));
  server.on('drop', () => metrics.add(API_COUNTERS.connectionsRefused));
  server.on('connection', (socket: Socket) => socket.setNoDelay(true));
  return server;
}

/** Closes keep-alive connections that become idle after the listener has stopped accepting. */
function closeIdleWhenStopping(server: Server): void {
  if (!server.listening) {
    setImmediate(() => server.closeIdleConnections());
  }
}

function listen(server: Server, address: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
