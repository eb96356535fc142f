/**
 * Why an item of a store is rejected, for the log: the field, the value found, and the value expected. Items may
 * come from any writer, so the value found is truncated.
 */
import { showValue } from '../settings/shown-value.js';

/** Maximum length of a logged key, in characters. */
const MAX_SHOWN_KEY_LENGTH = 80;

/** Why an item is invalid. */
export interface ItemFault {
  /** Dotted path of the field; empty for the entire item. */
  readonly path: string;
  /** The value found, truncated. */
  readonly found: string;
  readonly expected: string;
}

/** An item that is rejected. */
export interface RefusedItem {
  /** Key of the item, truncated; empty if it has none. */
  readonly key: string;
  /** Revision of the item; undefined if it has none. */
  readonly revision: number | undefined;
  readonly fault: ItemFault;
}

/** Thrown when an item, or an answer that should contain items, is invalid. */
export class InvalidItemError extends Error {
  override readonly name = 'InvalidItemError';
  readonly code = 'INVALID_ITEM';

  constructor(readonly fault: ItemFault) {
    super(`${fault.path}: found ${fault.found}, expected ${fault.expected}`);
  }
}

/** Formats a value for {@link ItemFault.found}: a scalar is truncated; for any other value only its type is given. */
export function describeFound(value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  return showValue(value) ?? (Array.isArray(value) ? 'a list' : 'an object');
}

/** Truncates a key for {@link RefusedItem.key}. */
export function shortKey(key: string): string {
  return key.length > MAX_SHOWN_KEY_LENGTH ? `${key.slice(0, MAX_SHOWN_KEY_LENGTH)}...` : key;
}
