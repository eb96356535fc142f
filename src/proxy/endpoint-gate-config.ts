/** The configuration that an endpoint's gate applies. Pure. */
import type { ClosedReason } from '../admission/endpoint-admission.js';
import type { ColdStart, Endpoint } from '../model/resource.js';

/** The configuration of one gate. */
export interface EndpointGateConfig {
  /** The endpoint as configured; undefined once it has been removed. */
  readonly endpoint: Endpoint | undefined;
  /** Maximum number of concurrent requests that this node may send. */
  readonly slots: number;
  readonly coldStart: ColdStart | undefined;
  /** Share of a cold endpoint's request limit that this node may use. */
  readonly coldShare: number;
  /** Share of the endpoint's own rate limit that this node may use. */
  readonly rateShare: number;
}

/**
 * - `told`: a new configuration entry states for how long the endpoint is cold.
 * - `presumed`: the endpoint's evacuation has ended, during which it may have become cold unobserved.
 */
export type ColdStateUpdate =
  { readonly kind: 'told'; readonly coldForMs: number } | { readonly kind: 'presumed' };

/** The cold state that follows from a change of the configured endpoint; undefined if the change does not affect it. */
export function coldStateUpdateOf(
  endpoint: Endpoint | undefined,
  before: Endpoint | undefined,
): ColdStateUpdate | undefined {
  const coldForMs = endpoint?.spec.coldForMs;
  if (coldForMs !== undefined && endpoint?.spec !== before?.spec) {
    return { kind: 'told', coldForMs };
  }
  const isReinstated = before?.isEvacuated === true && endpoint?.isEvacuated !== true;
  return isReinstated ? { kind: 'presumed' } : undefined;
}

/** Why the configuration allows no new work for the endpoint; a removed endpoint is draining. */
export function closedReasonOf(endpoint: Endpoint | undefined): ClosedReason | undefined {
  if (endpoint === undefined || endpoint.spec.state !== 'active') {
    return 'draining';
  }
  return endpoint.isEvacuated === true ? 'evacuated' : undefined;
}
