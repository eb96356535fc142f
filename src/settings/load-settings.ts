/** Loads settings from a file and from flags, which take precedence over the file. */
import { dirname } from 'node:path';
import type { z } from 'zod';
import { readCertificates } from './certificates.js';
import { readDocument, readTextFile, type FileReader } from './read-document.js';
import { isSecretPath } from './secret-settings.js';
import { isSection, withOverrides, type SettingOverride } from './setting-override.js';
import { SettingsError, type SettingsFault } from './settings-error.js';
import { completeSettings, settingsSchema, type Settings } from './settings.js';
import { showValue, valueAt } from './shown-value.js';

/** Maximum size of a settings file, in bytes. */
export const MAX_SETTINGS_FILE_BYTES = 1_048_576;
/** File name in errors if no settings file is given. */
const NO_FILE = '(flags)';

/**
 * Loads settings from `file`, if given, and applies `overrides`. Throws {@link SettingsError} with every fault.
 */
export function loadSettings(
  file: string | undefined,
  overrides: readonly SettingOverride[] = [],
  readFile: FileReader = readTextFile,
): Settings {
  const name = file ?? NO_FILE;
  const content = file === undefined ? {} : readDocument(file, MAX_SETTINGS_FILE_BYTES, readFile);
  if (!isSection(content)) {
    throw new SettingsError(name, [{ path: '', expected: 'expected a map of settings' }]);
  }
  return settingsFromValue(name, withOverrides(name, content, overrides), readFile);
}

/** Validates the parsed content of `file` and reads the certificates. Throws {@link SettingsError}. */
export function settingsFromValue(
  file: string,
  value: unknown,
  readFile: FileReader = readTextFile,
): Settings {
  const settings = parseSettings(file, value);
  if (settings.tls === undefined) {
    return settings;
  }
  const { tls, faults } = readCertificates(settings.tls, dirname(file), readFile);
  if (faults.length > 0) {
    throw new SettingsError(file, faults);
  }
  return { ...settings, tls };
}

/** Validates a parsed value; `file` is used in error messages. Throws {@link SettingsError}. */
export function parseSettings(file: string, value: unknown): Settings {
  const parsed = settingsSchema.safeParse(value, { reportInput: false });
  if (!parsed.success) {
    const faults = parsed.error.issues.flatMap((issue) => faultsOf(issue, value));
    throw new SettingsError(file, faults);
  }
  return completeSettings(parsed.data);
}

function faultsOf(issue: z.core.$ZodIssue, root: unknown): SettingsFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((name) => ({
      path: [...issue.path, name].map(String).join('.'),
      expected: 'no such setting',
    }));
  }
  const path = issue.path.map(String).join('.');
  const value = isSecretPath(path) ? undefined : showValue(valueAt(root, issue.path));
  return [{ path, expected: issue.message, ...(value === undefined ? {} : { value }) }];
}
