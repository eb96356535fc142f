/** Canonical JSON: object keys sorted, no white space, so that equal values have equal text. */

/** The canonical text of a JSON value; `undefined` members are left out. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(sorted(value));
}

function sorted(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sorted);
  }
  if (value === null || typeof value !== 'object') {
    return value;
  }
  const members = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(members.map(([key, member]) => [key, sorted(member)]));
}
