/** What the configuration says of an endpoint to the gate of its slots. Pure. */
import type { ClosedReason } from '../admission/endpoint-admission.js';
import type { ColdStart, Endpoint } from '../model/resource.js';

/** The terms that a gate goes by. */
export interface EndpointTerms {
  /** The endpoint as it stands in the configuration; undefined once it is gone. */
  readonly endpoint: Endpoint | undefined;
  /** Requests at once that this node may send. */
  readonly slots: number;
  readonly coldStart: ColdStart | undefined;
  /** Part of what a cold endpoint bears that this node may send. */
  readonly coldShare: number;
}

/**
 * - `told`: an entry that was written anew tells for how long the endpoint is cold.
 * - `presumed`: it comes back from an evacuation, and may have become cold unseen.
 */
export type ColdNews =
  { readonly kind: 'told'; readonly coldForMs: number } | { readonly kind: 'presumed' };

/** What the change from one term to the next says of the endpoint being cold; undefined where it says nothing. */
export function coldNewsOf(
  endpoint: Endpoint | undefined,
  before: Endpoint | undefined,
): ColdNews | undefined {
  const coldForMs = endpoint?.spec.coldForMs;
  if (coldForMs !== undefined && endpoint?.spec !== before?.spec) {
    return { kind: 'told', coldForMs };
  }
  const hasComeBack = before?.isEvacuated === true && endpoint?.isEvacuated !== true;
  return hasComeBack ? { kind: 'presumed' } : undefined;
}

/** Why the configuration lets the endpoint have no new work; one that is gone from it drains. */
export function closedReasonOf(endpoint: Endpoint | undefined): ClosedReason | undefined {
  if (endpoint === undefined || endpoint.spec.state !== 'active') {
    return 'draining';
  }
  return endpoint.isEvacuated === true ? 'evacuated' : undefined;
}
