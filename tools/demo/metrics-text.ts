/** Reads counters from Prometheus text. */

const SAMPLE = /^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{[^}]*\})? ([0-9.eE+-]+)$/;

/** Sum of all samples whose metric name matches `pattern`. */
export function sumCounters(text: string, pattern: RegExp): number {
  let sum = 0;
  for (const line of text.split('\n')) {
    const [, name, value] = SAMPLE.exec(line) ?? [];
    if (name !== undefined && pattern.test(name)) {
      sum += Number(value);
    }
  }
  return sum;
}
