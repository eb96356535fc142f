/**
 * Resource versions: opaque tokens for preconditions, equal on every node that holds equal content.
 * They are keyed, so that the version of a secret does not let anyone test guesses of its value.
 */
import { createHmac } from 'node:crypto';
import { canonicalJson } from '../model/canonical-json.js';
import { resourceKey, type Resource } from '../model/resource.js';

/** Length of a version, in hexadecimal digits. */
const VERSION_DIGITS = 24;
/** Keeps these digests apart from other uses of the fleet key. */
const PURPOSE = 'ferryspool resource version\0';

/** Gives the version of a resource. */
export type ResourceVersioner = (resource: Resource) => string;

/** Versions under the fleet's key: all nodes of one fleet agree on them. */
export function createResourceVersioner(fleetKey: string): ResourceVersioner {
  return (resource) =>
    createHmac('sha256', fleetKey)
      .update(PURPOSE)
      .update(`${resourceKey(resource)}\0`)
      .update(canonicalJson(resource))
      .digest('hex')
      .slice(0, VERSION_DIGITS);
}
