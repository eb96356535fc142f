/** Validation errors of configuration documents. */

export interface ConfigurationFault {
  /** Location of the fault, as `kind/name` or a path such as `resources.3.spec.port`. */
  readonly path: string;
  /** Describes the fault and the expected value. Never contains a secret's value. */
  readonly reason: string;
}

/** Maximum number of faults listed in an error message; any others are only counted. */
export const MAX_LISTED_FAULTS = 20;

/** Thrown when a configuration is rejected as a whole. */
export class InvalidConfigurationError extends Error {
  override readonly name = 'InvalidConfigurationError';
  readonly code = 'INVALID_CONFIGURATION';

  constructor(readonly faults: readonly ConfigurationFault[]) {
    super(describeFaults(faults));
  }
}

function describeFaults(faults: readonly ConfigurationFault[]): string {
  const listed = faults
    .slice(0, MAX_LISTED_FAULTS)
    .map((fault) => `${fault.path}: ${fault.reason}`);
  const unlistedCount = faults.length - listed.length;
  return unlistedCount > 0 ? `${listed.join('; ')}; and ${unlistedCount} more` : listed.join('; ');
}
