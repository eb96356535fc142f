/** Settings given one by one, on top of a file. */
import { SettingsError } from './settings-error.js';

/** One setting: a dotted path and its value. */
export interface SettingOverride {
  readonly path: string;
  readonly value: unknown;
}

/** A map of settings. */
export type SettingsSection = Record<string, unknown>;

/** Whether `value` is a map of settings. */
export function isSection(value: unknown): value is SettingsSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * A copy of `content` with every override set; sections are made where they are missing. Throws
 * {@link SettingsError} when a path leads through a value that is no section.
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

/** Sets an own member, also one named `__proto__`, which the schema then refuses. */
function defineMember(section: SettingsSection, name: string, value: unknown): void {
  Object.defineProperty(section, name, {
    value,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}
