/** Counters of the resource API, with the help text of each. */
import { API_ERROR_STATUS, type ApiErrorCode } from './api-error.js';

/** Names of the counters. */
export const API_COUNTERS = {
  requests: 'ferryspool_api_requests_total',
  malformedRequests: 'ferryspool_api_malformed_requests_total',
  connectionsRefused: 'ferryspool_api_connections_refused_total',
  writesAccepted: 'ferryspool_api_writes_accepted_total',
  watchesOpened: 'ferryspool_api_watches_opened_total',
  watchesRefused: 'ferryspool_api_watches_refused_total',
  watchesTooOld: 'ferryspool_api_watches_too_old_total',
  watchesClosed: 'ferryspool_api_watches_closed_total',
  watchesTooSlow: 'ferryspool_api_watches_too_slow_total',
  watchesStopped: 'ferryspool_api_watches_stopped_total',
} as const;

const COUNTER_HELP: Readonly<Record<keyof typeof API_COUNTERS, string>> = {
  requests: 'Requests to the admin listener',
  malformedRequests: 'Connections on which no HTTP request could be read',
  connectionsRefused: 'Connections beyond the bound of the admin listener',
  writesAccepted: 'Writes that were accepted',
  watchesOpened: 'Watches opened',
  watchesRefused: 'Watches refused because too many are open',
  watchesTooOld: 'Watches refused because their cursor is not in the history',
  watchesClosed: 'Watches that the client ended',
  watchesTooSlow: 'Watches dropped because the client read too slowly',
  watchesStopped: 'Watches ended because the node stopped',
};

/** Name of the counter of error responses with `code`. */
export function errorCounter(code: ApiErrorCode): string {
  return `ferryspool_api_errors_${code.toLowerCase()}_total`;
}

/** Calls `declare` for every counter, so that each is exported before its first event. */
export function declareApiCounters(declare: (name: string, help: string) => void): void {
  for (const [key, help] of Object.entries(COUNTER_HELP)) {
    declare(API_COUNTERS[key as keyof typeof API_COUNTERS], help);
  }
  for (const code of Object.keys(API_ERROR_STATUS) as ApiErrorCode[]) {
    declare(errorCounter(code), `Error answers with code ${code}`);
  }
}
