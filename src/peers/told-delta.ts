/**
 * Deltas as one node tells them to another: JSON, deflated where it is long. A configuration that grows by
 * 960 routes is told in 20 KB in place of 167 KB, so that a node on 7 Mbit/s has told eight followers in
 * 0.18 s in place of 1.5 s (sizes of such a delta, divided by the rate).
 */
import { constants, deflateSync, inflateSync } from 'node:zlib';
import type { StoreReplica } from '../store/store-replica.js';
import { feedDeltaSince, type FeedDelta } from './feed-delta.js';

/** Longest delta, in characters of its JSON text: beyond any whole state. */
export const MAX_DELTA_LENGTH = 16 * 1024 * 1024;
/** Length from which a delta is deflated, in characters of its JSON text. */
const MIN_DEFLATED_LENGTH = 1_024;
/** A higher level gains 3% of the bytes. */
const DEFLATE_OPTIONS = { level: constants.Z_BEST_SPEED };
/** Texts that are kept: followers mostly hold one of the last few revisions. */
const MAX_KEPT_TEXTS = 8;

/** A delta whose JSON text is deflated. */
interface DeflatedDelta {
  /** Base64 of the zlib stream, which ends with a checksum. */
  readonly deflated: string;
}

/** The JSON text by which a delta is told. */
export function encodeDelta(delta: FeedDelta): string {
  const text = JSON.stringify(delta);
  if (text.length < MIN_DEFLATED_LENGTH) {
    return text;
  }
  const deflated = deflateSync(text, DEFLATE_OPTIONS).toString('base64');
  return JSON.stringify({ deflated } satisfies DeflatedDelta);
}

/** What a parsed delta says, inflated where it is deflated; undefined where that fails. */
export function inflatedDelta(told: unknown): unknown {
  const deflated = (told as Partial<DeflatedDelta> | null)?.deflated;
  if (typeof deflated !== 'string') {
    return told;
  }
  try {
    const bytes = Buffer.from(deflated, 'base64');
    const text = inflateSync(bytes, { maxOutputLength: MAX_DELTA_LENGTH }).toString('utf8');
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** The texts of a replica's deltas. Those for its present state are kept: many followers lack the same. */
export class DeltaTexts {
  private readonly texts = new Map<number, string>();
  private updateCount = -1;

  constructor(private readonly replica: StoreReplica) {}

  /** What a replica that is complete up to `sinceRevision` lacks. */
  since(sinceRevision: number): string {
    this.forgetOld();
    let text = this.texts.get(sinceRevision);
    if (text === undefined) {
      text = encodeDelta(feedDeltaSince(this.replica, sinceRevision));
      this.texts.set(sinceRevision, text);
    }
    return text;
  }

  private forgetOld(): void {
    const { updateCount } = this.replica;
    if (updateCount !== this.updateCount || this.texts.size >= MAX_KEPT_TEXTS) {
      this.texts.clear();
      this.updateCount = updateCount;
    }
  }
}
