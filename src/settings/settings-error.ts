/** Why settings were refused, in a form that names file, path, value and what was expected. */

/** One fault. */
export interface SettingsFault {
  /** Dotted path of the setting; empty for the file as a whole. */
  readonly path: string;
  /** The value as JSON text, cut short; absent where it is missing or may be a secret. */
  readonly value?: string;
  /** What was expected instead. */
  readonly expected: string;
}

/** Faults listed in a message at most; the rest are only counted. */
const MAX_LISTED_FAULTS = 20;

/** Settings that are refused whole. Neither faults nor message contain a secret. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
  readonly code = 'INVALID_SETTINGS';

  constructor(
    /** The settings file, or `(flags)`. */
    readonly file: string,
    readonly faults: readonly SettingsFault[],
  ) {
    super(describe(file, faults));
  }
}

function describe(file: string, faults: readonly SettingsFault[]): string {
  const lines = faults.slice(0, MAX_LISTED_FAULTS).map((fault) => describeFault(file, fault));
  const rest = faults.length - lines.length;
  return [...lines, ...(rest > 0 ? [`${file}: and ${rest} more`] : [])].join('\n');
}

function describeFault(file: string, fault: SettingsFault): string {
  const place = fault.path === '' ? file : `${file}: ${fault.path}`;
  const value = fault.value === undefined ? '' : ` = ${fault.value}`;
  return `${place}${value}: ${fault.expected}`;
}
