/**
 * Counters, gauges and histograms of one node, in Prometheus text format. The library's single modules
 * are loaded: all of it loads TLS, clusters and a tracing API, which each start would pay for.
 */
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';
import type { CounterSink } from '../control/control-event.js';

/** One value of a gauge that has labels. */
export interface LabelledValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Takes measurements. */
export interface Observer {
  observe(value: number): void;
}

/** Upper bounds of the buckets of a duration histogram, in seconds. */
export const DURATION_BUCKETS_SECONDS: readonly number[] = [
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/** The metrics of one node; each has a registry of its own, so that nodes can share a process. */
export class Metrics implements CounterSink {
  private readonly registry = new Registry();
  /** Counts by name. They reach the library only when the text is asked for: requests count often. */
  private readonly totals = new Map<string, number>();

  /** Content type of {@link text}. */
  get contentType(): string {
    return this.registry.contentType;
  }

  /** Adds to the counter `name`, which is made at its first use. */
  add(name: string, by = 1): void {
    const total = this.totals.get(name);
    if (total === undefined) {
      this.declareCounter(name);
    }
    this.totals.set(name, (total ?? 0) + by);
  }

  /** Makes a counter known at 0, so that it is in the text before its first event. */
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

  /** All counters, for the status API. */
  counterTotals(): ReadonlyMap<string, number> {
    return this.totals;
  }

  /** A gauge whose value is read whenever the text is asked for. */
  gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** A gauge with labels; `read` gives all its values whenever the text is asked for. */
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

  /** A histogram; durations are in seconds and their names end in `_seconds`. */
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

  /** Everything, in Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
