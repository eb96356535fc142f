/** What single decisions of a node cost, in this process: snapshots and choices of an endpoint. */
import { performance } from 'node:perf_hooks';
import type { Endpoint, Resource } from '../../src/model/resource.js';
import { EndpointSelector } from '../../src/routing/endpoint-selector.js';
import type { StoreRecord } from '../../src/store/configuration-record.js';
import type { StoreChange } from '../../src/store/key-value-store.js';
import { SnapshotBuilder } from '../../src/store/snapshot-builder.js';
import { StoreReplica } from '../../src/store/store-replica.js';
import { seededRandom } from '../emulator/seeded-random.js';
import type { FleetSize } from './bench-fleet.js';

const US_PER_MS = 1_000;
const WARM_UP_RUNS = 200;
const RUNS = 1_000;
const CONFIGURATION_KEY = 'configuration';
const SLOTS = 8;

/** Microseconds a run, after a warm-up. */
function timeUs(run: (idx: number) => void): number {
  for (let idx = 0; idx < WARM_UP_RUNS; idx += 1) {
    run(idx);
  }
  const beganMs = performance.now();
  for (let idx = WARM_UP_RUNS; idx < WARM_UP_RUNS + RUNS; idx += 1) {
    run(idx);
  }
  return ((performance.now() - beganMs) * US_PER_MS) / RUNS;
}

/** A change of one endpoint, from its arrival to the snapshot. */
export function endpointChangeUs(size: FleetSize): number {
  const { replica, builder } = filled(size);
  return timeUs((idx) => {
    const revision = replica.revision + 1;
    const key = `endpoint ${idx % size.endpoints}`;
    replica.applyChanges([{ key, revision, value: `${revision}` }], revision);
    builder.build(replica.items());
  });
}

/** A new configuration that has been read, from its arrival to the snapshot. */
export function configurationUs(size: FleetSize): number {
  const { replica, builder } = filled(size);
  return timeUs(() => {
    const revision = replica.revision + 1;
    replica.applyChanges([configurationChange(revision)], revision);
    builder.build(replica.items());
  });
}

/** A choice among the endpoints of one service. */
export function choiceUs({ endpoints }: FleetSize): number {
  const selector = new EndpointSelector(seededRandom(1));
  const list = Array.from({ length: endpoints }, (_, idx) => endpointOf(idx));
  const context = {
    zone: 'z0',
    region: 'r1',
    machineId: 'none',
    work: { workClass: 'r0', targetLatencyMs: 500 },
    tried: new Set<string>(),
    repeatable: true,
    mayReceive: () => true,
  };
  return timeUs((idx) => {
    const endpoint = selector.choose(list, context, idx);
    if (endpoint !== undefined) {
      selector.attemptStarted(endpoint, idx);
      selector.latencyMeasured(endpoint, 'r0', 100, idx);
      selector.attemptEnded(endpoint, 'answered', list, idx);
    }
  });
}

function filled(size: FleetSize): { replica: StoreReplica; builder: SnapshotBuilder } {
  const replica = new StoreReplica();
  const builder = new SnapshotBuilder((key, value) => recordOf(key, value, size));
  const changes = Array.from({ length: size.endpoints }, (_, idx) => ({
    key: `endpoint ${idx}`,
    revision: idx + 1,
    value: '0',
  }));
  const revision = size.endpoints + 1;
  replica.applyList([...changes, configurationChange(revision)], revision);
  builder.build(replica.items());
  return { replica, builder };
}

function configurationChange(revision: number): StoreChange {
  return { key: CONFIGURATION_KEY, revision, value: `${revision}` };
}

function recordOf(key: string, value: string, { routes }: FleetSize): StoreRecord {
  if (key !== CONFIGURATION_KEY) {
    return { kind: 'endpoint', endpoint: endpointOf(Number(key.split(' ')[1])) };
  }
  return {
    kind: 'configuration',
    number: Number(value),
    resources: [
      { kind: 'service', name: 'a', spec: { requestTimeoutMs: 2_000, retryBudgetPercent: 20 } },
      ...Array.from({ length: routes }, (_, idx) => routeOf(idx)),
    ],
    callerLimits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

function routeOf(idx: number): Resource {
  return {
    kind: 'route',
    name: `r${idx}`,
    spec: { hosts: ['bench.example'], methods: [], pathPrefix: `/r${idx}/`, service: 'a' },
  };
}

function endpointOf(idx: number): Endpoint {
  return {
    kind: 'endpoint',
    name: `e${idx}`,
    spec: {
      service: 'a',
      address: `10.0.${idx >> 8}.${idx % 256}`,
      port: 80,
      zone: `z${idx % 6}`,
      region: 'r1',
      machine: `10.0.${idx >> 8}.${idx % 256}`,
      slots: SLOTS,
      maxConnections: 130,
      state: 'active',
    },
  };
}
