/**
 * What a node's feed tells its followers, one JSON text a line: how up to date the node's state is,
 * and what changed in it.
 */
import type { StoreChange } from '../store/key-value-store.js';
import type { ReplicaDelta } from '../store/store-replica.js';
import type { PatchPart } from '../store/text-patch.js';
import type { FeedDelta, PatchedChange } from './feed-delta.js';
import { MAX_AGE_MS } from './peer-datagram.js';
import type { Freshness } from './source-choice.js';

/** One line of a feed. */
export interface FeedMessage extends Freshness {
  /** What the follower lacks; left out where it lacks nothing. */
  readonly delta?: FeedDelta | undefined;
}

/** A line, with its end. */
export function encodeFeedMessage(message: FeedMessage): string {
  const ageMs = Math.round(Math.min(message.ageMs, MAX_AGE_MS));
  return `${JSON.stringify({ ...message, ageMs })}\n`;
}

/** Reads a line without its end; undefined when it is none. */
export function decodeFeedMessage(line: string): FeedMessage | undefined {
  const message = parseJson(line) as Partial<FeedMessage> | undefined;
  const { ageMs, reader, confirmation, delta } = message ?? {};
  const isMessage =
    typeof ageMs === 'number' &&
    ageMs >= 0 &&
    typeof reader === 'string' &&
    Number.isSafeInteger(confirmation) &&
    (delta === undefined || isDelta(delta, (change) => isChange(change) || isPatched(change)));
  return isMessage ? (message as FeedMessage) : undefined;
}

/** Reads a delta on its own; undefined when it is none. */
export function decodeDelta(text: string): ReplicaDelta | undefined {
  const delta = parseJson(text);
  return isDelta(delta, isChange) ? (delta as ReplicaDelta) : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function isDelta(value: unknown, isKnownChange: (change: unknown) => boolean): value is FeedDelta {
  const { sinceRevision, revision, changes } = (value ?? {}) as Partial<FeedDelta>;
  return (
    isRevision(sinceRevision) &&
    isRevision(revision) &&
    Array.isArray(changes) &&
    changes.every(isKnownChange)
  );
}

function isChange(value: unknown): value is StoreChange {
  const change = (value ?? {}) as Partial<StoreChange>;
  return (
    !('patch' in change) &&
    typeof change.key === 'string' &&
    isRevision(change.revision) &&
    (change.value === undefined || typeof change.value === 'string')
  );
}

function isPatched(value: unknown): value is PatchedChange {
  const { key, revision, baseRevision, patch } = (value ?? {}) as Partial<PatchedChange>;
  return (
    typeof key === 'string' &&
    isRevision(revision) &&
    isRevision(baseRevision) &&
    Array.isArray(patch) &&
    patch.every(isPatchPart)
  );
}

function isPatchPart(value: unknown): value is PatchPart {
  const isRange = Array.isArray(value) && value.length === 2 && value.every(isRevision);
  return typeof value === 'string' || isRange;
}

function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
