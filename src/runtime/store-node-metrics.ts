/** Gauges of a node that replicates a key-value store. */
import type { Snapshot } from '../model/snapshot.js';
import type { RequestProxy } from '../proxy/request-path.js';
import type { StoreReplica } from '../store/store-replica.js';
import { eraOf, revisionInEra } from '../store/store-revision.js';
import type { Metrics } from './metrics.js';
import type { ReplicaSource } from './replica-source.js';

const MS_PER_SECOND = 1_000;

/** Node state reported by the gauges. */
export interface StoreNodeState {
  readonly replica: StoreReplica;
  readonly source: ReplicaSource;
  readonly proxy: RequestProxy;
  /** Returns the current snapshot; undefined before the first configuration. */
  readonly snapshot: () => Snapshot | undefined;
  readonly machineCount: () => number;
}

type GaugeDefinition = readonly [name: string, help: string, read: () => number];

export function declareStoreNodeMetrics(metrics: Metrics, state: StoreNodeState): void {
  const gauges = [...configurationGauges(state), ...storeGauges(state), ...feedGauges(state)];
  for (const [name, help, read] of gauges) {
    metrics.gauge(`ferryspool_${name}`, help, read);
  }
}

function configurationGauges({ proxy, snapshot, machineCount }: StoreNodeState): GaugeDefinition[] {
  return [
    [
      'configuration_number',
      'Number of the configuration in force, 0 before the first',
      () => snapshot()?.version.source.number ?? 0,
    ],
    ['machines', 'Machines that the endpoints name', machineCount],
    [
      'evacuated_zones',
      'Zones whose endpoints get no new work',
      () => snapshot()?.evacuatedZones.size ?? 0,
    ],
    ['cold_endpoints', 'Endpoints beside this node that are cold', () => proxy.coldEndpointCount()],
    [
      'headroom_slots',
      'Slots of endpoints beside this node that long work leaves free for more urgent work',
      () => proxy.headroomSlotCount(),
    ],
    [
      'leaving_endpoints',
      'Listed endpoints that have said in their answers that they leave',
      () => proxy.leavingEndpointCount(),
    ],
    [
      'limited_endpoints',
      'Listed endpoints that name a rate limit, to the knowledge of this node',
      () => proxy.limitedEndpointCount(),
    ],
    [
      'waiting_requests',
      'Requests of callers of this node that wait for a slot of an endpoint',
      () => proxy.waitingRequestCount(),
    ],
  ];
}

function storeGauges({ replica, source }: StoreNodeState): GaugeDefinition[] {
  return [
    [
      'store_revision',
      'Revision up to which the replica is complete',
      () => revisionInEra(replica.revision),
    ],
    [
      'store_era',
      'Times that the store has come back from a copy, by its own count',
      () => eraOf(replica.revision),
    ],
    [
      'carried_changes',
      'Changes of earlier eras of the store that it has not told anew',
      () => replica.carriedChanges.length,
    ],
    ['store_connected', '1 while the store answers', () => Number(source.isStoreConnected)],
    ['store_reading', '1 while this node reads the store', () => Number(source.isReading)],
  ];
}

function feedGauges({ source }: StoreNodeState): GaugeDefinition[] {
  return [
    [
      'replica_age_seconds',
      'Time since a reader of the store confirmed the replica',
      () => source.ageMs / MS_PER_SECOND,
    ],
    [
      'feed_received_bytes',
      'Bytes that came over feeds, those of messages that were never whole among them',
      () => source.feedBytes,
    ],
    ['feed_followers', 'Nodes that follow the feed of this one', () => source.feed.followerCount],
  ];
}
