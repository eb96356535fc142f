/**
 * Resource versions: opaque tokens for preconditions, equal on every node that holds equal content.
 * They are keyed, so that the version of a secret cannot be used to test guesses of its value.
 */
import { createHmac } from 'node:crypto';
import { canonicalJson } from '../model/canonical-json.js';
import { resourceKey, type Resource } from '../model/resource.js';

/** Length of a version, in hexadecimal digits. */
const VERSION_DIGITS = 24;
/** Separates these digests from other uses of the fleet key. */
const PURPOSE = 'ferryspool resource version\0';

/** Returns the version of a resource. */
export type ResourceVersioner = (resource: Resource) => string;

/** Creates a versioner keyed with the fleet key, so that all nodes of a fleet compute equal versions. */
export function createResourceVersioner(fleetKey: string): ResourceVersioner {
  return (resource) =>
    createHmac('sha256', fleetKey)
      .update(PURPOSE)
      .update(`${resourceKey(resource)}\0`)
      .update(canonicalJson(resource))
      .digest('hex')
      .slice(0, VERSION_DIGITS);
}
