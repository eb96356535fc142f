/** Individual settings that override those of a settings file. */
import { SettingsError } from './settings-error.js';

/** The dotted path of a setting and its value. */
export interface SettingOverride {
  readonly path: string;
  readonly value: unknown;
}

/** A map of settings. */
export type SettingsSection = Record<string, unknown>;

export function isSection(value: unknown): value is SettingsSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Returns a copy of `content` with the overrides applied. Missing sections are created. Throws
 * {@link SettingsError} if a path passes through a value that is not a section.
 */
export function withOverrides(
  file: string,
  content: SettingsSection,
  overrides: readonly SettingOverride[],
): SettingsSection {
  const copy = structuredClone(content);
  for (const { path, value } of overrides) {
    const names = path.split('.');
    const last = names.pop() ?? '';
    let section = copy;
    for (const name of names) {
      const next = Object.hasOwn(section, name) ? section[name] : {};
      if (!isSection(next)) {
        throw new SettingsError(file, [{ path, expected: `expected ${name} to be a section` }]);
      }
      defineMember(section, name, next);
      section = next;
    }
    defineMember(section, last, value);
  }
  return copy;
}

/** Defines an own property, so that `__proto__` is also set and then rejected by the schema. */
function defineMember(section: SettingsSection, name: string, value: unknown): void {
  Object.defineProperty(section, name, {
    value,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}
