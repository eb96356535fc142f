/** What the items of a store say, in the product's own terms; an adapter reads them. */
import type { Endpoint, Resource } from '../model/resource.js';
import type { CallerLimits } from '../model/snapshot.js';
import type { ItemFault } from './item-fault.js';

/** A whole configuration. */
export interface ConfigurationRecord {
  readonly kind: 'configuration';
  /** Rises with each configuration. */
  readonly number: number;
  /** Services and routes. */
  readonly resources: readonly Resource[];
  readonly callerLimits: CallerLimits;
}

/** One endpoint. */
export interface StoredEndpointRecord {
  readonly kind: 'endpoint';
  readonly endpoint: Endpoint;
  /** Increases with each write of the entry by its endpoint; absent when the entry has none. */
  readonly sequence?: number;
}

/** A zone whose endpoints get no new work while the item exists. */
export interface EvacuationRecord {
  readonly kind: 'evacuation';
  readonly zone: string;
}

/** An item that the node does not use, or can't read. */
export interface UnusedRecord {
  readonly kind: 'unused';
  /** Why the item can't be read; undefined when it is of no concern. */
  readonly fault: ItemFault | undefined;
}

/** What one item says. */
export type StoreRecord =
  ConfigurationRecord | StoredEndpointRecord | EvacuationRecord | UnusedRecord;

/** Reads an item; never throws. */
export type RecordReader = (key: string, value: string) => StoreRecord;
