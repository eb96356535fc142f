/** What a configuration that grows costs on its way: bytes, and how long each step holds up the event loop. */
import { performance } from 'node:perf_hooks';
import { createRecordReader } from '../../platform/records.js';
import { CONFIGURATION_KEY } from '../../platform/names.js';
import { feedDeltaSince, resolveFeedDelta } from '../../src/peers/feed-delta.js';
import { decodeDelta } from '../../src/peers/feed-message.js';
import { FOLLOWERS_PER_NODE } from '../../src/peers/reader-order.js';
import { encodeDelta } from '../../src/peers/delta-codec.js';
import { SnapshotBuilder } from '../../src/store/snapshot-builder.js';
import { StoreReplica } from '../../src/store/store-replica.js';

const ROUTES_BEFORE = 40;
const RUNS = 9;
const MS_PER_SECOND = 1_000;
const FIRST_REVISION = 1;
const SECOND_REVISION = 2;

/** Figures of one size; times are medians of a whole core, in milliseconds. */
export interface DeliveryFigures {
  readonly routesAdded: number;
  /** JSON text of the delta, and as it is told. */
  readonly plainBytes: number;
  readonly toldBytes: number;
  /** From the replica to what is told, once for all followers. */
  readonly encodeMs: number;
  /** From what is told to the replica of a follower. */
  readonly decodeMs: number;
  /** From the replica to the snapshot: read, checked and indexed in one go. */
  readonly buildMs: number;
}

/** Measures a configuration that grows by so many routes. */
export function deliveryFigures(routesAdded: number): DeliveryFigures {
  const runs = Array.from({ length: RUNS }, () => deliverOnce(routesAdded));
  const medianOf = (read: (run: DeliveryFigures) => number): number => {
    const sorted = runs.map(read).sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  };
  return {
    routesAdded,
    plainBytes: medianOf((run) => run.plainBytes),
    toldBytes: medianOf((run) => run.toldBytes),
    encodeMs: medianOf((run) => run.encodeMs),
    decodeMs: medianOf((run) => run.decodeMs),
    buildMs: medianOf((run) => run.buildMs),
  };
}

/** Time until a node has told as many followers as it is meant to have, in milliseconds, on an idle link. */
export function fanOutMs(toldBytes: number, bytesPerS: number): number {
  return (FOLLOWERS_PER_NODE * toldBytes * MS_PER_SECOND) / bytesPerS;
}

function deliverOnce(routesAdded: number): DeliveryFigures {
  const first = configurationChange(ROUTES_BEFORE, FIRST_REVISION);
  const second = configurationChange(ROUTES_BEFORE + routesAdded, SECOND_REVISION);
  const feeder = replicaWith(first);
  const follower = replicaWith(first);
  feeder.applyChanges([second], SECOND_REVISION);
  const plainBytes = JSON.stringify(feedDeltaSince(feeder, FIRST_REVISION)).length;
  const [told, encodeMs] = timed(() => encodeDelta(feedDeltaSince(feeder, FIRST_REVISION)));
  const [, decodeMs] = timed(() => {
    const delta = decodeDelta(told);
    const resolved = delta && resolveFeedDelta(follower, delta);
    return resolved && follower.applyDelta(resolved);
  });
  const builder = new SnapshotBuilder(
    createRecordReader({ retryBudgetPercent: 20, regionOfZone: () => 'r1' }),
  );
  const [, buildMs] = timed(() => builder.build(follower.items()));
  return { routesAdded, plainBytes, toldBytes: told.length, encodeMs, decodeMs, buildMs };
}

function timed<Result>(run: () => Result): [result: Result, tookMs: number] {
  const beganMs = performance.now();
  const result = run();
  return [result, performance.now() - beganMs];
}

function replicaWith(change: ReturnType<typeof configurationChange>): StoreReplica {
  const replica = new StoreReplica();
  replica.applyChanges([change], change.revision);
  return replica;
}

/** A configuration as the platform writes it, of names that do not repeat themselves. */
function configurationChange(routes: number, revision: number) {
  const paths = Array.from({ length: routes }, (_, idx) => ({
    name: `r-${nameOf(idx)}`,
    pathPrefix: `/${nameOf(idx + routes)}/`,
    kind: 'safe',
    timeoutS: 4.025,
    targetLatencyS: 0.619,
    priority: 1,
    service: 'tiles',
    maxAttempts: 3,
  }));
  const value = JSON.stringify({
    version: revision.toString(16).padStart(8, '0'),
    services: [{ name: 'tiles' }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutS: 3, idleTimeoutS: 15 },
    virtualHosts: [{ hostname: 'h.example', paths }],
  });
  return { key: CONFIGURATION_KEY, revision, value };
}

/** Knuth's multiplicative hash: names in no order. */
function nameOf(idx: number): string {
  return ((idx * 2_654_435_761) % 2 ** 32).toString(36);
}
