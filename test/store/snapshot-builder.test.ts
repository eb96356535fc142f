/** Snapshots of the items of a store: increasing versions, faults, endpoints. */
import { expect } from 'chai';
import type { Resource } from '../../src/model/resource.js';
import { resourceSchema } from '../../src/model/resource.js';
import type { StoreRecord } from '../../src/store/configuration-record.js';
import type { ItemFault } from '../../src/store/item-fault.js';
import type { StoreChange } from '../../src/store/key-value-store.js';
import { SnapshotBuilder } from '../../src/store/snapshot-builder.js';
import { echoEndpoint, echoService } from '../proxy/rig.js';

const CALLER_LIMITS = {
  maxHeaderBytes: 1,
  maxBodyBytes: 2,
  headerTimeoutMs: 3,
  idleTimeoutMs: 4,
};

function resources(raw: readonly unknown[]): Resource[] {
  return raw.map((resource) => resourceSchema.parse(resource));
}

function configuration(number: number, raw: readonly unknown[] = echoService()): StoreRecord {
  return {
    kind: 'configuration',
    number,
    resources: resources(raw),
    callerLimits: CALLER_LIMITS,
  };
}

function endpoint(name: string, service = 'echo', port = 1): StoreRecord {
  const [resource] = resources([echoEndpoint(name, port, { service })]);
  if (resource?.kind !== 'endpoint') {
    throw new Error('not an endpoint');
  }
  return { kind: 'endpoint', endpoint: resource };
}

const FAULT: ItemFault = { path: 'address', found: 'nothing', expected: 'an address' };
const UNPARSABLE: StoreRecord = { kind: 'unused', fault: FAULT };

/** Items whose values are keys of records. */
class Items {
  private readonly records = new Map<string, StoreRecord>();
  private readonly items = new Map<string, StoreChange>();
  private revision = 0;
  readonly builder = new SnapshotBuilder((_key, value) => {
    const record = this.records.get(value);
    return record ?? { kind: 'unused', fault: FAULT };
  });

  put(key: string, record: StoreRecord): this {
    this.revision += 1;
    const value = `record ${this.revision}`;
    this.records.set(value, record);
    this.items.set(key, { key, revision: this.revision, value });
    return this;
  }

  remove(key: string): this {
    this.items.delete(key);
    return this;
  }

  all(): StoreChange[] {
    return [...this.items.values()];
  }

  build(): ReturnType<SnapshotBuilder['build']> {
    return this.builder.build(this.items.values());
  }
}

describe('snapshots of a store', () => {
  it('builds no snapshot before the first configuration', () => {
    expect(new Items().put('e', endpoint('e1')).build().snapshot).to.equal(undefined);
  });

  it('combines the configuration and the endpoints', () => {
    const { snapshot } = new Items().put('c', configuration(3)).put('e', endpoint('e1')).build();
    expect(snapshot?.version.source.number).to.equal(3);
    expect(snapshot?.callerLimits).to.equal(CALLER_LIMITS);
    expect(snapshot?.endpointsByService.get('echo')).to.have.length(1);
  });

  it('never returns to an older configuration or to none', () => {
    const items = new Items().put('c', configuration(3));
    items.build();
    const older = items.put('c', configuration(2)).build();
    expect(older.snapshot?.version.source.number).to.equal(3);
    expect(items.remove('c').build().snapshot?.version.source.number).to.equal(3);
  });

  it('keeps the previous configuration when a new one is inconsistent, and reports it once', () => {
    const dangling = [{ kind: 'route', name: 'r', spec: { pathPrefix: '/', service: 'none' } }];
    const items = new Items().put('c', configuration(3));
    items.build();
    const { snapshot, refused } = items.put('c', configuration(4, dangling)).build();
    expect(snapshot?.version.source.number).to.equal(3);
    expect(refused).to.have.length(1);
  });

  it('reports once why an item cannot be parsed', () => {
    const items = new Items().put('c', configuration(1));
    items.put('x', UNPARSABLE);
    expect(items.build().refused).to.deep.equal([{ key: 'x', revision: 2, fault: FAULT }]);
    expect(items.build().refused).to.deep.equal([]);
  });

  it('keeps only the endpoint written last among those with the same address', () => {
    const items = new Items().put('c', configuration(1));
    items.put('e', endpoint('before')).put('f', endpoint('now'));
    const endpoints = items.build().snapshot?.endpointsByService.get('echo') ?? [];
    expect(endpoints.map(({ name }) => name)).to.deep.equal(['now']);
  });

  it('uses the latest revision for an address regardless of order and service', () => {
    const items = new Items().put('c', configuration(1)).put('f', endpoint('before', 'other'));
    items.put('e', endpoint('now')).put('g', endpoint('beside', 'echo', 2));
    const namesOf = (changes: Iterable<StoreChange>): string[] => {
      const { snapshot } = items.builder.build(changes);
      return (snapshot?.endpointsByService.get('echo') ?? []).map(({ name }) => name).sort();
    };
    expect(namesOf(items.all())).to.deep.equal(['beside', 'now']);
    expect(namesOf(items.all().reverse())).to.deep.equal(['beside', 'now']);
  });

  it('excludes endpoints of unconfigured services and removed endpoints', () => {
    const items = new Items().put('c', configuration(1));
    items.put('e', endpoint('e1')).put('f', endpoint('f1', 'other', 2));
    expect(items.build().snapshot?.resources.size).to.equal(3);
    expect(items.remove('e').build().snapshot?.endpointsByService.get('echo')).to.have.length(0);
  });

  it('reports an inconsistent configuration once, even if snapshots are built repeatedly', () => {
    const dangling = [{ kind: 'route', name: 'r', spec: { pathPrefix: '/', service: 'none' } }];
    const items = new Items().put('c', configuration(4, dangling));
    expect(items.build().refused).to.have.length(1);
    items.put('e', endpoint('e1'));
    expect(items.build().refused).to.have.length(0);
    expect(items.put('c', configuration(4, dangling)).build().refused).to.have.length(1);
  });

  it('removes the endpoint of an entry that was overwritten with an unparsable one', () => {
    const items = new Items().put('c', configuration(1));
    items
      .put('e', endpoint('e1'))
      .put('f', endpoint('f1', 'echo', 2))
      .build();
    items.put('e', UNPARSABLE);
    const endpoints = items.build().snapshot?.endpointsByService.get('echo') ?? [];
    expect(endpoints.map(({ name }) => name)).to.deep.equal(['f1']);
  });

  it('keeps the configuration in force when it is overwritten with an unparsable one', () => {
    const items = new Items().put('c', configuration(3));
    items.build();
    const { snapshot, refused } = items.put('c', UNPARSABLE).build();
    expect(snapshot?.version.source.number).to.equal(3);
    expect(refused).to.have.length(1);
  });

  it('does not replace an endpoint by one of an unconfigured service with the same address', () => {
    const items = new Items().put('c', configuration(1)).put('e', endpoint('held'));
    items.put('f', endpoint('foreign', 'other'));
    const endpoints = items.build().snapshot?.endpointsByService.get('echo') ?? [];
    expect(endpoints.map(({ name }) => name)).to.deep.equal(['held']);
  });
});
