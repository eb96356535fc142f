/** The message by which a node hands over what it carries from before a restore of the store: JSON, deflated if it is long. */
import type { CarriedChange } from '../store/carried-changes.js';
import type { ReplicaHandover } from '../store/store-replica.js';
import { encodeJson, inflateDelta } from './delta-codec.js';
import { isNonNegativeInteger, isObject, isStoreChange, parseJson } from './feed-message.js';

/** Longest retention that is taken from a peer, in milliseconds; anything longer must have no limit. */
const MAX_RETENTION_MS = 60_000;

export function encodeHandover({ carried, ...revisions }: ReplicaHandover): string {
  return encodeJson({
    ...revisions,
    carried: carried.map(({ change, retentionMs }) => ({
      change,
      ...(retentionMs !== Infinity && { retentionMs }),
    })),
  });
}

/** Decodes a handover; undefined if it is malformed. */
export function decodeHandover(text: string): ReplicaHandover | undefined {
  const message = inflateDelta(parseJson(text));
  if (!isObject(message)) {
    return undefined;
  }
  const { revision, eraStartRevision, carried } = message as Partial<ReplicaHandover>;
  if (
    !isNonNegativeInteger(revision) ||
    !isNonNegativeInteger(eraStartRevision) ||
    !Array.isArray(carried) ||
    !carried.every(isCarriedChange)
  ) {
    return undefined;
  }
  return {
    revision,
    eraStartRevision,
    carried: carried.map(({ change, retentionMs = Infinity }) => ({ change, retentionMs })),
  };
}

function isCarriedChange(value: unknown): value is Partial<CarriedChange> & CarriedChange {
  if (!isObject(value)) {
    return false;
  }
  const { change, retentionMs } = value as Partial<CarriedChange>;
  const isRetention =
    retentionMs === undefined ||
    (typeof retentionMs === 'number' && retentionMs >= 0 && retentionMs <= MAX_RETENTION_MS);
  return isStoreChange(change) && isRetention;
}
