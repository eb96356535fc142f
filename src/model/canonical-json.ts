/** Canonical JSON: sorted object keys and no white space, so that equal values have equal text. */

/** Serialises a JSON value. Members that are `undefined` are omitted. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(sortKeys(value));
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortKeys);
  }
  if (value === null || typeof value !== 'object') {
    return value;
  }
  const members = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(members.map(([key, member]) => [key, sortKeys(member)]));
}
