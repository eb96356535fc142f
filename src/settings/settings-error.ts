/** Validation errors of settings, with file, path, value and expectation. */

export interface SettingsFault {
  /** Dotted path of the setting; empty if the fault concerns the entire file. */
  readonly path: string;
  /** The value as truncated JSON text; absent if it is missing or may be a secret. */
  readonly value?: string;
  /** Describes the expected value. */
  readonly expected: string;
}

/** Maximum number of faults listed in a message; any others are only counted. */
const MAX_LISTED_FAULTS = 20;

/** Thrown when settings are rejected as a whole. Neither the faults nor the message contain secrets. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
  readonly code = 'INVALID_SETTINGS';

  constructor(
    /** Name of the settings file, or `(flags)`. */
    readonly file: string,
    readonly faults: readonly SettingsFault[],
  ) {
    super(describe(file, faults));
  }
}

function describe(file: string, faults: readonly SettingsFault[]): string {
  const lines = faults.slice(0, MAX_LISTED_FAULTS).map((fault) => describeFault(file, fault));
  const unlistedCount = faults.length - lines.length;
  return [...lines, ...(unlistedCount > 0 ? [`${file}: and ${unlistedCount} more`] : [])].join(
    '\n',
  );
}

function describeFault(file: string, fault: SettingsFault): string {
  const location = fault.path === '' ? file : `${file}: ${fault.path}`;
  const value = fault.value === undefined ? '' : ` = ${fault.value}`;
  return `${location}${value}: ${fault.expected}`;
}
