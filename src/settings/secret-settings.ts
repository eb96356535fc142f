/** Identifies and masks secret settings. */

/** Replaces secrets in printed settings. */
export const MASKED_VALUE = '(secret)';

const SECRET_PATHS: ReadonlySet<string> = new Set(['fleetKey', 'adminToken', 'tls.keyPem']);

/**
 * Whether the value at `path`, or part of it, may be a secret. This includes the `tls` section, which contains
 * the private key.
 */
export function isSecretPath(path: string): boolean {
  return path === '' || path === 'tls' || SECRET_PATHS.has(path);
}

/** Returns a copy of `settings` with secrets masked, for printing. */
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
