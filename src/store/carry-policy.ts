/** How long each kind of change is carried over after a restore of the store, and what ends that earlier. Pure. */
import type { CarryPolicy } from './carried-changes.js';
import type { RecordReader } from './configuration-record.js';
import type { StoreChange } from './key-value-store.js';

/**
 * Retention of carried changes that a living writer repeats, in milliseconds. A removal, or an evacuation that was withdrawn
 * meanwhile, may leave no trace in the restored store, so it can't be carried until it is written again.
 */
export const REWRITE_PERIOD_MS = 8_000;
/** Retention of an endpoint that is missing from the restored store, in milliseconds. */
export const MISSING_ENDPOINT_RETENTION_MS = 2_000;

/**
 * A configuration is carried until the store has one of the same or a higher number: numbers only rise, whatever the store
 * returns to. The draining of a listed endpoint is carried until its entry is written or removed: an endpoint that drains is
 * never active again. Everything else expires.
 */
export function createCarryPolicy(read: RecordReader): CarryPolicy {
  const recordOf = ({ key, value }: StoreChange) =>
    value === undefined ? undefined : read(key, value);
  return {
    retentionMs: (change, isListed) => {
      const record = recordOf(change);
      if (record?.kind === 'configuration') {
        return Infinity;
      }
      if (record?.kind !== 'endpoint') {
        return REWRITE_PERIOD_MS;
      }
      if (!isListed) {
        return MISSING_ENDPOINT_RETENTION_MS;
      }
      return record.endpoint.spec.state === 'draining' ? Infinity : REWRITE_PERIOD_MS;
    },
    configurationNumber: (change) => {
      const record = recordOf(change);
      return record?.kind === 'configuration' ? record.number : undefined;
    },
  };
}
