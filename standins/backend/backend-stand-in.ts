/**
 * Stand-in for a back end: slots, a connection limit, cold start, drain, shed load, cancellation and
 * deadlines, with a ledger of every execution and switches for faults.
 */
import { createServer } from 'node:http';
import { createServer as createSocketServer, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { startControlServer, type ControlRoutes } from '../shared/control-server.js';
import { listen, type Listener } from '../shared/listener.js';
import { faultCommandSchema } from './answer-fault.js';
import {
  backendChangeSchema,
  changedSettings,
  DEFAULT_BACKEND_SETTINGS,
  type BackendChange,
} from './backend-settings.js';
import type { RefusalReason } from './backend-call.js';
import { ConnectionLimit } from './connection-limit.js';
import type { Execution, LedgerListener } from './execution-ledger.js';
import { RequestServer } from './request-server.js';

/** How often a planned stop looks whether the last request has ended, in milliseconds. */
const DRAIN_POLL_MS = 10;

/** Where to listen, and the settings to start with. */
export interface BackendOptions {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly controlPort: number;
  /** What differs from {@link DEFAULT_BACKEND_SETTINGS}. */
  readonly settings: BackendChange;
  /** Uniform in [0, 1); for work times. */
  readonly random: () => number;
  /** Told of each change of the ledger before the work or the answer that follows from it. */
  readonly ledgerListener?: LedgerListener;
}

const DEFAULT_OPTIONS: BackendOptions = {
  name: 'backend',
  host: '127.0.0.1',
  port: 0,
  controlPort: 0,
  settings: {},
  random: Math.random,
};

/** Counters since the start. */
export interface BackendCounters {
  readonly connections: number;
  readonly peakConnections: number;
  readonly connectionsRefused: number;
  readonly inFlight: number;
  readonly peakInFlight: number;
  /** Executions begun. */
  readonly started: number;
  /** When the last request arrived, refused or not, in milliseconds since 1970. */
  readonly lastArrivalAt?: number;
  /** Requests refused before they started, by reason. */
  readonly refused: Partial<Record<RefusalReason, number>>;
}

/** What `GET /ledger` of the control port answers. */
export interface LedgerReport {
  readonly backend: string;
  readonly executions: readonly Execution[];
}

/** A running back end. */
export class BackendStandIn {
  private readonly connectionLimit = new ConnectionLimit();
  private readonly requests: RequestServer;
  private readonly http = createServer((request, response) => {
    void this.requests.answer(request, response);
  });
  private listeners: readonly Listener[] = [];

  private constructor(private readonly options: BackendOptions) {
    const settings = changedSettings(DEFAULT_BACKEND_SETTINGS, options.settings);
    const { name, random, ledgerListener } = options;
    this.requests = new RequestServer(name, settings, this.connectionLimit, random, ledgerListener);
    this.http.keepAliveTimeout = 0;
  }

  /** Starts both ports; port 0 takes a free one. */
  static async start(options: Partial<BackendOptions> = {}): Promise<BackendStandIn> {
    const whole = { ...DEFAULT_OPTIONS, ...options };
    const backend = new BackendStandIn(whole);
    const front = createSocketServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
      backend.connect(socket);
    });
    backend.listeners = [
      await listen(front, whole.host, whole.port),
      await startControlServer(backend.controlRoutes(), whole.host, whole.controlPort),
    ];
    return backend;
  }

  /** `port` serves requests, `controlPort` is for tests and the demo. */
  get ports(): { port: number; controlPort: number } {
    return { port: this.listeners[0]?.port ?? 0, controlPort: this.listeners[1]?.port ?? 0 };
  }

  /** Changes what is named in `change`. */
  change(change: BackendChange): void {
    this.requests.change(change);
  }

  /** Every execution so far, in the order in which they began. */
  executions(): readonly Execution[] {
    return this.requests.ledger.entries();
  }

  counters(): BackendCounters {
    const lastArrivalAt = this.requests.latestArrivalAt();
    return {
      ...this.connectionLimit.counters(),
      inFlight: this.requests.load.inFlight,
      peakInFlight: this.requests.load.peakInFlight,
      started: this.executions().length,
      ...(lastArrivalAt !== undefined && { lastArrivalAt }),
      refused: this.requests.refused(),
    };
  }

  /** Planned stop: refuses new requests for `graceMs` and until those in flight have ended. */
  async drainAndStop(graceMs: number): Promise<void> {
    this.change({ draining: true });
    await delay(graceMs);
    while (this.requests.load.inFlight > 0) {
      await delay(DRAIN_POLL_MS);
    }
    await this.stop();
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    await Promise.all(this.listeners.map((listener) => listener.close()));
  }

  private controlRoutes(): ControlRoutes {
    return {
      'POST /settings': (body) => {
        this.change(backendChangeSchema.parse(body));
      },
      'POST /restart-cold': () => {
        this.requests.restartCold();
      },
      'POST /faults': (body) => {
        const { fault, delayMs, count } = faultCommandSchema.parse(body);
        this.requests.faults.push(...Array.from({ length: count }, () => ({ fault, delayMs })));
      },
      'GET /ledger': (): LedgerReport => ({
        backend: this.options.name,
        executions: this.executions(),
      }),
      'GET /counters': () => this.counters(),
    };
  }

  private connect(socket: Socket): void {
    const { connectionCostMs, maxConnections } = this.requests.settings;
    const readyAtMs = performance.now() + connectionCostMs;
    if (this.connectionLimit.admit(socket, maxConnections, readyAtMs)) {
      this.http.emit('connection', socket);
    }
  }
}
