/**
 * Why an item of a store is not used, for the log: the field, what was there, and what was expected. Items
 * may come from any writer, so what was there is told in short.
 */
import { showValue } from '../settings/shown-value.js';

/** Longest key that is told, in characters. */
const MAX_SHOWN_KEY_LENGTH = 80;

/** What is wrong with an item. */
export interface ItemFault {
  /** Dotted path of the field; empty for the item as a whole. */
  readonly path: string;
  /** What was there, cut short. */
  readonly found: string;
  readonly expected: string;
}

/** An item that is not used. */
export interface RefusedItem {
  /** Key of the item, cut short; empty where it has none. */
  readonly key: string;
  /** Revision of the item; undefined where it has none. */
  readonly revision: number | undefined;
  readonly fault: ItemFault;
}

/** An item, or an answer that should hold items, is not valid. */
export class InvalidItemError extends Error {
  override readonly name = 'InvalidItemError';
  readonly code = 'INVALID_ITEM';

  constructor(readonly fault: ItemFault) {
    super(`${fault.path}: found ${fault.found}, expected ${fault.expected}`);
  }
}

/** A value as {@link ItemFault.found} tells it: a scalar cut short, and only the kind of anything else. */
export function describeFound(value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  return showValue(value) ?? (Array.isArray(value) ? 'a list' : 'an object');
}

/** A key as {@link RefusedItem.key} tells it. */
export function shortKey(key: string): string {
  return key.length > MAX_SHOWN_KEY_LENGTH ? `${key.slice(0, MAX_SHOWN_KEY_LENGTH)}...` : key;
}
