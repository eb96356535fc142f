/** Where an answered request spent its time, from its caller's first try to the end of its answer. Pure. */

/**
 * A place in which a request spends time:
 *
 * - `earlier-tries`: the caller's earlier tries, which ended without an answer, and its delay before this one.
 * - `unread`: behind earlier requests on the caller's connection.
 * - `earlier-attempts`: attempts that failed or were refused before the one that was answered.
 * - `transit`: between the caller's node and the endpoint's node, in both directions.
 * - `body`: at the endpoint's node, until the request's body had arrived.
 * - `queue`: waiting for a slot of the endpoint.
 * - `endpoint`: at the endpoint, which works on the request and waits for the calls that it makes.
 * - `answer`: from the head of the answer to its end.
 */
export const REQUEST_PLACES = [
  'earlier-tries',
  'unread',
  'earlier-attempts',
  'transit',
  'body',
  'queue',
  'endpoint',
  'answer',
] as const;

export type RequestPlace = (typeof REQUEST_PLACES)[number];

/** Times by place, in milliseconds. */
export type RequestTimes = Readonly<Record<RequestPlace, number>>;

/** Times of one attempt at the endpoint's node, in milliseconds. */
export interface EndpointNodeTimes {
  readonly bodyMs: number;
  readonly queueMs: number;
  readonly endpointMs: number;
}

/** Moments in the life of an answered request on the clock of its caller's node, in milliseconds. */
export interface AnsweredRequest {
  /** When the caller's first known try arrived. */
  readonly firstArrivedAtMs: number;
  readonly startedAtMs: number;
  /** Time for which the request waited on its connection before it was started. */
  readonly unreadMs: number;
  readonly attemptStartedAtMs: number;
  /** When the head of the answer arrived. */
  readonly answeredAtMs: number;
  readonly endedAtMs: number;
  /** Times that the endpoint's node reports; undefined if it reports none. */
  readonly nodeTimes: EndpointNodeTimes | undefined;
}

const NO_NODE_TIMES: EndpointNodeTimes = { bodyMs: 0, queueMs: 0, endpointMs: 0 };

export function requestTimes(request: AnsweredRequest): RequestTimes {
  const { firstArrivedAtMs, startedAtMs, unreadMs, attemptStartedAtMs, answeredAtMs } = request;
  const { bodyMs, queueMs, endpointMs } = request.nodeTimes ?? NO_NODE_TIMES;
  const attemptMs = answeredAtMs - attemptStartedAtMs;
  return {
    'earlier-tries': Math.max(0, startedAtMs - unreadMs - firstArrivedAtMs),
    unread: unreadMs,
    'earlier-attempts': attemptStartedAtMs - startedAtMs,
    transit: Math.max(0, attemptMs - bodyMs - queueMs - endpointMs),
    body: bodyMs,
    queue: queueMs,
    endpoint: endpointMs,
    answer: request.endedAtMs - answeredAtMs,
  };
}

/** Time since the caller's first known try, in milliseconds. */
export function totalMs(times: RequestTimes): number {
  return REQUEST_PLACES.reduce((sum, place) => sum + times[place], 0);
}

/** The place in which the request spent the most time. */
export function longestPlace(times: RequestTimes): RequestPlace {
  return REQUEST_PLACES.reduce((longest, place) =>
    times[place] > times[longest] ? place : longest,
  );
}
