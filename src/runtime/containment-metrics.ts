/** Gauges of requests during which endpoint processes exited. */
import type { Containment } from '../containment/containment.js';
import type { Metrics } from './metrics.js';

export function declareContainmentMetrics(metrics: Metrics, containment: Containment): void {
  metrics.gauge(
    'ferryspool_contained_requests',
    'Requests that are not sent on, since endpoints ended under them',
    () => containment.containedCount,
  );
  metrics.gauge(
    'ferryspool_suspicions',
    'Requests that are kept in mind, since an endpoint ended under them',
    () => containment.size,
  );
}
