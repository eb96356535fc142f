/** Loads settings from one file and from flags, which win over the file. */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import type { z } from 'zod';
import { DocumentSyntaxError, parseDocumentText } from './parse-document.js';
import { isSecretPath } from './secret-settings.js';
import { showValue, valueAt } from './shown-value.js';
import { SettingsError, type SettingsFault } from './settings-error.js';
import { completeSettings, settingsSchema, type Settings } from './settings.js';

/** Largest settings file, in bytes. */
export const MAX_SETTINGS_FILE_BYTES = 1_048_576;
/** Stands in place of a file name when there is none. */
const NO_FILE = '(flags)';
/** Text by which PEM is told from a file path. */
const PEM_MARK = '-----BEGIN';

/** One setting given by a flag: a dotted path and its value. */
export interface SettingOverride {
  readonly path: string;
  readonly value: unknown;
}

/** Reads files; replaced in tests. Throws as `readFileSync` does. */
export type FileReader = (path: string) => string;

/**
 * Settings from `file`, when one is named, with `overrides` on top.
 * Throws {@link SettingsError} that lists every fault.
 */
export function loadSettings(
  file: string | undefined,
  overrides: readonly SettingOverride[] = [],
  readFile: FileReader = readTextFile,
): Settings {
  const name = file ?? NO_FILE;
  const content = file === undefined ? {} : readSettingsFile(file, readFile);
  const settings = parseSettings(name, withOverrides(name, content, overrides));
  return withCertificates(settings, name, readFile);
}

/** Checks a parsed value; `file` is named in faults. Throws {@link SettingsError}. */
export function parseSettings(file: string, value: unknown): Settings {
  const parsed = settingsSchema.safeParse(value, { reportInput: false });
  if (!parsed.success) {
    throw new SettingsError(
      file,
      parsed.error.issues.flatMap((issue) => faultsOf(issue, value)),
    );
  }
  return completeSettings(parsed.data);
}

function readTextFile(path: string): string {
  return readFileSync(path, 'utf8');
}

function readSettingsFile(file: string, readFile: FileReader): Record<string, unknown> {
  let text: string;
  try {
    text = readFile(file);
  } catch (error) {
    throw new SettingsError(file, [{ path: '', expected: unreadable(error) }]);
  }
  if (Buffer.byteLength(text) > MAX_SETTINGS_FILE_BYTES) {
    const expected = `expected at most ${MAX_SETTINGS_FILE_BYTES} bytes`;
    throw new SettingsError(file, [{ path: '', expected }]);
  }
  const value = parseText(file, text);
  if (!isSection(value)) {
    throw new SettingsError(file, [{ path: '', expected: 'expected a map of settings' }]);
  }
  return value;
}

function parseText(file: string, text: string): unknown {
  try {
    return parseDocumentText(text);
  } catch (error) {
    const expected = error instanceof DocumentSyntaxError ? error.message : 'expected YAML or JSON';
    throw new SettingsError(file, [{ path: '', expected }]);
  }
}

/** A copy of `content` with every override set; sections are made where they are missing. */
function withOverrides(
  file: string,
  content: Record<string, unknown>,
  overrides: readonly SettingOverride[],
): Record<string, unknown> {
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
function defineMember(section: Record<string, unknown>, name: string, value: unknown): void {
  Object.defineProperty(section, name, {
    value,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}

function withCertificates(settings: Settings, file: string, readFile: FileReader): Settings {
  const { tls } = settings;
  if (tls === undefined) {
    return settings;
  }
  const directory = file === NO_FILE ? '.' : dirname(file);
  const read = (name: keyof typeof tls): string =>
    tls[name].includes(PEM_MARK)
      ? tls[name]
      : readPem(file, `tls.${name}`, resolve(directory, tls[name]), readFile);
  return {
    ...settings,
    tls: {
      certificatePem: read('certificatePem'),
      keyPem: read('keyPem'),
      authorityPem: read('authorityPem'),
    },
  };
}

function readPem(file: string, path: string, pemFile: string, readFile: FileReader): string {
  let text: string;
  try {
    text = readFile(pemFile);
  } catch (error) {
    throw new SettingsError(file, [
      { path, expected: `expected a PEM file; ${unreadable(error)}` },
    ]);
  }
  if (!text.includes(PEM_MARK)) {
    throw new SettingsError(file, [{ path, expected: 'expected PEM text or a PEM file' }]);
  }
  return text;
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

function isSection(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Why a file cannot be read, without any of its content. */
function unreadable(error: unknown): string {
  const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
  return `expected a readable file (${code})`;
}
