/**
 * What a node's feed tells its followers, one JSON text a line: how up to date the node's state is,
 * and what changed in it.
 */
import type { StoreChange } from '../store/key-value-store.js';
import { MAX_TEXT_LENGTH, type PatchPart } from '../store/text-patch.js';
import type { FeedDelta, PatchedChange } from './feed-delta.js';
import { MAX_AGE_MS } from './peer-datagram.js';
import type { Freshness } from './source-choice.js';
import { inflatedDelta, MAX_DELTA_LENGTH } from './told-delta.js';

/** Longest line or text of a delta, in characters. */
export const MAX_MESSAGE_LENGTH = MAX_DELTA_LENGTH;
/** Longest key of an item, in characters; a store bounds the bytes. */
const MAX_KEY_LENGTH = 200;
/** Longest address of a reader, in characters. */
const MAX_READER_LENGTH = 128;

/** One line of a feed. */
export interface FeedMessage extends Freshness {
  /** What the follower lacks; left out where it lacks nothing. */
  readonly delta?: FeedDelta | undefined;
}

/** A line, with its end; `deltaText` is the delta as it is told, left out where the follower lacks nothing. */
export function encodeFeedMessage(freshness: Freshness, deltaText?: string): string {
  const ageMs = Math.round(Math.min(freshness.ageMs, MAX_AGE_MS));
  const text = JSON.stringify({ ...freshness, ageMs });
  return deltaText === undefined ? `${text}\n` : `${text.slice(0, -1)},"delta":${deltaText}}\n`;
}

/** Reads a line without its end; undefined when it is none. */
export function decodeFeedMessage(line: string): FeedMessage | undefined {
  const message = parseJson(line);
  if (!isObject(message)) {
    return undefined;
  }
  const { ageMs, reader, confirmation, delta: told } = message as Partial<FeedMessage>;
  if (!isAge(ageMs) || !isText(reader, MAX_READER_LENGTH) || !isWhole(confirmation)) {
    return undefined;
  }
  const delta = readDelta(told);
  const isWithout = told === undefined;
  return isWithout || delta !== undefined ? { ageMs, reader, confirmation, delta } : undefined;
}

/** Reads a delta on its own; undefined when it is none. */
export function decodeDelta(text: string): FeedDelta | undefined {
  return readDelta(parseJson(text));
}

function readDelta(told: unknown): FeedDelta | undefined {
  const delta = inflatedDelta(told);
  return isDelta(delta) ? delta : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function isDelta(value: unknown): value is FeedDelta {
  if (!isObject(value)) {
    return false;
  }
  const { sinceRevision, revision, changes } = value as Partial<FeedDelta>;
  return (
    isWhole(sinceRevision) &&
    isWhole(revision) &&
    Array.isArray(changes) &&
    changes.every((change) => isChange(change) || isPatched(change))
  );
}

function isChange(value: unknown): value is StoreChange {
  if (!isObject(value) || 'patch' in value) {
    return false;
  }
  const change = value as Partial<StoreChange>;
  return (
    isText(change.key, MAX_KEY_LENGTH) &&
    isWhole(change.revision) &&
    (change.value === undefined || isItemText(change.value))
  );
}

function isPatched(value: unknown): value is PatchedChange {
  if (!isObject(value)) {
    return false;
  }
  const { key, revision, baseRevision, patch } = value as Partial<PatchedChange>;
  return (
    isText(key, MAX_KEY_LENGTH) &&
    isWhole(revision) &&
    isWhole(baseRevision) &&
    baseRevision < revision &&
    Array.isArray(patch) &&
    patch.every(isPatchPart)
  );
}

function isPatchPart(value: unknown): value is PatchPart {
  return typeof value === 'string' || isRange(value);
}

function isRange(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== 2) {
    return false;
  }
  const [start, end] = value as unknown[];
  return isWhole(start) && isWhole(end) && start <= end;
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

/** Whether it is a text of some length; an item's own text may be empty. */
function isText(value: unknown, maxLength: number): value is string {
  return typeof value === 'string' && value !== '' && value.length <= maxLength;
}

function isItemText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
}

function isAge(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_AGE_MS;
}

function isWhole(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
