/**
 * What a node's feed tells its followers, one JSON text a line: how up to date the node's state is,
 * and what changed in it.
 */
import type { StoreChange } from '../store/key-value-store.js';
import type { ReplicaDelta } from '../store/store-replica.js';
import { MAX_AGE_MS } from './peer-datagram.js';
import type { Freshness } from './source-choice.js';

/** One line of a feed. */
export interface FeedMessage extends Freshness {
  /** What the follower lacks; left out where it lacks nothing. */
  readonly delta?: ReplicaDelta | undefined;
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
    (delta === undefined || isDelta(delta));
  return isMessage ? (message as FeedMessage) : undefined;
}

/** Reads a delta on its own; undefined when it is none. */
export function decodeDelta(text: string): ReplicaDelta | undefined {
  const delta = parseJson(text);
  return isDelta(delta) ? delta : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function isDelta(value: unknown): value is ReplicaDelta {
  const { sinceRevision, revision, changes } = (value ?? {}) as Partial<ReplicaDelta>;
  return (
    isRevision(sinceRevision) &&
    isRevision(revision) &&
    Array.isArray(changes) &&
    changes.every(isChange)
  );
}

function isChange(value: unknown): value is StoreChange {
  const change = (value ?? {}) as Partial<StoreChange>;
  return (
    typeof change.key === 'string' &&
    isRevision(change.revision) &&
    (change.value === undefined || typeof change.value === 'string')
  );
}

function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
