/**
 * Messages of a node's feed, one line of JSON each. A message contains the freshness of the node's state
 * and the changes that the follower is missing.
 */
import type { StoreChange } from '../store/key-value-store.js';
import { MAX_TEXT_LENGTH, type PatchPart } from '../store/text-patch.js';
import type { FeedDelta, PatchedChange } from './feed-delta.js';
import { MAX_AGE_MS } from './peer-datagram.js';
import type { Freshness } from './source-choice.js';
import { inflateDelta, MAX_DELTA_LENGTH } from './delta-codec.js';

/** Maximum length of a feed line or an encoded delta, in characters. */
export const MAX_MESSAGE_LENGTH = MAX_DELTA_LENGTH;
/** Maximum length of an item's key, in characters; the store limits the bytes. */
const MAX_KEY_LENGTH = 200;
/** Maximum length of a reader's address, in characters. */
const MAX_READER_LENGTH = 128;

/** One line of a feed. */
export interface FeedMessage extends Freshness {
  /** Changes that the follower is missing; omitted if there are none. */
  readonly delta?: FeedDelta | undefined;
}

/** Encodes a line including its newline. `deltaText` is the encoded delta, omitted if there are no changes. */
export function encodeFeedMessage(freshness: Freshness, deltaText?: string): string {
  const ageMs = Math.round(Math.min(freshness.ageMs, MAX_AGE_MS));
  const text = JSON.stringify({ ...freshness, ageMs });
  return deltaText === undefined ? `${text}\n` : `${text.slice(0, -1)},"delta":${deltaText}}\n`;
}

/** Decodes a line without its newline; undefined if it is malformed. */
export function decodeFeedMessage(line: string): FeedMessage | undefined {
  const message = parseJson(line);
  if (!isObject(message)) {
    return undefined;
  }
  const { delta: encodedDelta, ...freshness } = message as Partial<FeedMessage>;
  const { ageMs, reader, confirmation } = freshness;
  if (
    !isAge(ageMs) ||
    !isNonEmptyText(reader, MAX_READER_LENGTH) ||
    !isNonNegativeInteger(confirmation)
  ) {
    return undefined;
  }
  const delta = parseDelta(encodedDelta);
  const hasNoDelta = encodedDelta === undefined;
  const { servedNode } = freshness;
  const served = isText(servedNode, MAX_READER_LENGTH) ? { servedNode } : {};
  return hasNoDelta || delta !== undefined
    ? { ageMs, reader, confirmation, ...served, delta }
    : undefined;
}

/** Decodes a delta that is not part of a feed message; undefined if it is malformed. */
export function decodeDelta(text: string): FeedDelta | undefined {
  return parseDelta(parseJson(text));
}

function parseDelta(encoded: unknown): FeedDelta | undefined {
  const delta = inflateDelta(encoded);
  return isDelta(delta) ? delta : undefined;
}

/** Parses JSON; undefined if it is malformed. */
export function parseJson(text: string): unknown {
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
    isNonNegativeInteger(sinceRevision) &&
    isNonNegativeInteger(revision) &&
    Array.isArray(changes) &&
    changes.every((change) => isStoreChange(change) || isPatchedChange(change))
  );
}

/** Whether a parsed value is a change with its whole value. */
export function isStoreChange(value: unknown): value is StoreChange {
  if (!isObject(value) || 'patch' in value) {
    return false;
  }
  const change = value as Partial<StoreChange>;
  return (
    isNonEmptyText(change.key, MAX_KEY_LENGTH) &&
    isNonNegativeInteger(change.revision) &&
    (change.value === undefined || isItemValue(change.value))
  );
}

function isPatchedChange(value: unknown): value is PatchedChange {
  if (!isObject(value)) {
    return false;
  }
  const { key, revision, baseRevision, patch } = value as Partial<PatchedChange>;
  return (
    isNonEmptyText(key, MAX_KEY_LENGTH) &&
    isNonNegativeInteger(revision) &&
    isNonNegativeInteger(baseRevision) &&
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
  return isNonNegativeInteger(start) && isNonNegativeInteger(end) && start <= end;
}

/** Whether a parsed value is an object or a list. */
export function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

/** Whether `value` is a non-empty string of at most `maxLength` characters. Only item values may be empty. */
function isNonEmptyText(value: unknown, maxLength: number): value is string {
  return value !== '' && isText(value, maxLength);
}

function isText(value: unknown, maxLength: number): value is string {
  return typeof value === 'string' && value.length <= maxLength;
}

function isItemValue(value: unknown): value is string {
  return isText(value, MAX_TEXT_LENGTH);
}

function isAge(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_AGE_MS;
}

/** Whether a parsed value is a revision or another whole number. */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
