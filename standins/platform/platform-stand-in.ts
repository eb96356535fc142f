/**
 * Stand-in for the platform: a configuration service that can only be read, with a bound on readers
 * at once that it enforces and counts, and a lagging machine list.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createServer as createSocketServer, type Socket } from 'node:net';
import type { MachineList } from '../../src/model/machine.js';
import { startControlServer } from '../shared/control-server.js';
import { listen, type Listener } from '../shared/listener.js';
import {
  platformSettingsSchema,
  publishMachinesSchema,
  publishSchema,
  type OutageMode,
  type PlatformSettings,
  type Publication,
} from './control-commands.js';
import { ReaderBound } from './reader-bound.js';
import { ConfigurationTexts, LaggingTexts, type ServedText } from './served-documents.js';

/** Where to listen and how many readers to bear. */
export interface PlatformOptions {
  readonly host: string;
  readonly port: number;
  readonly controlPort: number;
  readonly readerBound: number;
}

const DEFAULT_OPTIONS: PlatformOptions = {
  host: '127.0.0.1',
  port: 0,
  controlPort: 0,
  readerBound: 4,
};

/** Counters since the start. */
export interface PlatformCounters {
  readonly readers: number;
  readonly peakReaders: number;
  readonly readersRefused: number;
  /** Requests that were answered with a document or with "not modified". */
  readonly reads: number;
  readonly notModified: number;
  readonly bytesOut: number;
}

/** A running platform. */
export class PlatformStandIn {
  private readonly configuration = new ConfigurationTexts();
  private readonly machines = new LaggingTexts();
  private readonly readerBound: ReaderBound;
  private readonly http = createServer((request, response) => {
    this.answerInTime(request, response);
  });
  private outage: OutageMode = 'none';
  private answerDelayMs = 0;
  private reads = 0;
  private notModified = 0;
  private listeners: readonly Listener[] = [];

  private constructor(readerBound: number) {
    this.readerBound = new ReaderBound(readerBound);
    this.http.keepAliveTimeout = 0;
  }

  /** Starts both ports; port 0 takes a free one. */
  static async start(options: Partial<PlatformOptions> = {}): Promise<PlatformStandIn> {
    const { host, port, controlPort, readerBound } = { ...DEFAULT_OPTIONS, ...options };
    const platform = new PlatformStandIn(readerBound);
    const front = createSocketServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
      platform.connect(socket);
    });
    platform.listeners = [
      await listen(front, host, port),
      await startControlServer(platform.controlRoutes(), host, controlPort),
    ];
    return platform;
  }

  /** `port` serves readers, `controlPort` is for tests and the demo. */
  get ports(): { port: number; controlPort: number } {
    return { port: this.listeners[0]?.port ?? 0, controlPort: this.listeners[1]?.port ?? 0 };
  }

  /** Publishes a configuration; it may be malformed, and may repeat a version. */
  publish(publication: Publication): void {
    this.configuration.publish(
      'raw' in publication
        ? { version: publication.version, text: publication.raw }
        : { version: publication.document.version, text: JSON.stringify(publication.document) },
    );
  }

  /** Publishes a machine list, visible after the lag. */
  publishMachines(list: MachineList): void {
    this.machines.publish({ version: list.version, text: JSON.stringify(list) }, performance.now());
  }

  /** Changes what is named in `settings`. */
  change(settings: PlatformSettings): void {
    this.machines.lagMs = settings.machinesLagMs ?? this.machines.lagMs;
    this.readerBound.bound = settings.readerBound ?? this.readerBound.bound;
    if (settings.staleVersion !== undefined) {
      this.configuration.pin(settings.staleVersion ?? undefined);
    }
    this.outage = settings.outage ?? this.outage;
    this.answerDelayMs = settings.answerDelayMs ?? this.answerDelayMs;
    if (settings.outage === 'refuse') {
      this.readerBound.disconnectAll();
    }
  }

  /** Forgets its versions and serves the newest document again as version 1. */
  restartFromZero(): void {
    this.configuration.restartFromZero();
    this.readerBound.disconnectAll();
  }

  counters(): PlatformCounters {
    const { reads, notModified } = this;
    return { ...this.readerBound.counters(), reads, notModified };
  }

  async stop(): Promise<void> {
    await Promise.all(this.listeners.map((listener) => listener.close()));
  }

  private controlRoutes(): Record<string, (body: unknown) => unknown> {
    return {
      'POST /configuration': (body) => {
        this.publish(publishSchema.parse(body));
      },
      'POST /machines': (body) => {
        this.publishMachines(publishMachinesSchema.parse(body));
      },
      'POST /settings': (body) => {
        this.change(platformSettingsSchema.parse(body));
      },
      'POST /restart-from-zero': () => {
        this.restartFromZero();
      },
      'GET /counters': () => this.counters(),
    };
  }

  private connect(socket: Socket): void {
    if (this.outage === 'refuse') {
      socket.resetAndDestroy();
      return;
    }
    if (this.readerBound.admit(socket)) {
      this.http.emit('connection', socket);
    }
  }

  private answerInTime(request: IncomingMessage, response: ServerResponse): void {
    if (this.answerDelayMs === 0) {
      this.answer(request, response);
      return;
    }
    setTimeout(() => this.answer(request, response), this.answerDelayMs).unref();
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    if (this.outage === 'hang') {
      return;
    }
    if (this.outage === 'unavailable') {
      response.writeHead(503, { 'retry-after': '1' }).end();
      return;
    }
    if (request.method !== 'GET') {
      response.writeHead(405, { allow: 'GET' }).end();
      return;
    }
    this.serve(this.select(request.url), request, response);
  }

  private select(url: string | undefined): ServedText | undefined {
    switch (url) {
      case '/v1/configuration':
        return this.configuration.current();
      case '/v1/machines':
        return this.machines.current(performance.now());
      default:
        return undefined;
    }
  }

  private serve(
    served: ServedText | undefined,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (served === undefined) {
      response.writeHead(404).end();
      return;
    }
    this.reads += 1;
    const etag = `"${served.version}"`;
    if (request.headers['if-none-match'] === etag) {
      this.notModified += 1;
      response.writeHead(304, { etag }).end();
      return;
    }
    response.writeHead(200, { etag, 'content-type': 'application/json' }).end(served.text);
  }
}
