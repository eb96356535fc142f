/** Formats values for fault messages. Callers must exclude values that may be secrets. */

/** Maximum length of a formatted value, in characters. */
const MAX_SHOWN_VALUE_LENGTH = 80;

/** Returns a scalar as truncated JSON text; undefined for a missing value, a list or a section. */
export function showValue(value: unknown): string | undefined {
  if (value === undefined || (typeof value === 'object' && value !== null)) {
    return undefined;
  }
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_VALUE_LENGTH
    ? `${text.slice(0, MAX_SHOWN_VALUE_LENGTH)}...`
    : text;
}

/** Returns the value at `path` in `root`; undefined if there is none. */
export function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const name of path) {
    value = typeof value === 'object' && value !== null ? Reflect.get(value, name) : undefined;
  }
  return value;
}
