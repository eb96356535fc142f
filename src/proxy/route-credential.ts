/** The credential that a route adds to its requests, taken from a secret. */
import type { Snapshot } from '../model/snapshot.js';
import type { RouteMatch } from '../routing/route-table.js';

/** Adds the route's credential and removes one that the caller sent. */
export function withCredential(
  headers: readonly string[],
  match: RouteMatch,
  snapshot: Snapshot,
): readonly string[] {
  const { credential } = match.route.spec;
  const secret = credential && snapshot.secrets.get(credential.secret);
  if (credential === undefined || secret === undefined) {
    return headers;
  }
  const otherHeaders: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() !== credential.header) {
      otherHeaders.push(name, headers[index + 1] ?? '');
    }
  }
  return [...otherHeaders, credential.header, secret.spec.value];
}
