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

/**
 * What follows for the cold state from a change of the configured endpoint. An entry that arrives with the end of an
 * evacuation may have been written before it, so that both updates apply.
 */
export function coldStateUpdatesOf(
  endpoint: Endpoint | undefined,
  before: Endpoint | undefined,
): readonly ColdStateUpdate[] {
  const updates: ColdStateUpdate[] = [];
  const coldForMs = endpoint?.spec.coldForMs;
  if (coldForMs !== undefined && endpoint?.spec !== before?.spec) {
    updates.push({ kind: 'told', coldForMs });
  }
  if (before?.isEvacuated === true && endpoint?.isEvacuated !== true) {
    updates.push({ kind: 'presumed' });
  }
  return updates;
}

/** Why the configuration allows no new work for the endpoint; a removed endpoint is draining. */
export function closedReasonOf(endpoint: Endpoint | undefined): ClosedReason | undefined {
  if (endpoint === undefined || endpoint.spec.state !== 'active') {
    return 'draining';
  }
  return endpoint.isEvacuated === true ? 'evacuated' : undefined;
}
