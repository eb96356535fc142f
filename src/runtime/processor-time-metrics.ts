/** Metrics of what the processor time of this process is used for. */
import type { ProcessorTime, WorkKind } from '../clock/processor-time.js';
import type { LabelledValue, Metrics } from './metrics.js';

export function declareProcessorTimeMetrics(metrics: Metrics, processorTime: ProcessorTime): void {
  metrics.labelledCounter(
    'ferryspool_work_processor_seconds_total',
    'Processor time of this process, by the kind of work that it was used for',
    ['work'],
    () => valuesOf(processorTime, 'processorSeconds'),
  );
  metrics.labelledCounter('ferryspool_work_total', 'Pieces of work of each kind', ['work'], () =>
    valuesOf(processorTime, 'count'),
  );
}

function* valuesOf(
  processorTime: ProcessorTime,
  field: 'count' | 'processorSeconds',
): IterableIterator<LabelledValue> {
  for (const total of processorTime.byKind()) {
    const work: WorkKind = total.kind;
    yield { labels: { work }, value: total[field] };
  }
}
