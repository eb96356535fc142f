/** Counts and logs answers of endpoints that are not passed on because of their form. */
import type { CounterSink } from '../control/control-event.js';
import type { Endpoint } from '../model/resource.js';
import type { OverheadFault } from '../wire/response-overhead.js';
import type { HeadFault } from './message-head.js';

/** Where the record goes. */
export interface AnswerFaultSinks {
  readonly counters: CounterSink;
  readonly logStateChange: (what: string, detail: string) => void;
}

/** Records an answer that is cut off because of bytes that are not part of its body. */
export function recordAnswerOverhead(
  { counters, logStateChange }: AnswerFaultSinks,
  { name }: Endpoint,
  fault: OverheadFault,
): void {
  counters.add('ferryspool_unbounded_answers_total');
  logStateChange('endpoint', `${name} sent an answer that was cut off: ${fault}`);
}

/** Records an answer whose head cannot be passed on. */
export function recordUnusableHead(
  { counters, logStateChange }: AnswerFaultSinks,
  { name }: Endpoint,
  fault: HeadFault,
): void {
  counters.add('ferryspool_unusable_answer_heads_total');
  logStateChange('endpoint', `${name} sent an answer with an unusable head: ${fault}`);
}
