/** Calls of the load tool: all alike but for their number and way. */
import type { CallRequest } from '../shared/call-client.js';

/** What every call of an experiment has in common. */
export interface CallShape {
  readonly service: string;
  readonly workMs: number;
  readonly answerBytes: number;
  readonly deadlineMs: number;
}

/** Time beyond the deadline after which the caller gives up, in milliseconds. */
const GIVE_UP_BEYOND_DEADLINE_MS = 2_000;

/** Call number `index` of the run `name`. */
export function planCall(name: string, index: number, shape: CallShape): CallRequest {
  return {
    callId: `${name}-${index}`,
    method: 'GET',
    path: `/${shape.service}/${index}`,
    bodyBytes: 0,
    workMs: shape.workMs,
    answerBytes: shape.answerBytes,
    deadlineMs: shape.deadlineMs,
    giveUpMs: shape.deadlineMs + GIVE_UP_BEYOND_DEADLINE_MS,
  };
}
