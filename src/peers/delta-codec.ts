/**
 * Encoding of deltas between nodes: JSON, deflated if it is long. A configuration that grows by 960 routes
 * is sent as 20 KB instead of 167 KB, so that a node on a 7 Mbit/s link sends it to eight followers in
 * 0.18 s instead of 1.5 s (size of such a delta, divided by the rate).
 */
import { constants, deflateSync, inflateSync } from 'node:zlib';
import type { StoreReplica } from '../store/store-replica.js';
import { feedDeltaSince, type FeedDelta } from './feed-delta.js';

/** Maximum length of a delta, in characters of its JSON text; larger than any full state. */
export const MAX_DELTA_LENGTH = 16 * 1024 * 1024;
/** Minimum length of a delta that is deflated, in characters of its JSON text. */
const MIN_DEFLATED_LENGTH = 1_024;
/** A higher level saves only 3% of the bytes. */
const DEFLATE_OPTIONS = { level: constants.Z_BEST_SPEED };
/** Maximum number of cached texts. Most followers hold one of the last few revisions. */
const MAX_CACHED_TEXTS = 8;

/** A delta whose JSON text is deflated. */
interface DeflatedDelta {
  /** Base64 of the zlib stream, which ends with a checksum. */
  readonly deflated: string;
}

/** Encodes a delta as JSON text, deflated if it is long. */
export function encodeDelta(delta: FeedDelta): string {
  return encodeJson(delta);
}

/** Encodes an object as JSON text, deflated if it is long; {@link inflateDelta} reverses it after parsing. */
export function encodeJson(value: object): string {
  const text = JSON.stringify(value);
  if (text.length < MIN_DEFLATED_LENGTH) {
    return text;
  }
  const deflated = deflateSync(text, DEFLATE_OPTIONS).toString('base64');
  return JSON.stringify({ deflated } satisfies DeflatedDelta);
}

/** Inflates a parsed delta if it is deflated; undefined if that fails. */
export function inflateDelta(encoded: unknown): unknown {
  const deflated = (encoded as Partial<DeflatedDelta> | null)?.deflated;
  if (typeof deflated !== 'string') {
    return encoded;
  }
  try {
    const bytes = Buffer.from(deflated, 'base64');
    const text = inflateSync(bytes, { maxOutputLength: MAX_DELTA_LENGTH }).toString('utf8');
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Caches the encoded deltas of a replica's current state, since many followers miss the same changes. */
export class DeltaCache {
  private readonly texts = new Map<number, string>();
  private updateCount = -1;

  constructor(private readonly replica: StoreReplica) {}

  /** Returns the encoded delta for a replica that is complete up to `sinceRevision`. */
  since(sinceRevision: number): string {
    this.evictOutdated();
    let text = this.texts.get(sinceRevision);
    if (text === undefined) {
      text = encodeDelta(feedDeltaSince(this.replica, sinceRevision));
      this.texts.set(sinceRevision, text);
    }
    return text;
  }

  private evictOutdated(): void {
    const { updateCount } = this.replica;
    if (updateCount !== this.updateCount || this.texts.size >= MAX_CACHED_TEXTS) {
      this.texts.clear();
      this.updateCount = updateCount;
    }
  }
}
