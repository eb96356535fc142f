/**
 * Loads `node:crypto` at its first use. Loading it eagerly would account for a sixth of the start time of a
 * process that does not need it during startup, and fleets start many nodes at once.
 */
import type crypto from 'node:crypto';

export function cryptography(): typeof crypto {
  return process.getBuiltinModule('node:crypto');
}
