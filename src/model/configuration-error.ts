/** Why a configuration document was refused, in a form that names the place. */

/** One fault in a document. */
export interface ConfigurationFault {
  /** Where, as `kind/name` or a path such as `resources.3.spec.port`. */
  readonly path: string;
  /** What is wrong and what was expected. Never contains a secret's value. */
  readonly reason: string;
}

/** Faults listed in an error at most; the rest are only counted. */
export const MAX_LISTED_FAULTS = 20;

/** A configuration that is refused whole. */
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
  const rest = faults.length - listed.length;
  return rest > 0 ? `${listed.join('; ')}; and ${rest} more` : listed.join('; ');
}
