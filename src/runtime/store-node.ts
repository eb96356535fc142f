/**
 * A node that replicates a key-value store: request path, replica of the store, readiness and metrics.
 * The store lists every endpoint with its machine, so the node needs no separate machine list and does
 * not run the control plane; see `docs/PLATFORM.md`.
 */
import type http from 'node:http';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { PROCESSOR_TIME } from '../clock/processor-time.js';
import { PERIODIC_CHECKS } from '../clock/shared-interval.js';
import { Containment } from '../containment/containment.js';
import { HandoverExchange } from '../peers/handover-exchange.js';
import { encodeHandover } from '../peers/handover-message.js';
import { PeerExchange } from '../peers/peer-exchange.js';
import { DeltaCache } from '../peers/delta-codec.js';
import type { AwaitedPeer } from '../peers/peer-monitor.js';
import type { CallerProtocol } from '../proxy/caller-protocol.js';
import type { EndpointProtocol } from '../proxy/endpoint-protocol.js';
import { LateAnswers } from '../proxy/late-answers.js';
import type { RequestProxy } from '../proxy/request-path.js';
import { createRequestProxy } from '../proxy/request-proxy.js';
import { evacuationChanges } from '../model/evacuation.js';
import type { Snapshot } from '../model/snapshot.js';
import { hasSameEndpoints, hasSameEntries, machinesOf } from '../model/machine-zones.js';
import type { RecordReader } from '../store/configuration-record.js';
import { createCarryPolicy } from '../store/carry-policy.js';
import type { KeyValueStore } from '../store/key-value-store.js';
import {
  LIMITED_VALUES_COUNTER,
  REFUSED_ITEMS_COUNTER,
  RefusedItemReporter,
} from '../store/refused-items.js';
import { eraOf, revisionInEra } from '../store/store-revision.js';
import { SnapshotBuilder } from '../store/snapshot-builder.js';
import { StoreReplica } from '../store/store-replica.js';
import { declareContainmentMetrics } from './containment-metrics.js';
import { LifeCycle } from './life-cycle.js';
import type { Logger } from './logger.js';
import { FROM_STORE, ReplicaSource, type ChangeOrigin } from './replica-source.js';
import { declareLateAnswerMetrics } from './late-answer-metrics.js';
import { Metrics } from './metrics.js';
import { declareProcessorTimeMetrics } from './processor-time-metrics.js';
import { createInternalServer } from './internal-server.js';
import { createReadinessServer } from './readiness-server.js';
import { RequestLogger } from './request-logger.js';
import { storeNodeLimits } from './store-node-limits.js';
import { declareStoreNodeMetrics } from './store-node-metrics.js';
import type { SocketAddress, StoreNodeSettings } from './store-node-settings.js';

const MS_PER_SECOND = 1_000;
/** Offset of the HTTP port for peers and monitoring from the first internal port, which receives datagrams. */
const INTERNAL_SERVER_PORT_OFFSET = 1;
/** Time after which a started node uses a replica that no reader has confirmed, or no peer added to, in milliseconds. */
const MAX_UNCONFIRMED_WAIT_MS = 3_000;

/** Settings and dependencies of a node. */
export interface StoreNodeOptions {
  readonly settings: StoreNodeSettings;
  readonly store: KeyValueStore;
  readonly readRecord: RecordReader;
  readonly callerProtocol: CallerProtocol;
  readonly endpointProtocol: EndpointProtocol;
  readonly logger: Logger;
}

export class StoreNode {
  private readonly metrics = new Metrics();
  private readonly lateAnswers = new LateAnswers();
  private readonly replica: StoreReplica;
  private readonly deltas: DeltaCache;
  private readonly containment: Containment;
  private readonly builder: SnapshotBuilder;
  private readonly refusalReporter: RefusedItemReporter;
  private readonly limitReporter: RefusedItemReporter;
  private readonly source: ReplicaSource;
  private readonly proxy: RequestProxy;
  private readonly readiness: http.Server;
  private readonly internalServer: http.Server;
  private readonly peers: PeerExchange;
  private readonly handover: HandoverExchange;
  private snapshot: Snapshot | undefined;
  /** When the replica first held a configuration; undefined before. */
  private unconfirmedSinceMs: number | undefined;
  /** Store era at the latest snapshot build; undefined before the first build. */
  private era: number | undefined;
  private machineCount = 1;
  /** The zone of each machine, as last passed to the peer exchange and the replica source. */
  private zones: ReadonlyMap<string, string> = new Map();
  private isStopping = false;
  private stopped: Promise<void> | undefined;
  /** Resources that stay open while a planned stop drains the request path. */
  private readonly services: LifeCycle;

  constructor(private readonly options: StoreNodeOptions) {
    this.services = new LifeCycle((name, err) => {
      options.logger.warn('close-failed', { name, reason: String(err) });
    });
    this.replica = new StoreReplica(createCarryPolicy(options.readRecord));
    this.deltas = new DeltaCache(this.replica);
    this.builder = new SnapshotBuilder(options.readRecord);
    this.refusalReporter = this.createRefusalReporter();
    this.limitReporter = this.createLimitReporter();
    this.containment = this.createContainment();
    this.source = this.services.own('store', this.createSource(), (source) => source.close());
    this.proxy = this.createProxy();
    const readiness = createReadinessServer(() => this.isReady);
    this.readiness = this.services.own('readiness', readiness, closeServer);
    const internalServer = createInternalServer({
      metrics: this.metrics,
      deltas: this.deltas,
      feed: this.source.feed,
      suspicions: this.containment,
      handover: () => this.encodedHandover,
    });
    this.internalServer = this.services.own('internal server', internalServer, closeServer);
    this.peers = this.services.own('peers', this.createPeers(), (peers) => peers.close());
    this.handover = this.services.own('handover', this.createHandover(), (one) => one.close());
    declareContainmentMetrics(this.metrics, this.containment);
    declareLateAnswerMetrics(this.metrics, this.lateAnswers);
    declareProcessorTimeMetrics(this.metrics, PROCESSOR_TIME);
    declareStoreNodeMetrics(this.metrics, {
      replica: this.replica,
      source: this.source,
      proxy: this.proxy,
      snapshot: () => this.snapshot,
      machineCount: () => this.machineCount,
    });
  }

  /** Opens the listeners and starts replicating the store; rejects if a listener cannot be opened. */
  async open(): Promise<void> {
    const { caller, relay, readiness, machine } = this.options.settings;
    this.source.start();
    await listen(this.proxy.relayServer, relay);
    await listen(this.proxy.callerServer, caller);
    await listen(this.readiness, readiness);
    await listen(this.internalServer, { address: machine.address, port: this.internalPort });
    await this.peers.open();
    PROCESSOR_TIME.workEnded('start');
    this.services.own(
      'looks',
      PERIODIC_CHECKS.add(() => this.runPeriodicChecks()),
      (end) => end(),
    );
  }

  /** Planned stop: reports not ready, keeps serving, and completes in-flight requests. */
  stop(): Promise<void> {
    this.stopped ??= this.stopInOrder();
    return this.stopped;
  }

  /** Stops immediately and closes all connections. */
  abort(): void {
    this.isStopping = true;
    this.proxy.abort();
    void this.services.close();
  }

  private runPeriodicChecks(): void {
    this.source.tick();
    this.useIncompleteReplica();
    this.expireCarried();
    this.handover.tick();
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
      nodeName: uniqueInstanceName(settings.machine.address),
      callerHeader: callerProtocol.callerHeader,
      nowMs: () => MACHINE_CLOCK.now(),
      counters: this.metrics,
      logStateChange: (event, detail) => logger.warn(event, { detail }),
    });
  }

  private createRefusalReporter(): RefusedItemReporter {
    this.metrics.declareCounter(REFUSED_ITEMS_COUNTER, 'Items of the store that are not valid');
    const { logger } = this.options;
    return new RefusedItemReporter(REFUSED_ITEMS_COUNTER, {
      counters: this.metrics,
      log: (line) => logger.warn('store-item-refused', { ...line }),
    });
  }

  private createLimitReporter(): RefusedItemReporter {
    this.metrics.declareCounter(
      LIMITED_VALUES_COUNTER,
      'Values of the store that were cut to what a node can do',
    );
    const { logger } = this.options;
    return new RefusedItemReporter(LIMITED_VALUES_COUNTER, {
      counters: this.metrics,
      log: (line) => logger.warn('store-value-limited', { ...line }),
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
      onAge: (peer, ageMs) => this.source.peerAgeReported(peer, ageMs),
      awaited: () => this.awaitedPeers(),
      onDeltaApplied: (from) => {
        logger.info('changes-from-peer', { from, ...this.revisionFields });
        this.source.stateFetched();
        this.handleReplicaUpdate(true, { path: 'fetch', peer: from });
      },
      onUnresponsive: (peer, isSilent) => this.handlePeerSilence(peer, isSilent),
    });
  }

  private createHandover(): HandoverExchange {
    const { logger } = this.options;
    return new HandoverExchange({
      replica: this.replica,
      port: this.internalPort,
      random: Math.random,
      counters: this.metrics,
      peers: () => this.otherMachines(),
      onAnswer: (peer, hasChanged) => {
        const carried = this.replica.carriedChanges.length;
        logger.info('handover-received', { peer, carried, hasChanged, ...this.revisionFields });
        this.handleReplicaUpdate(hasChanged, { path: 'handover', peer });
      },
      onNobodyKnows: () => this.handleReplicaUpdate(false, FROM_STORE),
    });
  }

  private otherMachines(): string[] {
    const { address } = this.options.settings.machine;
    return [...this.zones.keys()].filter((machine) => machine !== address);
  }

  /** Undefined while this node waits itself for what its peers carry. */
  private get encodedHandover(): string | undefined {
    const handover = this.replica.handover(MACHINE_CLOCK.now());
    return this.snapshot === undefined ? undefined : encodeHandover(handover);
  }

  private *awaitedPeers(): IterableIterator<AwaitedPeer> {
    for (const { machineId, sinceMs } of this.proxy.awaitedMachines()) {
      yield { peer: machineId, sinceMs };
    }
  }

  private handlePeerSilence(peer: string, isUnresponsive: boolean): void {
    this.options.logger.info(isUnresponsive ? 'peer-silent' : 'peer-heard-again', { peer });
    if (isUnresponsive) {
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
      onUpdate: (hasChanged, origin) => this.handleReplicaUpdate(hasChanged, origin),
      onRefused: (items) => this.refusalReporter.report(items),
      onPing: (peers) => this.peers.pingPeers(peers),
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
        machineIds: () => this.zones.keys(),
        recordResponse: (address) => this.peers.recordReceived(address),
      },
      counters: this.metrics,
      containment: this.containment,
      random: Math.random,
      limits: storeNodeLimits(settings),
      callerProtocol,
      endpointProtocol,
      logStateChange: (event, detail) => logger.info(event, { detail }),
      requestLog: new RequestLogger(logger),
      onLateAnswer: (service, times) => this.lateAnswers.record(service, times),
      onRequestMs: this.durationObserver(
        'request',
        'Time from the arrival of a request to its end',
      ),
      onEndpointMs: this.durationObserver(
        'endpoint',
        'Time that the endpoint here took for a whole answer',
      ),
      onSendDelayMs: this.durationObserver(
        'endpoint_send_delay',
        'Time for which dispatched requests were held before they were written to the endpoint',
      ),
      onBodyMs: this.durationObserver(
        'relay_body',
        'Time from the head of a relayed request to its whole body',
      ),
      onFailureMs: this.durationObserver(
        'failure',
        'Time for which requests were held that were told an error',
      ),
      onTravelLostMs: this.durationObserver(
        'relay_travel',
        'Time that relayed requests lost on their way here',
      ),
      onRelayConnectMs: this.durationObserver(
        'relay_connect',
        'Time that connections to peers took',
      ),
      onEventLoopLagMs: this.durationObserver(
        'event_loop_delay',
        'How late the event loop ran a timer',
      ),
    });
  }

  /** Creates a histogram and returns a function that records a duration in milliseconds. */
  private durationObserver(name: string, help: string): (ms: number) => void {
    const histogram = this.metrics.histogram(`ferryspool_${name}_seconds`, help);
    return (ms) => histogram.observe(ms / MS_PER_SECOND);
  }

  private handleReplicaUpdate(hasChanged: boolean, origin: ChangeOrigin): void {
    this.applyReplicaUpdate(hasChanged, origin);
    PROCESSOR_TIME.workEnded('configuration');
  }

  private applyReplicaUpdate(hasChanged: boolean, origin: ChangeOrigin): void {
    if (!hasChanged && this.snapshot !== undefined) {
      return;
    }
    const { replica } = this;
    this.logEraChange(origin);
    const { snapshot, refused, limited } = this.builder.build(
      replica.items(),
      replica.carriedChanges,
    );
    this.refusalReporter.report(refused);
    this.limitReporter.report(limited);
    if (snapshot === undefined) {
      return;
    }
    this.unconfirmedSinceMs ??= MACHINE_CLOCK.now();
    if (this.snapshot === undefined) {
      this.adoptMachines(machinesOf(snapshot));
      this.handover.tick();
    }
    if (this.snapshot !== undefined || this.isComplete || this.hasWaitedForPeers) {
      this.adopt(snapshot, origin);
    }
  }

  /** Whether a reader has confirmed the replica, and peers have handed over what the store may lack. */
  private get isComplete(): boolean {
    return this.source.isConfirmed && this.handover.isSettled;
  }

  /**
   * The first answer of the store may be seconds old, or of a restored store, so a node that has just started waits until
   * its replica is complete, but not for ever: the store may refuse current reads, and peers may be unreachable.
   */
  private useIncompleteReplica(): void {
    if (this.snapshot === undefined && this.hasWaitedForPeers) {
      const { isConfirmed } = this.source;
      const isHandedOver = this.handover.isSettled;
      this.options.logger.warn('unconfirmed-replica-used', {
        ...this.revisionFields,
        isConfirmed,
        isHandedOver,
      });
      this.handleReplicaUpdate(true, FROM_STORE);
    }
  }

  private get hasWaitedForPeers(): boolean {
    const sinceMs = this.unconfirmedSinceMs ?? Infinity;
    return MACHINE_CLOCK.now() - sinceMs >= MAX_UNCONFIRMED_WAIT_MS;
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
      this.handleReplicaUpdate(true, FROM_STORE);
    }
  }

  /** Most endpoint changes affect only their state; the machines and every order derived from them are kept. */
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
    const previous = this.snapshot;
    const before = previous?.version.source.number;
    const { number } = snapshot.version.source;
    this.snapshot = snapshot;
    if (!hasSameEndpoints(snapshot, previous)) {
      this.adoptMachines(machinesOf(snapshot));
      this.proxy.applyEndpoints();
    }
    const previousZones = previous?.evacuatedZones ?? new Set<string>();
    const behindMs = Math.round(this.peers.behindMs);
    for (const { kind, zone } of evacuationChanges(snapshot.evacuatedZones, previousZones)) {
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

/** A name that differs from those of other nodes and of restarts of this node, without loading cryptography. */
function uniqueInstanceName(address: string): string {
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
