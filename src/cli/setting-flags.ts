/** Flags that stand for settings. Flags win over the settings file. */
import { DocumentSyntaxError, parseDocumentText } from '../settings/parse-document.js';
import type { SettingOverride } from '../settings/setting-override.js';
import { UsageError, type CommandFlags } from './command.js';
import { parseHostPort } from './host-port.js';

/** Flags whose value is taken as text. */
const TEXT_FLAGS = {
  machineId: 'machine.id',
  machineAddress: 'machine.address',
  zone: 'machine.zone',
  region: 'machine.region',
  logLevel: 'log.level',
} as const;

/** Flags whose value is a number. */
const NUMBER_FLAGS = {
  callerPort: 'ports.caller',
  relayPort: 'ports.relay',
  controlPort: 'ports.control',
  adminPort: 'ports.admin',
} as const;

/** The settings that flags give; `--set` comes last and wins. Throws {@link UsageError}. */
export function settingOverrides(flags: CommandFlags): SettingOverride[] {
  const overrides: SettingOverride[] = [];
  for (const [flag, path] of typedEntries(TEXT_FLAGS)) {
    const value = flags[flag];
    if (value !== undefined) {
      overrides.push({ path, value });
    }
  }
  for (const [flag, path] of typedEntries(NUMBER_FLAGS)) {
    const value = flags[flag];
    if (value !== undefined) {
      overrides.push({ path, value: scalar(path, value) });
    }
  }
  const seeds = flags.seed ?? [];
  if (seeds.length > 0) {
    overrides.push({ path: 'seeds', value: seeds.map(seed) });
  }
  return [...overrides, ...(flags.set ?? []).map(assignment)];
}

function seed(text: string): { address: string; controlPort: number } {
  const { host, port } = parseHostPort('--seed', text);
  return { address: host, controlPort: port };
}

/** Parses `path=value`; the value is YAML. */
function assignment(text: string): SettingOverride {
  const separator = text.indexOf('=');
  if (separator < 1) {
    throw new UsageError('--set: expected path=value');
  }
  const path = text.slice(0, separator);
  return { path, value: scalar(path, text.slice(separator + 1)) };
}

function scalar(path: string, text: string): unknown {
  try {
    return parseDocumentText(text);
  } catch (error) {
    const reason = error instanceof DocumentSyntaxError ? error.message : 'expected YAML';
    throw new UsageError(`${path}: ${reason}`);
  }
}

function typedEntries<K extends string, V>(record: Readonly<Record<K, V>>): [K, V][] {
  return Object.entries(record) as [K, V][];
}
