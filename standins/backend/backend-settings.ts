/** Settings of the back end stand-in, all of which can change while it runs. */
import { z } from 'zod';

/** How long a request works when it does not say so itself. */
const workSchema = z.discriminatedUnion('distribution', [
  z.strictObject({ distribution: z.literal('fixed'), workMs: z.number().min(0) }),
  z.strictObject({
    distribution: z.literal('uniform'),
    minMs: z.number().min(0),
    maxMs: z.number().min(0),
  }),
  z.strictObject({ distribution: z.literal('exponential'), meanMs: z.number().min(0) }),
]);

/** Load as the back end reports it. */
const reportedLoadSchema = z.strictObject({
  inFlight: z.number().int().min(0),
  slots: z.number().int().min(0),
});

const backendSettingsSchema = z.strictObject({
  /** Requests that run at once. */
  slots: z.number().int().min(0),
  /** Connections at once; one over it is accepted and closed. */
  maxConnections: z.number().int().min(0),
  /** Delay before the first request on a new connection. */
  connectionCostMs: z.number().min(0),
  /** Time after a cold start during which work takes longer. */
  coldStartMs: z.number().min(0),
  /** How many times longer work takes while cold. */
  coldStartFactor: z.number().min(1),
  /** Share of new requests that are refused although slots are free. */
  shedPercent: z.number().min(0).max(100),
  /** Refuses new requests while those in flight finish. */
  draining: z.boolean(),
  /** What `/health` says; null tells the truth. */
  reportedHealthy: z.boolean().nullable(),
  /** What `/load` and `x-load` say; null tells the truth. */
  reportedLoad: reportedLoadSchema.nullable(),
  /** How old the load is that `/load` and `x-load` tell. */
  loadLagMs: z.number().min(0),
  work: workSchema,
  /** Size of an answer's body when the request does not say so itself. */
  answerBytes: z.number().int().min(0),
});

/** `POST /settings`: whatever is named changes. */
export const backendChangeSchema = backendSettingsSchema.partial();

export type BackendSettings = z.infer<typeof backendSettingsSchema>;
export type ReportedLoad = z.infer<typeof reportedLoadSchema>;

export type BackendChange = z.infer<typeof backendChangeSchema>;

/** Settings of a back end that is told nothing else. */
export const DEFAULT_BACKEND_SETTINGS: BackendSettings = {
  slots: 20,
  maxConnections: 130,
  connectionCostMs: 1,
  coldStartMs: 0,
  coldStartFactor: 5,
  shedPercent: 0,
  draining: false,
  reportedHealthy: null,
  reportedLoad: null,
  loadLagMs: 0,
  work: { distribution: 'fixed', workMs: 2 },
  answerBytes: 256,
};

/** The settings after a change. */
export function changedSettings(settings: BackendSettings, change: BackendChange): BackendSettings {
  return backendSettingsSchema.parse({ ...settings, ...change });
}

/** Draws a work time; `random` is uniform in [0, 1). */
export function drawWorkMs(work: BackendSettings['work'], random: () => number): number {
  switch (work.distribution) {
    case 'fixed':
      return work.workMs;
    case 'uniform':
      return work.minMs + random() * (work.maxMs - work.minMs);
    case 'exponential':
      return -Math.log(1 - random()) * work.meanMs;
  }
}
