/** What a node learns about an endpoint's load from a response or a refusal. */
import type { LoadObservation } from '../routing/endpoint-record.js';
import type { LoadReport } from './call.js';
import type { RequestError } from './request-error.js';

/** Returns undefined when neither `load` nor `error` contains load information. */
export function loadObservationOf(
  load: LoadReport | undefined,
  error: RequestError | undefined,
  workClass: string,
): LoadObservation | undefined {
  const draining = load?.draining === true || error?.code === 'ENDPOINT_DRAINING';
  if (load === undefined && !draining) {
    return undefined;
  }
  const {
    inFlight = 0,
    isNodeStopping,
    failureShare,
    serviceMs,
    maxRatePerS,
    slowness,
  } = load ?? {};
  const retryAfterMs = error?.status === 503 ? error.retryAfterMs : undefined;
  return {
    inFlight,
    draining,
    isNodeStopping: isNodeStopping === true,
    ...(failureShare !== undefined && { failureShare }),
    ...(serviceMs !== undefined && { serviceTime: { workClass, meanMs: serviceMs } }),
    ...(maxRatePerS !== undefined && { maxRatePerS }),
    ...(slowness !== undefined && { slowness }),
    ...(retryAfterMs !== undefined && { retryAfterMs }),
  };
}
