/** Commands of the platform stand-in's control port. */
import { z } from 'zod';
import { machineListSchema } from '../../src/model/machine.js';

/** How the platform fails. */
export const OUTAGE_MODES = ['none', 'refuse', 'unavailable', 'hang'] as const;

/**
 * - `refuse`: connections are reset at once.
 * - `unavailable`: every read is answered 503.
 * - `hang`: reads are never answered.
 */
export type OutageMode = (typeof OUTAGE_MODES)[number];

/** `POST /configuration`: a whole document, or any text under any version. */
export const publishSchema = z.union([
  z.strictObject({ document: z.looseObject({ version: z.number().int() }) }),
  z.strictObject({ raw: z.string(), version: z.number().int() }),
]);

/** `POST /machines`: the whole list. */
export const publishMachinesSchema = machineListSchema;

/** `POST /settings`: whatever is named changes. */
export const platformSettingsSchema = z.strictObject({
  outage: z.enum(OUTAGE_MODES).optional(),
  /** Version to serve in place of the newest; null serves the newest again. */
  staleVersion: z.number().int().nullable().optional(),
  /** Time from a read's arrival to its answer. */
  answerDelayMs: z.number().min(0).optional(),
  machinesLagMs: z.number().min(0).optional(),
  readerBound: z.number().int().min(0).optional(),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;
export type Publication = z.infer<typeof publishSchema>;
