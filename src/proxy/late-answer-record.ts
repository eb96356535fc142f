/** Records answers that missed the target latency of their route. */
import type { CallerTries } from './caller-tries.js';
import type { RequestContext } from './request-context.js';
import { requestTimes, totalMs, type AnsweredRequest, type RequestTimes } from './request-times.js';

/** A request whose answer has been sent in full; see {@link AnsweredRequest}. */
export interface CompletedRequest extends Pick<
  AnsweredRequest,
  'startedAtMs' | 'attemptStartedAtMs' | 'answeredAtMs' | 'nodeTimes'
> {
  readonly endpoint: string | undefined;
}

/** Logs and counts the answer if it missed its target latency, counted from the caller's first known try. */
export function recordIfLate(
  context: RequestContext,
  tries: CallerTries,
  { endpoint, ...request }: CompletedRequest,
): void {
  const { services, match, requestId, unreadMs = 0 } = context;
  const { targetLatencyMs = Infinity } = match.route.spec;
  const endedAtMs = services.scheduler.now();
  if (endedAtMs - tries.firstArrivedAtMs <= targetLatencyMs) {
    return;
  }
  const { firstArrivedAtMs, count } = tries;
  const times = requestTimes({ ...request, firstArrivedAtMs, unreadMs, endedAtMs });
  services.onLateAnswer(match.service, times);
  services.requestLog.record({
    event: 'answer-late',
    request: requestId,
    service: match.service,
    ...(endpoint !== undefined && { endpoint }),
    tries: count,
    elapsedMs: Math.round(totalMs(times)),
    times: rounded(times),
  });
}

function rounded(times: RequestTimes): RequestTimes {
  const entries = Object.entries(times).map(([place, ms]) => [place, Math.round(ms)]);
  return Object.fromEntries(entries) as RequestTimes;
}
