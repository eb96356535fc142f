/** Values as faults show them. Callers must leave out values that may be secret. */

/** Longest value shown, in characters. */
const MAX_SHOWN_VALUE_LENGTH = 80;

/** A scalar as JSON text, cut short; undefined for a missing value, a list or a section. */
export function showValue(value: unknown): string | undefined {
  if (value === undefined || (typeof value === 'object' && value !== null)) {
    return undefined;
  }
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_VALUE_LENGTH
    ? `${text.slice(0, MAX_SHOWN_VALUE_LENGTH)}...`
    : text;
}

/** The member of `root` at `path`; undefined where there is none. */
export function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const name of path) {
    value = typeof value === 'object' && value !== null ? Reflect.get(value, name) : undefined;
  }
  return value;
}
