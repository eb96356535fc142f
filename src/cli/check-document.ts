/** Tells settings from configuration documents, and checks either. */
import { InvalidConfigurationError } from '../model/configuration-error.js';
import { parseSourceDocument, type SourceDocument } from '../model/source-document.js';
import { settingsFromValue } from '../settings/load-settings.js';
import { MASKED_VALUE, maskSecrets } from '../settings/secret-settings.js';
import { SettingsError, type SettingsFault } from '../settings/settings-error.js';
import { showValue, valueAt } from '../settings/shown-value.js';

/** What a file was found to be, in a form that can be printed. */
export interface CheckedDocument {
  readonly kind: 'settings' | 'configuration';
  /** Complete content, with secrets masked. */
  readonly printable: unknown;
}

/** Checks a parsed file; throws {@link SettingsError} that lists every fault. */
export function checkDocument(file: string, value: unknown): CheckedDocument {
  if (isConfigurationDocument(value)) {
    return { kind: 'configuration', printable: maskDocument(parseConfiguration(file, value)) };
  }
  return { kind: 'settings', printable: maskSecrets(settingsFromValue(file, value)) };
}

/** A configuration document has `resources` or `version`; no settings file has either. */
function isConfigurationDocument(value: unknown): boolean {
  return (
    typeof value === 'object' && value !== null && ('resources' in value || 'version' in value)
  );
}

function parseConfiguration(file: string, value: unknown): SourceDocument {
  try {
    return parseSourceDocument(value);
  } catch (error) {
    if (!(error instanceof InvalidConfigurationError)) {
      throw error;
    }
    const faults = error.faults.map(({ path, reason }): SettingsFault => {
      const shown = isInsideSecret(value, path) ? undefined : showValue(valueOf(value, path));
      return { path, expected: reason, ...(shown === undefined ? {} : { value: shown }) };
    });
    throw new SettingsError(file, faults);
  }
}

function valueOf(document: unknown, path: string): unknown {
  return valueAt(document, path.split('.'));
}

/** Whether the fault may lie in a secret: in doubt, for an unknown kind, it does. */
function isInsideSecret(document: unknown, path: string): boolean {
  const [list, index] = path.split('.');
  if (list !== 'resources' || index === undefined) {
    return false;
  }
  const kind = valueAt(document, [list, index, 'kind']);
  return kind !== 'service' && kind !== 'route' && kind !== 'endpoint';
}

function maskDocument(document: SourceDocument): SourceDocument {
  const resources = document.resources.map((resource) =>
    resource.kind === 'secret' ? { ...resource, spec: { value: MASKED_VALUE } } : resource,
  );
  return { ...document, resources };
}
