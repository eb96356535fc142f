/**
 * Builds snapshots from the items of a replica: the configuration with the highest number seen so far, combined
 * with the current endpoints. If a configuration cannot be parsed or is inconsistent, the previous one stays in
 * force. Pure.
 */
import { InvalidConfigurationError } from '../model/configuration-error.js';
import type { Endpoint } from '../model/resource.js';
import { requireConsistentRoutes } from '../model/route-faults.js';
import { buildSnapshot, withEndpoints, type Snapshot } from '../model/snapshot.js';
import { EMPTY_DIGEST, NO_VERSION } from '../model/version.js';
import { resolveCarriedEndpoint, type EndpointEntry } from './carried-endpoints.js';
import type { ConfigurationRecord, RecordReader, StoreRecord } from './configuration-record.js';
import { shortKey, type ItemFault, type RefusedItem } from './item-fault.js';
import type { StoreChange } from './key-value-store.js';
import { eraOf } from './store-revision.js';

/** An item and its parsed record. */
interface ParsedItem {
  readonly revision: number;
  readonly value: string;
  readonly record: StoreRecord;
}

/** The endpoints and evacuated zones that the items describe. */
interface EndpointState {
  /** Endpoints by item key. */
  readonly endpoints: Map<string, EndpointEntry>;
  readonly evacuatedZones: Set<string>;
}

export interface BuildResult {
  /** Undefined while no configuration is known. */
  readonly snapshot: Snapshot | undefined;
  /** Rejected items; each revision is reported once. */
  readonly refused: readonly RefusedItem[];
  /** Values of accepted items that were cut to what a node can do; each revision of an item is reported once. */
  readonly limited: readonly RefusedItem[];
}

/**
 * Endpoints by address. The entry of a terminated endpoint may exist for seconds alongside the entry of the
 * endpoint that now has its address, so only the entry written last is used for each address.
 */
class EndpointsByAddress {
  private readonly latest = new Map<string, EndpointEntry>();

  add(entry: EndpointEntry): void {
    const { endpoint, revision } = entry;
    const address = `${endpoint.spec.address}:${endpoint.spec.port}`;
    const held = this.latest.get(address);
    if (held === undefined || held.revision < revision) {
      this.latest.set(address, entry);
    }
  }

  current(): Endpoint[] {
    return [...this.latest.values()].map(({ endpoint }) => endpoint);
  }
}

/** Builds the snapshots of one node. */
export class SnapshotBuilder {
  private readonly parsedItems = new Map<string, ParsedItem>();
  /** Parsed records of carried changes. */
  private readonly carriedRecords = new WeakMap<StoreChange, StoreRecord>();
  /** The configuration in force, validated and indexed once, without endpoints. */
  private currentConfiguration: Snapshot | undefined;
  private currentNumber = 0;
  /** The latest inconsistent configuration, kept so that it is validated and reported only once. */
  private refusedCandidate: ConfigurationRecord | undefined;
  private latest: Snapshot | undefined;
  /** Values of the items that are being built from that were cut. */
  private limitedValues: RefusedItem[] = [];

  constructor(private readonly read: RecordReader) {}

  /**
   * Builds a snapshot of `items` and of the changes carried over from earlier eras. The number of the configuration
   * in force never decreases.
   */
  build(items: Iterable<StoreChange>, carried: readonly StoreChange[] = []): BuildResult {
    const refused: RefusedItem[] = [];
    this.limitedValues = [];
    const state: EndpointState = { endpoints: new Map(), evacuatedZones: new Set() };
    const keys = new Set<string>();
    carried.forEach((change) => this.cacheCarriedRecord(change));
    for (const item of items) {
      keys.add(item.key);
      const record = this.recordOf(item, refused);
      if (record.kind === 'configuration') {
        this.adopt(record, item, refused);
      } else {
        addRecord(state, item, record);
      }
    }
    this.retainOnly(keys);
    carried.forEach((change) => this.applyCarried(state, change, refused));
    const { endpoints, evacuatedZones } = state;
    const snapshot = this.snapshotWith([...endpoints.values()], evacuatedZones);
    return { snapshot, refused, limited: this.limitedValues };
  }

  /** Caches the record of a carried change; must run before the item that replaces it is parsed. */
  private cacheCarriedRecord(change: StoreChange): void {
    const { key, value } = change;
    if (value !== undefined && !this.carriedRecords.has(change)) {
      const cached = this.parsedItems.get(key);
      const record = cached?.value === value ? cached.record : this.read(key, value);
      this.carriedRecords.set(change, record);
    }
  }

  /** Applies a carried change, so that restored items don't undo it. */
  private applyCarried(
    { endpoints, evacuatedZones }: EndpointState,
    change: StoreChange,
    refused: RefusedItem[],
  ): void {
    const { key, revision } = change;
    const record = this.carriedRecords.get(change);
    if (record === undefined) {
      endpoints.delete(key);
    } else if (record.kind === 'endpoint') {
      const { endpoint, sequence = 0 } = record;
      endpoints.set(
        key,
        resolveCarriedEndpoint(endpoints.get(key), { endpoint, revision, sequence }),
      );
    } else if (record.kind === 'evacuation') {
      evacuatedZones.add(record.zone);
    } else if (record.kind === 'configuration') {
      this.adopt(record, change, refused);
    }
  }

  private recordOf(item: StoreChange, refused: RefusedItem[]): StoreRecord {
    const { key, revision, value = '' } = item;
    const cached = this.parsedItems.get(key);
    if (cached?.revision === revision) {
      return cached.record;
    }
    const record = isUnchangedAcrossEras(item, cached) ? cached.record : this.read(key, value);
    this.parsedItems.set(key, { revision, value, record });
    if (record.kind === 'unused' && record.fault !== undefined) {
      refused.push(refusedItem(item, record.fault));
    }
    if ('limited' in record && record !== cached?.record) {
      record.limited?.forEach((fault) => this.limitedValues.push(refusedItem(item, fault)));
    }
    return record;
  }

  private adopt(candidate: ConfigurationRecord, item: StoreChange, refused: RefusedItem[]): void {
    const { number, resources, callerLimits } = candidate;
    if (number <= this.currentNumber || candidate === this.refusedCandidate) {
      return;
    }
    try {
      const configuration = buildSnapshot(versionOf(candidate), resources, callerLimits);
      requireConsistentRoutes(configuration.routes);
      this.currentConfiguration = configuration;
      this.currentNumber = number;
    } catch (error) {
      if (!(error instanceof InvalidConfigurationError)) {
        throw error;
      }
      this.refusedCandidate = candidate;
      refused.push(refusedItem(item, faultOf(error)));
    }
  }

  /**
   * Endpoints of unconfigured services are excluded first, so that they do not replace another endpoint with the
   * same address.
   */
  private snapshotWith(
    entries: readonly EndpointEntry[],
    evacuatedZones: ReadonlySet<string>,
  ): Snapshot | undefined {
    if (this.currentConfiguration === undefined) {
      return undefined;
    }
    const { services } = this.currentConfiguration;
    const endpoints = new EndpointsByAddress();
    for (const entry of entries) {
      if (services.has(entry.endpoint.spec.service)) {
        endpoints.add(entry);
      }
    }
    this.latest = withEndpoints(
      this.currentConfiguration,
      { endpoints: endpoints.current(), evacuatedZones },
      this.latest,
    );
    return this.latest;
  }

  /** Removes all other parsed items. Every one of `keys` has been parsed, so equal counts mean there are no others. */
  private retainOnly(keys: ReadonlySet<string>): void {
    if (keys.size === this.parsedItems.size) {
      return;
    }
    for (const key of [...this.parsedItems.keys()]) {
      if (!keys.has(key)) {
        this.parsedItems.delete(key);
      }
    }
  }
}

/**
 * Whether an item has the same value as in another era. Such an item is not parsed again, since that would restart
 * time-dependent state such as the cold period of an endpoint.
 */
function isUnchangedAcrossEras(
  { revision, value }: StoreChange,
  cached: ParsedItem | undefined,
): cached is ParsedItem {
  return cached?.value === value && eraOf(cached?.revision ?? 0) !== eraOf(revision);
}

function addRecord(
  { endpoints, evacuatedZones }: EndpointState,
  { key, revision }: StoreChange,
  record: StoreRecord,
): void {
  if (record.kind === 'endpoint') {
    const { endpoint, sequence = 0 } = record;
    endpoints.set(key, { endpoint, revision, sequence });
  } else if (record.kind === 'evacuation') {
    evacuatedZones.add(record.zone);
  }
}

function versionOf({ number }: ConfigurationRecord): Snapshot['version'] {
  return { source: { number, digest: EMPTY_DIGEST }, operator: NO_VERSION };
}

function refusedItem({ key, revision }: StoreChange, fault: ItemFault): RefusedItem {
  return { key: shortKey(key), revision, fault };
}

function faultOf({ faults }: InvalidConfigurationError): ItemFault {
  const [first] = faults;
  return {
    path: first?.path ?? '',
    found: first?.reason ?? '',
    expected: 'a consistent configuration',
  };
}
