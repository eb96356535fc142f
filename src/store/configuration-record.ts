/** Parsed items of a store, independent of the store's format, which an adapter parses. */
import type { Endpoint, Resource } from '../model/resource.js';
import type { CallerLimits } from '../model/snapshot.js';
import type { ItemFault } from './item-fault.js';

/** A complete configuration. */
export interface ConfigurationRecord {
  readonly kind: 'configuration';
  /** Increases with each configuration. */
  readonly number: number;
  /** Services and routes. */
  readonly resources: readonly Resource[];
  readonly callerLimits: CallerLimits;
  /** Values that were cut to what a node can do; absent if there are none. */
  readonly limited?: readonly ItemFault[];
}

/** One endpoint. */
export interface StoredEndpointRecord {
  readonly kind: 'endpoint';
  readonly endpoint: Endpoint;
  /** Increases with each write of the entry by its endpoint; absent when the entry has none. */
  readonly sequence?: number;
  /** Values that were cut to what a node can do; absent if there are none. */
  readonly limited?: readonly ItemFault[];
}

/** A zone whose endpoints receive no new requests while the item exists. */
export interface EvacuationRecord {
  readonly kind: 'evacuation';
  readonly zone: string;
}

/** An item that the node does not use or cannot parse. */
export interface UnusedRecord {
  readonly kind: 'unused';
  /** Why the item cannot be parsed; undefined if it is not relevant to the node. */
  readonly fault: ItemFault | undefined;
}

/** The record of one item. */
export type StoreRecord =
  ConfigurationRecord | StoredEndpointRecord | EvacuationRecord | UnusedRecord;

/** Parses an item; never throws. */
export type RecordReader = (key: string, value: string) => StoreRecord;
