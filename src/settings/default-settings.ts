/** All defaults, as a document that an operator can start from. */
import { settingsSchema } from './settings.js';

/** Stands in place of each setting that has no default. */
export const REQUIRED_VALUE = '(required)';

/** Stands in place of what is required once the optional section is there. */
export const REQUIRED_IN_SECTION_VALUE = '(required if this section is given)';

/** Every setting with its default; required ones are marked. */
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
