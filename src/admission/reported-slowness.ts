/**
 * How long work takes at an endpoint at present, in relation to usual, as the endpoint reports it. Answers endpoints
 * that share their machines with others and become slower and faster within some hundred milliseconds. Pure: time is
 * passed in.
 */

/** Half-life of the weight of a report, in milliseconds: about as long as a speed lasts. */
const HALF_LIFE_MS = 300;
/** Time after which a report has no effect, in milliseconds. */
export const SLOWNESS_LIFETIME_MS = 2_000;
/** Number of reports that are kept to normalise measured service times. */
const MAX_KEPT_REPORTS = 64;
export const USUAL_PERCENT = 100;
/** Limits of a reported figure, in percent; figures beyond them are treated as the limit. */
const MIN_PERCENT = 10;
const MAX_PERCENT = 2_000;

/** A report as passed on between nodes. */
export interface SlownessReport {
  /** How long work takes, in percent of usual. */
  readonly percent: number;
  /** Time since the endpoint reported it, in milliseconds. */
  readonly ageMs: number;
}

/** A report and the time at which it held. */
interface KeptReport {
  readonly factor: number;
  readonly atMs: number;
}

/** The percentage within its limits; undefined if it is not a number above 0. */
export function usableSlowness(percent: number): number | undefined {
  const isUsable = Number.isFinite(percent) && percent > 0;
  return isUsable ? Math.min(MAX_PERCENT, Math.max(MIN_PERCENT, percent)) : undefined;
}

/** The latest reports of one endpoint. Without any, work takes as long as usual. */
export class ReportedSlowness {
  /** In the order of their times. */
  private reports: KeptReport[] = [];

  /** Records a report, unless a later one is known. */
  record({ percent, ageMs }: SlownessReport, nowMs: number): void {
    const usable = usableSlowness(percent);
    const atMs = nowMs - Math.max(0, ageMs);
    if (usable === undefined || atMs < (this.latest?.atMs ?? -Infinity)) {
      return;
    }
    this.reports.push({ factor: usable / USUAL_PERCENT, atMs });
    if (this.reports.length > MAX_KEPT_REPORTS) {
      this.reports.shift();
    }
  }

  /** The latest report; undefined if there is none that still has an effect. */
  reportAt(nowMs: number): SlownessReport | undefined {
    const { latest } = this;
    if (latest === undefined || nowMs - latest.atMs > SLOWNESS_LIFETIME_MS) {
      return undefined;
    }
    return { percent: latest.factor * USUAL_PERCENT, ageMs: nowMs - latest.atMs };
  }

  /** Expected service time as a multiple of the usual one; the latest report decays towards 1 with its age. */
  factorAt(atMs: number): number {
    const { latest } = this;
    if (latest === undefined || atMs - latest.atMs > SLOWNESS_LIFETIME_MS) {
      return 1;
    }
    const weight = 0.5 ** (Math.max(0, atMs - latest.atMs) / HALF_LIFE_MS);
    return 1 + (latest.factor - 1) * weight;
  }

  /** Mean of the factors that were reported in the given time; 1 if there were none. */
  meanFactor(sinceMs: number, untilMs: number): number {
    let sum = 0;
    let count = 0;
    for (const { factor, atMs } of this.reports) {
      if (atMs > sinceMs && atMs <= untilMs) {
        sum += factor;
        count += 1;
      }
    }
    return count === 0 ? 1 : sum / count;
  }

  private get latest(): KeptReport | undefined {
    return this.reports.at(-1);
  }
}
