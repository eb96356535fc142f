/** Counters of the answers that missed their target latency, by service and place. */
import type { LateAnswers, LateAnswerTotal } from '../proxy/late-answers.js';
import type { LabelledValue, Metrics } from './metrics.js';

const LABELS = ['service', 'place'];
const MS_PER_SECOND = 1_000;

export function declareLateAnswerMetrics(metrics: Metrics, lateAnswers: LateAnswers): void {
  metrics.labelledCounter(
    'ferryspool_late_answers_total',
    'Answers after the target latency, by the place in which they spent the most time',
    LABELS,
    () => valuesOf(lateAnswers, ({ count }) => count),
  );
  metrics.labelledCounter(
    'ferryspool_late_answer_seconds_total',
    'Time that answers after the target latency spent in each place',
    LABELS,
    () => valuesOf(lateAnswers, ({ ms }) => ms / MS_PER_SECOND),
  );
}

function* valuesOf(
  lateAnswers: LateAnswers,
  valueOf: (total: LateAnswerTotal) => number,
): IterableIterator<LabelledValue> {
  for (const total of lateAnswers.totals()) {
    const { service, place } = total;
    yield { labels: { service, place }, value: valueOf(total) };
  }
}
