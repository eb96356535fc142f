/**
 * Schemas of the resources that operators create and the configuration source publishes. References between
 * resources are validated in {@link ./snapshot.ts}.
 */
import { z } from 'zod';
import { DEFAULT_REQUEST_TIMEOUT_MS } from './resource-key.js';

export {
  DEFAULT_REQUEST_TIMEOUT_MS,
  RESOURCE_KINDS,
  resourceKey,
  type ResourceKey,
} from './resource-key.js';

/** Maximum length of a resource name, in characters. */
export const MAX_NAME_LENGTH = 128;
/** Maximum length of a secret value, in characters. */
export const MAX_SECRET_LENGTH = 8192;
/** Maximum request timeout of a service or route, in milliseconds. */
export const MAX_REQUEST_TIMEOUT_MS = 600_000;

/** Lower-case, DNS-like names, which are safe in URL paths and metric labels. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/, 'expected lower-case letters, digits, ".", "_", "-"');

/** Maximum cold-start duration of a service's endpoints, in milliseconds. */
const MAX_COLD_START_MS = 86_400_000;
const MAX_RATE_PER_S = 1_000_000;
/** Maximum number of targets of a route. */
const MAX_ROUTE_TARGETS = 16;
/** Lowest priority of a route; 0 is the highest. */
const MAX_PRIORITY = 100;
/** Maximum number of endpoints to which a request may be sent. */
const MAX_ATTEMPTS = 10;

const timeoutSchema = z.number().int().min(1).max(MAX_REQUEST_TIMEOUT_MS);

/** Load limits for an endpoint that has just started or has been idle for a long time. */
export const coldStartSchema = z
  .strictObject({
    /** Duration for which an endpoint is cold, in milliseconds. */
    durationMs: z.number().min(0).max(MAX_COLD_START_MS),
    /** Sustained rate of requests per second that a cold endpoint can handle. */
    ratePerS: z.number().gt(0).max(MAX_RATE_PER_S),
    /** Maximum number of requests that all nodes together may send to a cold endpoint within any second. */
    maxInSecond: z.number().min(1).max(MAX_RATE_PER_S),
  })
  .refine(({ ratePerS, maxInSecond }) => ratePerS <= maxInSecond, {
    path: ['maxInSecond'],
    error: 'expected at least ratePerS',
  });

/** A named group of interchangeable endpoints. */
export const serviceSpecSchema = z.strictObject({
  /** Timeout of a request for which the caller sets no deadline, in milliseconds. */
  requestTimeoutMs: timeoutSchema.default(DEFAULT_REQUEST_TIMEOUT_MS),
  /** Maximum number of retries, as a percentage of first attempts. */
  retryBudgetPercent: z.number().min(0).max(100).default(20),
  /** Absent if the service's endpoints have no cold start. */
  coldStart: coldStartSchema.optional(),
});

/** Adds a credential from a secret to every request of a route. */
export const credentialSchema = z.strictObject({
  secret: nameSchema,
  /** Request header in which the secret's value is sent to the endpoint. */
  header: z.string().regex(/^[a-z0-9-]+$/, 'expected a lower-case header name'),
});

/** A service that receives a share of a route's requests. */
export const routeTargetSchema = z.strictObject({
  service: nameSchema,
  /** Share of the requests, relative to the weights of the other targets. */
  weight: z.number().min(0).max(1_000_000),
});

/** Maps requests to a service. The longest path prefix takes precedence, then an explicit host. */
export const routeSpecSchema = z.strictObject({
  /** Host names, matched exactly; an empty list matches every host. */
  hosts: z.array(z.string().min(1).max(253)).max(64).default([]),
  pathPrefix: z.string().startsWith('/').max(1024),
  /** Upper-case methods; an empty list matches every method. */
  methods: z
    .array(z.string().regex(/^[A-Z]+$/))
    .max(16)
    .default([]),
  /** Receives all requests unless `targets` is set. */
  service: nameSchema,
  /** Services that share the route's requests by weight; `service` is one of them. */
  targets: z.array(routeTargetSchema).min(1).max(MAX_ROUTE_TARGETS).optional(),
  /** Whether a request may run more than once; absent means by method (GET, HEAD, OPTIONS may). */
  repeatable: z.boolean().optional(),
  /** Whether answers are usually much larger than those of other routes; false when absent. */
  largeAnswers: z.boolean().optional(),
  timeoutMs: timeoutSchema.optional(),
  /** Response time after which an answer is worth less to the caller, in milliseconds. */
  targetLatencyMs: timeoutSchema.optional(),
  /** Priority among the requests queued for an endpoint; 0 is the highest. */
  priority: z.number().int().min(0).max(MAX_PRIORITY).optional(),
  /** Maximum number of endpoints to which a caller's request may be sent, including the first. */
  maxAttempts: z.number().int().min(1).max(MAX_ATTEMPTS).optional(),
  credential: credentialSchema.optional(),
});

/** A back end of a service. */
export const endpointSpecSchema = z.strictObject({
  service: nameSchema,
  address: z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP number' }),
  port: z.number().int().min(1).max(65_535),
  zone: nameSchema,
  region: nameSchema,
  /** Identity of the machine whose node runs next to this endpoint; absent if there is none. */
  machine: nameSchema.optional(),
  /** Number of requests that the endpoint processes concurrently. */
  slots: z.number().int().min(1).max(100_000),
  /** Maximum number of concurrent connections that the endpoint accepts. */
  maxConnections: z.number().int().min(1).max(100_000),
  /**
   * Start time of the endpoint's process, in milliseconds since the Unix epoch; absent if unknown. An endpoint
   * that restarts under the same name is a different incarnation; see {@link ./incarnation.ts}.
   */
  bornAtMs: z.number().int().min(0).optional(),
  /** Remaining cold time when the platform reported it, in milliseconds; 0 if the endpoint is warm. */
  coldForMs: z.number().min(0).max(MAX_COLD_START_MS).optional(),
  state: z.enum(['active', 'draining']).default('active'),
});

/** A secret value that routes use. It never appears in logs, metrics or lists. */
export const secretSpecSchema = z.strictObject({
  value: z.string().min(1).max(MAX_SECRET_LENGTH),
});

/** Evacuates the zone of the same name: its endpoints receive no new requests while the resource exists. */
export const evacuationSpecSchema = z.strictObject({});

/** A resource of any kind, discriminated by `kind`. */
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
  /** Whether the endpoint's zone is evacuated; set when a snapshot indexes its endpoints. */
  readonly isEvacuated?: boolean;
};
export type Secret = Extract<Resource, { kind: 'secret' }>;
