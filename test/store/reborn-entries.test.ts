/**
 * Model test of back-end entries that are written, expire and are written again under the same names, while several
 * nodes read them: through complete lists that may be outdated, watches, feeds and fetches from peers that may lag,
 * and after restarts with empty state. In any order, an incarnation that a node has seen replaced or removed at some
 * revision must never reappear there with an older revision.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { feedDeltaSince, resolveFeedDelta } from '../../src/peers/feed-delta.js';
import type { StoreRecord } from '../../src/store/configuration-record.js';
import type { StoreChange } from '../../src/store/key-value-store.js';
import { SnapshotBuilder } from '../../src/store/snapshot-builder.js';
import { StoreReplica } from '../../src/store/store-replica.js';
import { echoEndpoint, echoService } from '../proxy/rig.js';

const SEED = 20_261_203;
const NODES = 3;
const CONFIGURATION_KEY = 'configuration';

type Step =
  /** The back end with this name starts, or restarts if its entry exists. */
  | { readonly type: 'birth'; readonly name: string; readonly port: number }
  /** The entry is removed; a renewal may write it again without a start of the back end. */
  | { readonly type: 'lapse'; readonly name: string }
  | { readonly type: 'renewal'; readonly name: string }
  /** A node lists the content of the store as of `lag` revisions ago. */
  | { readonly type: 'list'; readonly node: number; readonly lag: number }
  | { readonly type: 'watch'; readonly node: number }
  /** A node receives a delta from a peer; `late-feed` delivers the last delta again. */
  | { readonly type: 'feed'; readonly from: number; readonly to: number }
  | { readonly type: 'late-feed'; readonly to: number }
  | { readonly type: 'restart'; readonly node: number };

interface Entry {
  readonly name: string;
  readonly port: number;
  readonly bornAtMs: number;
}

/** Model of the store with its complete history. */
class Store {
  revision = 1;
  readonly history: StoreChange[] = [
    { key: CONFIGURATION_KEY, revision: 1, value: CONFIGURATION_KEY },
  ];
  private readonly lastEntries = new Map<string, Entry>();

  startEndpoint(name: string, port: number): void {
    this.write({ name, port, bornAtMs: this.revision + 1 });
  }

  renew(name: string): void {
    const entry = this.lastEntries.get(name);
    if (entry !== undefined) {
      this.write(entry);
    }
  }

  expire(name: string): void {
    if (this.stateAt(this.revision).has(name)) {
      this.revision += 1;
      this.history.push({ key: name, revision: this.revision, value: undefined });
    }
  }

  /** The items that existed at `revision`. */
  stateAt(revision: number): Map<string, StoreChange> {
    const state = new Map<string, StoreChange>();
    for (const change of this.history.filter((one) => one.revision <= revision)) {
      if (change.value === undefined) {
        state.delete(change.key);
      } else {
        state.set(change.key, change);
      }
    }
    return state;
  }

  private write(entry: Entry): void {
    this.revision += 1;
    this.lastEntries.set(entry.name, entry);
    const value = JSON.stringify(entry);
    this.history.push({ key: entry.name, revision: this.revision, value });
  }
}

/** A node with its replica, its snapshot builder, and the revision that it has watched up to. */
class Reader {
  private replica = new StoreReplica();
  private builder = new SnapshotBuilder(readRecord);
  private watchedRevision = 0;

  constructor(private readonly store: Store) {}

  list(lag: number): void {
    const revision = Math.max(1, this.store.revision - lag);
    this.replica.applyList([...this.store.stateAt(revision).values()], revision);
    this.watchedRevision = revision;
  }

  watch(): void {
    if (this.watchedRevision === 0) {
      return;
    }
    const { history, revision } = this.store;
    const changes = history.filter((one) => one.revision > this.watchedRevision);
    this.replica.applyChanges(changes, revision);
    this.watchedRevision = revision;
  }

  /** The delta that the node sends to a peer at `sinceRevision`. */
  deltaFor(sinceRevision: number): ReturnType<typeof feedDeltaSince> {
    return feedDeltaSince(this.replica, sinceRevision);
  }

  receive(delta: ReturnType<typeof feedDeltaSince>): void {
    const resolved = resolveFeedDelta(this.replica, delta);
    if (resolved !== undefined) {
      this.replica.applyDelta(resolved);
    }
  }

  restart(): void {
    this.replica = new StoreReplica();
    this.builder = new SnapshotBuilder(readRecord);
    this.watchedRevision = 0;
  }

  get revision(): number {
    return this.replica.revision;
  }

  /** The endpoints in force, as `name@born:port`. */
  endpoints(): string[] {
    const { snapshot } = this.builder.build(this.replica.items());
    const endpoints = snapshot?.endpointsByService.get('echo') ?? [];
    return endpoints.map(({ name, spec }) => `${name}@${spec.bornAtMs ?? 0}:${spec.port}`).sort();
  }
}

function readRecord(key: string, value: string): StoreRecord {
  if (key === CONFIGURATION_KEY) {
    const resources = echoService().map((raw) => resourceSchema.parse(raw));
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 };
    return { kind: 'configuration', number: 1, resources, callerLimits: limits };
  }
  const { name, port, bornAtMs } = JSON.parse(value) as Entry;
  const endpoint = resourceSchema.parse(echoEndpoint(name, port, { bornAtMs })) as Endpoint;
  return { kind: 'endpoint', endpoint };
}

/** Endpoints expected at a revision; for each address, only the entry written last. */
function expectedAt(store: Store, revision: number): string[] {
  const byPort = new Map<number, StoreChange>();
  for (const change of store.stateAt(revision).values()) {
    if (change.key !== CONFIGURATION_KEY) {
      const { port } = JSON.parse(change.value ?? '') as Entry;
      const held = byPort.get(port);
      if (held === undefined || held.revision < change.revision) {
        byPort.set(port, change);
      }
    }
  }
  return [...byPort.values()]
    .map(({ value }) => JSON.parse(value ?? '') as Entry)
    .map(({ name, bornAtMs, port }) => `${name}@${bornAtMs}:${port}`)
    .sort();
}

const name = fc.constantFrom('a', 'b');
const node = fc.nat(NODES - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('birth' as const), name, port: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ type: fc.constant('lapse' as const), name }),
  fc.record({ type: fc.constant('renewal' as const), name }),
  fc.record({ type: fc.constant('list' as const), node, lag: fc.nat(6) }),
  fc.record({ type: fc.constant('watch' as const), node }),
  fc.record({ type: fc.constant('feed' as const), from: node, to: node }),
  fc.record({ type: fc.constant('late-feed' as const), to: node }),
  fc.record({ type: fc.constant('restart' as const), node }),
);

/**
 * Runs the steps and calls `check` with each node that has read something. With `listAtEnd`, all nodes list the
 * store at the end.
 */
function simulate(
  steps: readonly Step[],
  check: (reader: Reader, store: Store) => void,
  listAtEnd = true,
): Reader[] {
  const store = new Store();
  const readers = Array.from({ length: NODES }, () => new Reader(store));
  const readerOf = (index: number): Reader => readers[index] ?? expect.fail('no such node');
  /** The last delivered delta, which a `late-feed` step delivers again. */
  let lastDelta: ReturnType<typeof feedDeltaSince> | undefined;
  for (const one of steps) {
    switch (one.type) {
      case 'birth':
        store.startEndpoint(one.name, one.port);
        break;
      case 'lapse':
        store.expire(one.name);
        break;
      case 'renewal':
        store.renew(one.name);
        break;
      case 'list':
        readerOf(one.node).list(one.lag);
        check(readerOf(one.node), store);
        break;
      case 'watch':
        readerOf(one.node).watch();
        check(readerOf(one.node), store);
        break;
      case 'feed':
        if (one.from !== one.to) {
          lastDelta = readerOf(one.from).deltaFor(readerOf(one.to).revision);
          readerOf(one.to).receive(lastDelta);
          check(readerOf(one.to), store);
        }
        break;
      case 'late-feed':
        if (lastDelta !== undefined) {
          readerOf(one.to).receive(lastDelta);
          check(readerOf(one.to), store);
        }
        break;
      case 'restart':
        readerOf(one.node).restart();
        break;
    }
  }
  for (const reader of listAtEnd ? readers : []) {
    reader.list(0);
    check(reader, store);
  }
  return readers;
}

describe('entries of back ends that restart under the same names', () => {
  it('do not reappear from an outdated list on a node that got the full state from a peer', () => {
    const [, reader] = simulate(
      [
        { type: 'birth', name: 'a', port: 1 },
        { type: 'list', node: 0, lag: 0 },
        { type: 'lapse', name: 'a' },
        { type: 'watch', node: 0 },
        { type: 'feed', from: 0, to: 1 },
        { type: 'list', node: 1, lag: 1 },
      ],
      () => undefined,
      false,
    );
    expect(reader?.endpoints()).to.deep.equal([]);
  });

  it('match the store at the revision up to which the replica is complete', () => {
    const property = fc.property(fc.array(step, { maxLength: 40, size: 'max' }), (steps) => {
      simulate(steps, (reader, store) => {
        if (reader.revision > 0) {
          expect(reader.endpoints()).to.deep.equal(expectedAt(store, reader.revision));
        }
      });
    });
    fc.assert(property, { seed: SEED, numRuns: 4_000 });
  });
});
