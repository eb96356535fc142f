/** Errors for requests for which no endpoint is asked. */
import type { RequestContext } from './request-context.js';
import { NoEndpointError, ThrottledError, type RequestError } from './request-error.js';

/** Retry delay for callers when no endpoint has capacity, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 200;

/** Every endpoint was tried, or none takes new work. */
export function noEndpointError(context: RequestContext): RequestError {
  const { service } = context.match;
  return new NoEndpointError(
    `no endpoint of service ${service} takes new work`,
    noEndpointRetryMs(context),
  );
}

/** The request is throttled, since endpoints refuse most others. */
export function throttledError(context: RequestContext): RequestError {
  const { service } = context.match;
  return new ThrottledError(
    `endpoints of service ${service} refuse most requests`,
    noEndpointRetryMs(context),
  );
}

/** Retry delay for the caller: if all endpoints are rate limited, until the first of them may accept a request. */
export function noEndpointRetryMs({ services, snapshot, match }: RequestContext): number {
  const endpoints = services.endpointsOf(snapshot, match.service);
  const delayMs = services.selector.rateLimitedForMs(endpoints, services.scheduler.now());
  return Math.max(NO_ENDPOINT_RETRY_MS, delayMs);
}
