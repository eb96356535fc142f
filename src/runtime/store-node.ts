/**
 * A node that follows a key-value store: request path, replica of the store, readiness and metrics.
 * The store lists every endpoint with its machine, so the node needs no machine list of its own, and
 * nothing of the control plane runs here; see `docs/PLATFORM.md`.
 */
import type http from 'node:http';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { PERIODIC_CHECKS } from '../clock/shared-interval.js';
import { Containment } from '../containment/containment.js';
import { PeerExchange } from '../peers/peer-exchange.js';
import { DeltaCache } from '../peers/delta-codec.js';
import type { AwaitedPeer } from '../peers/peer-monitor.js';
import type { CallerProtocol } from '../proxy/caller-protocol.js';
import type { EndpointProtocol } from '../proxy/endpoint-protocol.js';
import type { RequestProxy } from '../proxy/request-path.js';
import { createRequestProxy } from '../proxy/request-proxy.js';
import { evacuationChanges } from '../model/evacuation.js';
import type { Snapshot } from '../model/snapshot.js';
import { hasSameEndpoints, hasSameEntries, machinesOf } from '../model/machine-zones.js';
import type { RecordReader } from '../store/configuration-record.js';
import { MISSING_ENDPOINT_RETENTION_MS, REWRITE_PERIOD_MS } from '../store/carried-changes.js';
import type { KeyValueStore, StoreChange } from '../store/key-value-store.js';
import { REFUSED_ITEMS_COUNTER, RefusedItemReporter } from '../store/refused-items.js';
import { eraOf, revisionInEra } from '../store/store-revision.js';
import { SnapshotBuilder } from '../store/snapshot-builder.js';
import { StoreReplica } from '../store/store-replica.js';
import { declareContainmentMetrics } from './containment-metrics.js';
import { LifeCycle } from './life-cycle.js';
import type { Logger } from './logger.js';
import { FROM_STORE, ReplicaSource, type ChangeOrigin } from './replica-source.js';
import { Metrics } from './metrics.js';
import { createInternalServer } from './internal-server.js';
import { createReadinessServer } from './readiness-server.js';
import { RequestLogger } from './request-logger.js';
import { storeNodeLimits } from './store-node-limits.js';
import { declareStoreNodeMetrics } from './store-node-metrics.js';
import type { SocketAddress, StoreNodeSettings } from './store-node-settings.js';

const MS_PER_SECOND = 1_000;
/** Peers and monitoring read on this port after the first internal one, which takes datagrams. */
const INTERNAL_SERVER_PORT_OFFSET = 1;

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
  private readonly replica: StoreReplica;
  private readonly deltas: DeltaCache;
  private readonly containment: Containment;
  private readonly builder: SnapshotBuilder;
  private readonly refusals: RefusedItemReporter;
  private readonly source: ReplicaSource;
  private readonly proxy: RequestProxy;
  private readonly readiness: http.Server;
  private readonly internalServer: http.Server;
  private readonly peers: PeerExchange;
  private snapshot: Snapshot | undefined;
  /** Store era at the latest snapshot build; undefined before the first build. */
  private era: number | undefined;
  private machineCount = 1;
  /** The zone of each machine, as peers and sources know them. */
  private zones: ReadonlyMap<string, string> = new Map();
  private isStopping = false;
  private stopped: Promise<void> | undefined;
  /** What goes on while a planned stop drains the request path. */
  private readonly services: LifeCycle;

  constructor(private readonly options: StoreNodeOptions) {
    this.services = new LifeCycle((name, err) => {
      options.logger.warn('close-failed', { name, reason: String(err) });
    });
    this.replica = new StoreReplica((change) => this.missingItemRetentionMs(change));
    this.deltas = new DeltaCache(this.replica);
    this.builder = new SnapshotBuilder(options.readRecord);
    this.refusals = this.createRefusals();
    this.containment = this.createContainment();
    this.source = this.services.own('store', this.createSource(), (one) => one.close());
    this.proxy = this.createProxy();
    const readiness = createReadinessServer(() => this.isReady);
    this.readiness = this.services.own('readiness', readiness, closeServer);
    const internalServer = createInternalServer({
      metrics: this.metrics,
      deltas: this.deltas,
      feed: this.source.feed,
      suspicions: this.containment,
    });
    this.internalServer = this.services.own('internal server', internalServer, closeServer);
    this.peers = this.services.own('peers', this.createPeers(), (one) => one.close());
    declareContainmentMetrics(this.metrics, this.containment);
    declareStoreNodeMetrics(this.metrics, {
      replica: this.replica,
      source: this.source,
      proxy: this.proxy,
      snapshot: () => this.snapshot,
      machineCount: () => this.machineCount,
    });
  }

  /** Opens the listeners and begins to follow the store; rejects when a listener can't be opened. */
  async open(): Promise<void> {
    const { caller, relay, readiness, machine } = this.options.settings;
    this.source.start();
    await listen(this.proxy.relayServer, relay);
    await listen(this.proxy.callerServer, caller);
    await listen(this.readiness, readiness);
    await listen(this.internalServer, { address: machine.address, port: this.internalPort });
    await this.peers.open();
    this.services.own(
      'looks',
      PERIODIC_CHECKS.add(() => this.look()),
      (end) => end(),
    );
  }

  /** Planned stop: says that it is not ready, goes on serving, and finishes what is in flight. */
  stop(): Promise<void> {
    this.stopped ??= this.stopInOrder();
    return this.stopped;
  }

  /** Stop at once: connections are cut. */
  abort(): void {
    this.isStopping = true;
    this.proxy.abort();
    void this.services.close();
  }

  private look(): void {
    this.source.tick();
    this.expireCarried();
    this.peers.tick();
    this.containment.tick();
  }

  private get isReady(): boolean {
    return this.snapshot !== undefined && !this.isStopping;
  }

  private async stopInOrder(): Promise<void> {
    this.isStopping = true;
    await this.proxy.stop();
    await this.services.close();
  }

  private get internalPort(): number {
    return this.options.settings.internalPorts.first + INTERNAL_SERVER_PORT_OFFSET;
  }

  private createContainment(): Containment {
    const { settings, callerProtocol, logger } = this.options;
    return new Containment({
      nodeName: nameOfLife(settings.machine.address),
      callerHeader: callerProtocol.callerHeader,
      nowMs: () => MACHINE_CLOCK.now(),
      counters: this.metrics,
      logStateChange: (what, detail) => logger.warn(what, { detail }),
    });
  }

  private createRefusals(): RefusedItemReporter {
    this.metrics.declareCounter(REFUSED_ITEMS_COUNTER, 'Items of the store that are not valid');
    const { logger } = this.options;
    return new RefusedItemReporter({
      counters: this.metrics,
      log: (line) => logger.warn('store-item-refused', { ...line }),
    });
  }

  private createPeers(): PeerExchange {
    const { settings, logger } = this.options;
    return new PeerExchange({
      address: settings.machine.address,
      datagramPort: settings.internalPorts.first,
      changesPort: this.internalPort,
      replica: this.replica,
      containment: this.containment,
      random: Math.random,
      ageMs: () => this.source.ageMs,
      onAge: (peer, ageMs) => this.source.peerHeard(peer, ageMs),
      awaited: () => this.awaitedPeers(),
      onDeltaApplied: (from) => {
        logger.info('changes-from-peer', { from, ...this.revisionFields });
        this.source.feed.publish();
        this.takeLearned(true, { path: 'fetch', peer: from });
      },
      onUnresponsive: (peer, isSilent) => this.takeSilence(peer, isSilent),
    });
  }

  private *awaitedPeers(): IterableIterator<AwaitedPeer> {
    for (const { machineId, sinceMs } of this.proxy.awaitedMachines()) {
      yield { peer: machineId, sinceMs };
    }
  }

  private takeSilence(peer: string, isSilent: boolean): void {
    this.options.logger.info(isSilent ? 'peer-silent' : 'peer-heard-again', { peer });
    if (isSilent) {
      this.proxy.machineUnresponsive(peer);
    }
  }

  private createSource(): ReplicaSource {
    const { settings, store, logger } = this.options;
    const { address, zone } = settings.machine;
    return new ReplicaSource({
      machine: { address, zone },
      feedPort: this.internalPort,
      store,
      replica: this.replica,
      deltas: this.deltas,
      random: Math.random,
      logger,
      counters: this.metrics,
      onLearned: (hasChanged, origin) => this.takeLearned(hasChanged, origin),
      onRefused: (items) => this.refusals.report(items),
    });
  }

  private createProxy(): RequestProxy {
    const { settings, callerProtocol, endpointProtocol, logger } = this.options;
    const { machine, relay } = settings;
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
        status: (address) => (this.peers.isUnresponsive(address) ? 'leaving' : 'unknown'),
        relayAddress: (address) => ({ address, port: relay.port }),
        count: () => this.machineCount,
        recordResponse: (address) => this.peers.recordReceived(address),
      },
      counters: this.metrics,
      containment: this.containment,
      random: Math.random,
      limits: storeNodeLimits(settings),
      callerProtocol,
      endpointProtocol,
      logStateChange: (what, detail) => logger.info(what, { detail }),
      requestLog: new RequestLogger(logger),
      onRequestMs: this.timer('request', 'Time from the arrival of a request to its end'),
      onEndpointMs: this.timer('endpoint', 'Time that the endpoint here took for a whole answer'),
      onBodyMs: this.timer(
        'relay_body',
        'Time from the head of a relayed request to its whole body',
      ),
      onFailureMs: this.timer(
        'failure',
        'Time for which requests were held that were told an error',
      ),
      onTravelLostMs: this.timer(
        'relay_travel',
        'Time that relayed requests lost on their way here',
      ),
      onRelayConnectMs: this.timer('relay_connect', 'Time that connections to peers took'),
      onEventLoopLagMs: this.timer('event_loop_delay', 'How late the event loop ran a timer'),
    });
  }

  /** Takes durations in milliseconds into a histogram. */
  private timer(what: string, help: string): (ms: number) => void {
    const histogram = this.metrics.histogram(`ferryspool_${what}_seconds`, help);
    return (ms) => histogram.observe(ms / MS_PER_SECOND);
  }

  private takeLearned(hasChanged: boolean, origin: ChangeOrigin): void {
    if (!hasChanged && this.snapshot !== undefined) {
      return;
    }
    const { replica } = this;
    this.logEraChange(origin);
    const { snapshot, refused } = this.builder.build(replica.items(), replica.carriedChanges);
    this.refusals.report(refused);
    if (snapshot !== undefined) {
      this.adopt(snapshot, origin);
    }
  }

  /** Log fields with the era and revision of the replica. */
  private get revisionFields(): { readonly era: number; readonly revision: number } {
    const { revision } = this.replica;
    return { era: eraOf(revision), revision: revisionInEra(revision) };
  }

  private logEraChange(origin: ChangeOrigin): void {
    const before = this.era;
    this.era = eraOf(this.replica.revision);
    if (before !== undefined && before !== this.era) {
      const carried = this.replica.carriedChanges.length;
      this.options.logger.warn('store-era-began', {
        ...this.revisionFields,
        before,
        carried,
        ...origin,
      });
    }
  }

  private expireCarried(): void {
    if (this.replica.expireCarried(MACHINE_CLOCK.now())) {
      this.takeLearned(true, FROM_STORE);
    }
  }

  private missingItemRetentionMs({ key, value = '' }: StoreChange): number {
    const { kind } = this.options.readRecord(key, value);
    return kind === 'endpoint' ? MISSING_ENDPOINT_RETENTION_MS : REWRITE_PERIOD_MS;
  }

  /** Most changes of endpoints are of their state: the machines stay, and with them all orders of them. */
  private adoptMachines(zones: ReadonlyMap<string, string>): void {
    if (hasSameEntries(zones, this.zones)) {
      return;
    }
    this.zones = zones;
    this.machineCount = Math.max(1, zones.size);
    this.peers.setMachines(zones.keys());
    this.source.setMachines([...zones].map(([address, zone]) => ({ address, zone })));
  }

  private adopt(snapshot: Snapshot, origin: ChangeOrigin): void {
    const held = this.snapshot;
    const before = held?.version.source.number;
    const { number } = snapshot.version.source;
    this.snapshot = snapshot;
    if (!hasSameEndpoints(snapshot, held)) {
      this.adoptMachines(machinesOf(snapshot));
      this.proxy.applyEndpoints();
    }
    const evacuatedBefore = held?.evacuatedZones ?? new Set<string>();
    const behindMs = Math.round(this.peers.behindMs);
    for (const { kind, zone } of evacuationChanges(snapshot.evacuatedZones, evacuatedBefore)) {
      this.options.logger.info(kind, { zone, ...this.revisionFields, ...origin, behindMs });
    }
    this.proxy.applyCallerLimits(snapshot.callerLimits);
    if (before !== number) {
      this.options.logger.info('configuration-in-force', {
        number,
        before,
        ...this.revisionFields,
        ...origin,
        behindMs,
      });
    }
  }
}

/** A name that no other node has, nor this one after a start, without loading cryptography. */
function nameOfLife(address: string): string {
  return `${address} ${Date.now()} ${Math.random()}`;
}

function closeServer(server: http.Server): void {
  server.close();
  server.closeAllConnections();
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
