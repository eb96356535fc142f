/** Shapes of the resource API's answers, as the commands read them. */
import { z } from 'zod';
import type { Verdict } from '../model/verdict.js';
import { AdminConnectionError } from './admin-error.js';

/** One resource. */
export const resourceAnswerSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.string(),
  spec: z.record(z.string(), z.unknown()),
});

/** A list of one kind. */
export const listAnswerSchema = z.object({
  cursor: z.string(),
  items: z.array(resourceAnswerSchema),
});

/** An accepted write. */
const acceptedAnswerSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.string().optional(),
  operatorRevision: z.number(),
});

/** Requests under suspicion. */
export const suspicionsAnswerSchema = z.object({
  items: z.array(
    z.object({
      fingerprint: z.string(),
      standing: z.enum(['clear', 'suspect', 'accused', 'contained']),
      ageMs: z.number(),
      containedForMs: z.number(),
      crashes: z.array(z.string()),
      cleared: z.array(z.string()),
    }),
  ),
});

const versionSchema = z.object({ number: z.number(), digest: z.string() });

/** The parts of a status that the text form shows. */
export const statusAnswerSchema = z.object({
  cursor: z.string(),
  node: z.object({ id: z.string(), address: z.string(), zone: z.string(), region: z.string() }),
  uptimeMs: z.number(),
  held: z.record(z.string(), versionSchema),
  source: z.object({
    isReader: z.boolean(),
    sinceLastAnswerMs: z.number().optional(),
    isStale: z.boolean(),
    rejected: z.object({ version: versionSchema, reason: z.string() }).optional(),
  }),
  suspended: z.array(z.object({ path: z.string(), reason: z.string() })),
  members: z.array(z.object({ status: z.string() })),
  endpoints: z.array(
    z.object({
      name: z.string(),
      service: z.string(),
      state: z.string(),
      rateLimit: z
        .object({ maxRatePerS: z.number(), recentlySent: z.number(), refused: z.number() })
        .optional(),
    }),
  ),
  convergence: z.object({ neighbours: z.number(), neighboursAtHeldVersions: z.number() }),
});

/** One line of a watch. */
export const watchLineSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('upsert'), kind: z.string(), name: z.string(), version: z.string() }),
  z.object({ type: z.literal('delete'), kind: z.string(), name: z.string() }),
  z.object({ type: z.literal('bookmark'), cursor: z.string() }),
  z.object({ type: z.literal('end'), code: z.string(), message: z.string() }),
]);

export type WatchLine = z.infer<typeof watchLineSchema>;

/** Checks the answer to a read; throws {@link AdminConnectionError} when it has another shape. */
export function readAnswer<T extends z.ZodType>(schema: T, value: unknown): z.infer<T> {
  return parseAnswer(schema, value, 'not-run');
}

/** Checks the answer to a write, which may have been accepted even if the answer is unreadable. */
export function readAccepted(value: unknown): z.infer<typeof acceptedAnswerSchema> {
  return parseAnswer(acceptedAnswerSchema, value, 'may-have-run');
}

function parseAnswer<T extends z.ZodType>(schema: T, value: unknown, verdict: Verdict): z.infer<T> {
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    throw new AdminConnectionError('the answer is not one of a ferryspool node', verdict);
  }
  return parsed.data;
}
