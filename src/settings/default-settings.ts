/** Default settings as a template for a settings file. */
import { settingsSchema } from './settings.js';

/** Placeholder for a required setting, which has no default. */
export const REQUIRED_VALUE = '(required)';

/** Placeholder for a setting that is required if its optional section is present. */
export const REQUIRED_IN_SECTION_VALUE = '(required if this section is given)';

/** Returns all settings with their defaults, and placeholders for the required ones. */
export function defaultSettings(): Record<string, unknown> {
  const placeholder = {
    machine: { id: 'id', address: '127.0.0.1', zone: 'zone', region: 'region' },
    fleetKey: '0'.repeat(16),
    platform: { configurationUrl: 'http://127.0.0.1/', machinesUrl: 'http://127.0.0.1/' },
  };
  const parsed = settingsSchema.parse(placeholder);
  const required = Object.keys(placeholder.machine).map((name) => [name, REQUIRED_VALUE]);
  return {
    ...parsed,
    machine: Object.fromEntries(required),
    fleetKey: REQUIRED_VALUE,
    platform: {
      ...parsed.platform,
      configurationUrl: REQUIRED_IN_SECTION_VALUE,
      machinesUrl: REQUIRED_IN_SECTION_VALUE,
    },
  };
}
