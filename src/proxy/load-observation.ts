/** What a node learns of an endpoint's load from an answer or a refusal. */
import type { LoadObservation } from '../routing/endpoint-record.js';
import type { LoadReport } from './call.js';
import type { RequestError } from './request-error.js';

/** The observation; undefined when neither tells anything of the load. */
export function loadObservationOf(
  load: LoadReport | undefined,
  error: RequestError | undefined,
  workClass: string,
): LoadObservation | undefined {
  const draining = load?.draining === true || error?.code === 'ENDPOINT_DRAINING';
  if (load === undefined && !draining) {
    return undefined;
  }
  const { inFlight = 0, isNodeStopping, failureShare, serviceMs } = load ?? {};
  const retryAfterMs = error?.status === 503 ? error.retryAfterMs : undefined;
  return {
    inFlight,
    draining,
    isNodeStopping: isNodeStopping === true,
    ...(failureShare !== undefined && { failureShare }),
    ...(serviceMs !== undefined && { serviceTime: { workClass, meanMs: serviceMs } }),
    ...(retryAfterMs !== undefined && { retryAfterMs }),
  };
}
