/**
 * Resources: the unit operators create and the configuration source publishes.
 * Shapes and bounds are checked by zod schemas; references between resources are
 * checked by {@link ./snapshot.ts}.
 */
import { z } from 'zod';
import { DEFAULT_REQUEST_TIMEOUT_MS } from './resource-key.js';

export {
  DEFAULT_REQUEST_TIMEOUT_MS,
  RESOURCE_KINDS,
  resourceKey,
  type ResourceKey,
} from './resource-key.js';

/** Longest resource name, in characters. */
export const MAX_NAME_LENGTH = 128;
/** Longest secret value, in characters. */
export const MAX_SECRET_LENGTH = 8192;
/** Longest time a service or route may give a request, in milliseconds. */
export const MAX_REQUEST_TIMEOUT_MS = 600_000;

/** Lower-case DNS-like names, so that a name is safe in a URL path and in a metric label. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/, 'expected lower-case letters, digits, ".", "_", "-"');

/** Longest time for which a service may say that its endpoints are cold, in milliseconds. */
const MAX_COLD_START_MS = 3_600_000;
const MAX_RATE_PER_S = 1_000_000;
/** Most targets of one route. */
const MAX_ROUTE_TARGETS = 16;
/** Largest rank of a route: the least urgent. */
const MAX_PRIORITY = 100;
/** Most endpoints that one request may be sent to. */
const MAX_ATTEMPTS = 10;

const timeoutSchema = z.number().int().min(1).max(MAX_REQUEST_TIMEOUT_MS);

/** How an endpoint that has just started, or has been idle for long, may be loaded at first. */
export const coldStartSchema = z
  .strictObject({
    /** How long an endpoint stays cold, in milliseconds. */
    durationMs: z.number().min(0).max(MAX_COLD_START_MS),
    /** Requests that a cold endpoint bears in a second, for as long as it is cold. */
    ratePerS: z.number().gt(0).max(MAX_RATE_PER_S),
    /** Requests that a cold endpoint may be sent within any one second, by all nodes together. */
    maxInSecond: z.number().min(1).max(MAX_RATE_PER_S),
  })
  .refine(({ ratePerS, maxInSecond }) => ratePerS <= maxInSecond, {
    path: ['maxInSecond'],
    error: 'expected the rate at least',
  });

/** A named group of interchangeable endpoints. */
export const serviceSpecSchema = z.strictObject({
  /** Time a request may take when the caller gives no deadline, in milliseconds. */
  requestTimeoutMs: timeoutSchema.default(DEFAULT_REQUEST_TIMEOUT_MS),
  /** Retries allowed, as a percentage of first attempts. */
  retryBudgetPercent: z.number().min(0).max(100).default(20),
  /** Absent for a service whose endpoints start warm. */
  coldStart: coldStartSchema.optional(),
});

/** Adds a credential to every request of a route, from a secret. */
export const credentialSchema = z.strictObject({
  secret: nameSchema,
  /** Request header that carries the secret's value to the endpoint. */
  header: z.string().regex(/^[a-z0-9-]+$/, 'expected a lower-case header name'),
});

/** A service that gets a share of a route's requests. */
export const routeTargetSchema = z.strictObject({
  service: nameSchema,
  /** Share of the requests, in proportion to the other targets' weights. */
  weight: z.number().min(0).max(1_000_000),
});

/** Which requests go to which service. The longest path prefix wins, then a named host. */
export const routeSpecSchema = z.strictObject({
  /** Host names matched exactly; empty matches every host. */
  hosts: z.array(z.string().min(1).max(253)).max(64).default([]),
  pathPrefix: z.string().startsWith('/').max(1024),
  /** Upper-case methods; empty matches every method. */
  methods: z
    .array(z.string().regex(/^[A-Z]+$/))
    .max(16)
    .default([]),
  /** Gets every request, unless `targets` divides them. */
  service: nameSchema,
  /** Services that share the route's requests by weight; `service` is one of them. */
  targets: z.array(routeTargetSchema).min(1).max(MAX_ROUTE_TARGETS).optional(),
  /** Whether a request may run more than once; absent means by method (GET, HEAD, OPTIONS may). */
  repeatable: z.boolean().optional(),
  timeoutMs: timeoutSchema.optional(),
  /** Time within which an answer is worth most to the caller, in milliseconds. */
  targetLatencyMs: timeoutSchema.optional(),
  /** Rank among the requests that wait for one endpoint; 0 goes first. */
  priority: z.number().int().min(0).max(MAX_PRIORITY).optional(),
  /** Endpoints to which one request of a caller may be sent, the first included. */
  maxAttempts: z.number().int().min(1).max(MAX_ATTEMPTS).optional(),
  credential: credentialSchema.optional(),
});

/** One back end of a service. */
export const endpointSpecSchema = z.strictObject({
  service: nameSchema,
  address: z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP number' }),
  port: z.number().int().min(1).max(65_535),
  zone: nameSchema,
  region: nameSchema,
  /** Identity of the machine whose node runs beside this endpoint; absent when there is none. */
  machine: nameSchema.optional(),
  /** Requests the endpoint runs at once. */
  slots: z.number().int().min(1).max(100_000),
  /** Connections the endpoint accepts at once. */
  maxConnections: z.number().int().min(1).max(100_000),
  /**
   * When the endpoint's process started, in milliseconds since 1970; absent when it is not told. An endpoint
   * that starts again under its name is another one, see {@link ./incarnation.ts}.
   */
  bornAtMs: z.number().int().min(0).optional(),
  /** For how much longer the endpoint is cold, in milliseconds, from when this was told; 0 when it is warm. */
  coldForMs: z.number().min(0).max(MAX_COLD_START_MS).optional(),
  state: z.enum(['active', 'draining']).default('active'),
});

/** A value that routes depend on. It never appears in logs, metrics or lists. */
export const secretSpecSchema = z.strictObject({
  value: z.string().min(1).max(MAX_SECRET_LENGTH),
});

/** A zone whose endpoints get no new work while the resource stands; it has the zone's name. */
export const evacuationSpecSchema = z.strictObject({});

/** One resource of any kind, told apart by `kind`. */
export const resourceSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('service'), name: nameSchema, spec: serviceSpecSchema }),
  z.strictObject({ kind: z.literal('route'), name: nameSchema, spec: routeSpecSchema }),
  z.strictObject({ kind: z.literal('endpoint'), name: nameSchema, spec: endpointSpecSchema }),
  z.strictObject({ kind: z.literal('secret'), name: nameSchema, spec: secretSpecSchema }),
  z.strictObject({ kind: z.literal('evacuation'), name: nameSchema, spec: evacuationSpecSchema }),
]);

export type ServiceSpec = z.infer<typeof serviceSpecSchema>;
export type ColdStart = z.infer<typeof coldStartSchema>;
export type RouteTarget = z.infer<typeof routeTargetSchema>;
export type RouteSpec = z.infer<typeof routeSpecSchema>;
export type EndpointSpec = z.infer<typeof endpointSpecSchema>;
export type SecretSpec = z.infer<typeof secretSpecSchema>;
export type Resource = z.infer<typeof resourceSchema>;
export type ResourceKind = Resource['kind'];
export type Service = Extract<Resource, { kind: 'service' }>;
export type Route = Extract<Resource, { kind: 'route' }>;
export type Endpoint = Extract<Resource, { kind: 'endpoint' }> & {
  /** Whether the endpoint's zone is evacuated; set where a snapshot indexes its endpoints. */
  readonly isEvacuated?: boolean;
};
export type Secret = Extract<Resource, { kind: 'secret' }>;
