/** Decisions of admission to an endpoint. */

/**
 * Why a request is refused; always decided before the request is sent. `rate-limited`: the endpoint's own rate limit
 * allows it only too late.
 */
export type RefusalReason =
  'queue-full' | 'cannot-finish-in-time' | 'deadline-passed' | 'rate-limited' | ClosedReason;

/**
 * Why an endpoint accepts no new requests.
 *
 * - `draining`: it is shutting down.
 * - `evacuated`: its zone temporarily receives no traffic.
 */
export type ClosedReason = 'draining' | 'evacuated';

/** The refusal of a request, with the delay before a retry. */
export interface Refusal {
  readonly requestId: string;
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

/** When the body of a request is expected, estimated from the transfer rate of earlier bodies. */
export interface BodyArrival {
  readonly beginsAtMs: number;
  readonly endsAtMs: number;
}

/** An action that the caller of `EndpointAdmission` carries out for a request. */
export type AdmissionEffect =
  | { readonly type: 'dispatch'; readonly requestId: string }
  | ({ readonly type: 'refuse' } & Refusal);
