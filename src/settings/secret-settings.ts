/** Which settings are secrets, and settings with their secrets masked. */

/** Stands in place of a secret wherever settings are printed. */
export const MASKED_VALUE = '(secret)';

const SECRET_PATHS: ReadonlySet<string> = new Set(['fleetKey', 'adminToken', 'tls.keyPem']);

/**
 * Whether the value at `path`, or part of it, may be a secret. A whole `tls` section counts: its
 * value holds the private key.
 */
export function isSecretPath(path: string): boolean {
  return path === '' || path === 'tls' || SECRET_PATHS.has(path);
}

/** A copy of `settings` that can be printed. */
export function maskSecrets(settings: object, prefix = ''): Record<string, unknown> {
  const members = Object.entries(settings).map(([name, value]: [string, unknown]) => {
    const path = prefix === '' ? name : `${prefix}.${name}`;
    return [name, maskValue(path, value)] as const;
  });
  return Object.fromEntries(members);
}

function maskValue(path: string, value: unknown): unknown {
  if (SECRET_PATHS.has(path)) {
    return MASKED_VALUE;
  }
  const isSection = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isSection ? maskSecrets(value, path) : value;
}
