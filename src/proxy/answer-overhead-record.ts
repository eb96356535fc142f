/** Counts and logs answers of endpoints that are cut off because of bytes that are not part of their body. */
import type { CounterSink } from '../control/control-event.js';
import type { Endpoint } from '../model/resource.js';
import type { OverheadFault } from '../wire/response-overhead.js';

/** Where the record goes. */
export interface AnswerOverheadSinks {
  readonly counters: CounterSink;
  readonly logStateChange: (what: string, detail: string) => void;
}

export function recordAnswerOverhead(
  { counters, logStateChange }: AnswerOverheadSinks,
  { name }: Endpoint,
  fault: OverheadFault,
): void {
  counters.add('ferryspool_unbounded_answers_total');
  logStateChange('endpoint', `${name} sent an answer that was cut off: ${fault}`);
}
