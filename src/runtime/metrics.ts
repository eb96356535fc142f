/**
 * Counters, gauges and histograms of one node, in Prometheus text format. Imports the library's modules
 * individually: its main entry point also loads TLS, cluster support and a tracing API, which would slow
 * down every start.
 */
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';
import type { CounterSink } from '../control/control-event.js';

/** One value of a labelled metric. */
export interface LabelledValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Records observed values. */
export interface Observer {
  observe(value: number): void;
}

/** Upper bounds of the buckets of a duration histogram, in seconds. */
export const DURATION_BUCKETS_SECONDS: readonly number[] = [
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/** The metrics of one node. Each instance has its own registry, so that nodes can share a process. */
export class Metrics implements CounterSink {
  private readonly registry = new Registry();
  /** Counts by name, copied to the library only when the metrics are read, since requests count often. */
  private readonly totals = new Map<string, number>();

  /** Content type of {@link text}. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Adds to the counter `name`, which is created on first use. */
  add(name: string, by = 1): void {
    const total = this.totals.get(name);
    if (total === undefined) {
      this.declareCounter(name);
    }
    this.totals.set(name, (total ?? 0) + by);
  }

  /** Creates a counter at 0, so that it is exported before its first event. */
  declareCounter(name: string, help = name.replaceAll('_', ' ')): void {
    if (this.totals.has(name)) {
      return;
    }
    this.totals.set(name, 0);
    const counter: Counter = new Counter({
      name,
      help,
      registers: [this.registry],
      collect: () => {
        counter.reset();
        counter.inc(this.totals.get(name) ?? 0);
      },
    });
  }

  /** All counter values by name. */
  counterTotals(): ReadonlyMap<string, number> {
    return this.totals;
  }

  /** Creates a gauge whose value is read whenever the metrics are exported. */
  gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** Creates a gauge with labels; `read` returns all its values whenever the metrics are exported. */
  labelledGauge(
    name: string,
    help: string,
    labelNames: readonly string[],
    read: () => Iterable<LabelledValue>,
  ): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        for (const { labels, value } of read()) {
          gauge.set(labels, value);
        }
      },
    });
  }

  /** Creates a counter with labels; `read` returns all its totals whenever the metrics are exported. */
  labelledCounter(
    name: string,
    help: string,
    labelNames: readonly string[],
    read: () => Iterable<LabelledValue>,
  ): void {
    const counter: Counter = new Counter({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
      collect: () => {
        counter.reset();
        for (const { labels, value } of read()) {
          counter.inc(labels, value);
        }
      },
    });
  }

  /** Creates a histogram; durations are in seconds and their names end in `_seconds`. */
  histogram(
    name: string,
    help: string,
    buckets: readonly number[] = DURATION_BUCKETS_SECONDS,
  ): Observer {
    return new Histogram({
      name,
      help,
      buckets: [...buckets],
      registers: [this.registry],
    });
  }

  /** All metrics in Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
