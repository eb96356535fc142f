/**
 * A node that follows a key-value store: request path, replica of the store, readiness and metrics.
 * The store lists every endpoint with its machine, so the node needs no machine list of its own, and
 * nothing of the control plane runs here; see `docs/PLATFORM.md`.
 */
import type http from 'node:http';
import type { CallerProtocol } from '../proxy/caller-protocol.js';
import type { EndpointProtocol } from '../proxy/endpoint-protocol.js';
import type { ProxyLimits } from '../proxy/proxy-limits.js';
import { createRequestProxy, type RequestProxy } from '../proxy/request-proxy.js';
import type { Snapshot } from '../model/snapshot.js';
import type { RecordReader } from '../store/configuration-record.js';
import type { KeyValueStore } from '../store/key-value-store.js';
import { SnapshotBuilder } from '../store/snapshot-builder.js';
import { StoreFollower } from '../store/store-follower.js';
import { StoreReplica } from '../store/store-replica.js';
import type { Logger } from './logger.js';
import { Metrics } from './metrics.js';
import { createMetricsServer } from './metrics-server.js';
import { createReadinessServer } from './readiness-server.js';
import { RequestLogger } from './request-logger.js';
import type { SocketAddress, StoreNodeSettings } from './store-node-settings.js';

/** Longest time that a watch of the store waits, in milliseconds: it bounds how late a lost one shows. */
const WATCH_WAIT_MS = 2_500;
/** Time of a planned stop that is kept for its last steps, in milliseconds. */
const STOP_RESERVE_MS = 400;
/** Metrics are served on this port after the first internal one. */
const METRICS_PORT_OFFSET = 1;

const STORE_NODE_LIMITS: Partial<ProxyLimits> = {
  maxHeaderBytes: 64 * 1024,
  maxRetries: 3,
  maxRedirects: 3,
  retriesFaults: true,
  connectTimeoutMs: 300,
  stopAcceptMs: 2_800,
  stopQuietMs: 400,
  cancelLeadShare: 0,
};

/** What a node is made of besides its settings. */
export interface StoreNodeOptions {
  readonly settings: StoreNodeSettings;
  readonly store: KeyValueStore;
  readonly readRecord: RecordReader;
  readonly callerProtocol: CallerProtocol;
  readonly endpointProtocol: EndpointProtocol;
  readonly logger: Logger;
}

/** The node. */
export class StoreNode {
  private readonly metrics = new Metrics();
  private readonly replica = new StoreReplica();
  private readonly builder: SnapshotBuilder;
  private readonly follower: StoreFollower;
  private readonly proxy: RequestProxy;
  private readonly readiness: http.Server;
  private readonly metricsServer: http.Server;
  private snapshot: Snapshot | undefined;
  private machineCount = 1;
  private isStopping = false;
  private stopped: Promise<void> | undefined;

  constructor(private readonly options: StoreNodeOptions) {
    this.builder = new SnapshotBuilder(options.readRecord);
    this.follower = this.createFollower();
    this.proxy = this.createProxy();
    this.readiness = createReadinessServer(() => this.isReady);
    this.metricsServer = createMetricsServer(this.metrics);
  }

  /** Opens the listeners and begins to follow the store; rejects when a listener can't be opened. */
  async open(): Promise<void> {
    const { caller, relay, readiness, machine, internalPorts } = this.options.settings;
    this.follower.start();
    const metricsPort = internalPorts.first + METRICS_PORT_OFFSET;
    await listen(this.proxy.relayServer, relay);
    await listen(this.proxy.callerServer, caller);
    await listen(this.readiness, readiness);
    await listen(this.metricsServer, { address: machine.address, port: metricsPort });
  }

  /** Planned stop: says that it is not ready, goes on serving, and finishes what is in flight. */
  stop(): Promise<void> {
    this.stopped ??= this.stopInOrder();
    return this.stopped;
  }

  private get isReady(): boolean {
    return this.snapshot !== undefined && !this.isStopping;
  }

  private async stopInOrder(): Promise<void> {
    this.isStopping = true;
    await this.proxy.stop();
    this.follower.close();
    this.readiness.close();
    this.metricsServer.close();
  }

  private createFollower(): StoreFollower {
    const { store, logger } = this.options;
    return new StoreFollower({
      store,
      replica: this.replica,
      random: Math.random,
      watchWaitMs: WATCH_WAIT_MS,
      onLearned: (hasChanged) => this.takeLearned(hasChanged),
      onConnection: (isConnected, reason) => {
        logger.info(isConnected ? 'store-regained' : 'store-lost', { reason });
      },
    });
  }

  private createProxy(): RequestProxy {
    const { settings, callerProtocol, endpointProtocol, logger } = this.options;
    const { machine, relay, drainTimeoutMs, retry } = settings;
    return createRequestProxy({
      identity: {
        id: machine.address,
        incarnation: Date.now(),
        address: machine.address,
        controlPort: 0,
        relayPort: relay.port,
        zone: machine.zone,
        region: machine.region,
      },
      snapshots: { current: () => this.snapshot },
      members: {
        status: () => 'unknown',
        relayAddress: (address) => ({ address, port: relay.port }),
        count: () => this.machineCount,
      },
      counters: this.metrics,
      random: Math.random,
      limits: {
        ...STORE_NODE_LIMITS,
        stopTimeoutMs: Math.max(0, drainTimeoutMs - STOP_RESERVE_MS),
        fleetSavedRetries: retry.fleetBurst,
      },
      callerProtocol,
      endpointProtocol,
      logStateChange: (what, detail) => logger.info(what, { detail }),
      requestLog: new RequestLogger(logger),
    });
  }

  private takeLearned(hasChanged: boolean): void {
    if (!hasChanged && this.snapshot !== undefined) {
      return;
    }
    const { snapshot, faults } = this.builder.build(this.replica.items());
    for (const fault of faults) {
      this.options.logger.warn('store-item-refused', { fault });
    }
    if (snapshot !== undefined) {
      this.adopt(snapshot);
    }
  }

  private adopt(snapshot: Snapshot): void {
    const before = this.snapshot?.version.source.number;
    const { number } = snapshot.version.source;
    this.snapshot = snapshot;
    this.machineCount = countMachines(snapshot);
    this.proxy.applyCallerLimits(snapshot.callerLimits);
    if (before !== number) {
      const { revision } = this.replica;
      this.options.logger.info('configuration-in-force', { number, before, revision });
    }
  }
}

function countMachines(snapshot: Snapshot): number {
  const machines = new Set<string>();
  for (const endpoints of snapshot.endpointsByService.values()) {
    for (const { spec } of endpoints) {
      machines.add(spec.machine ?? spec.address);
    }
  }
  return Math.max(1, machines.size);
}

function listen(server: http.Server, { address, port }: SocketAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
