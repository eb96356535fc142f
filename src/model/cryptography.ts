/**
 * Node's cryptography, loaded at its first use: a start that needs none would pay a sixth of its time
 * for it, and fleets start many nodes at once.
 */
import type crypto from 'node:crypto';

/** The module. */
export function cryptography(): typeof crypto {
  return process.getBuiltinModule('node:crypto');
}
