/** Fits of measured figures against the number of nodes. */

/** One measurement. */
export interface SizedValue {
  readonly nodes: number;
  readonly value: number;
}

/** `value = factor * nodes ^ exponent`, fitted by least squares on logarithms. */
export interface PowerFit {
  readonly exponent: number;
  readonly factor: number;
  /** Share of the variance of the logarithms that the fit explains; 1 for an exact fit. */
  readonly r2: number;
  readonly points: number;
}

/** The fit; undefined for fewer than two sizes. Values that are not above 0 are left out. */
export function fitPower(values: readonly SizedValue[]): PowerFit | undefined {
  const points = values
    .filter(({ nodes, value }) => nodes > 0 && value > 0)
    .map(({ nodes, value }) => ({ x: Math.log(nodes), y: Math.log(value) }));
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const varianceX = sum(points.map(({ x }) => (x - meanX) ** 2));
  if (varianceX === 0) {
    return undefined;
  }
  const varianceY = sum(points.map(({ y }) => (y - meanY) ** 2));
  const exponent = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / varianceX;
  const intercept = meanY - exponent * meanX;
  const residual = sum(points.map(({ x, y }) => (y - intercept - exponent * x) ** 2));
  return {
    exponent,
    factor: Math.exp(intercept),
    r2: varianceY === 0 ? 1 : 1 - residual / varianceY,
    points: points.length,
  };
}

/** The fitted value at a number of nodes. */
export function valueAt(fit: PowerFit, nodes: number): number {
  return fit.factor * nodes ** fit.exponent;
}

/** `value = base + slope * nodes`, fitted by least squares. */
export interface LinearFit {
  readonly base: number;
  readonly slope: number;
}

/** The linear fit; undefined for fewer than two sizes. */
export function fitLinear(values: readonly SizedValue[]): LinearFit | undefined {
  const meanX = mean(values.map(({ nodes }) => nodes));
  const meanY = mean(values.map(({ value }) => value));
  const varianceX = sum(values.map(({ nodes }) => (nodes - meanX) ** 2));
  if (varianceX === 0) {
    return undefined;
  }
  const slope =
    sum(values.map(({ nodes, value }) => (nodes - meanX) * (value - meanY))) / varianceX;
  return { slope, base: meanY - slope * meanX };
}

function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
