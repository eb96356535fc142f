/** Totals of the answers that missed the target latency of their route, by service and place. Pure. */
import {
  longestPlace,
  REQUEST_PLACES,
  type RequestPlace,
  type RequestTimes,
} from './request-times.js';

/** A total of one service and place. */
export interface LateAnswerTotal {
  readonly service: string;
  readonly place: RequestPlace;
  /** Late answers that spent more time in this place than in any other. */
  readonly count: number;
  /** Time that all late answers spent in this place, in milliseconds. */
  readonly ms: number;
}

type PlaceTotals = Map<RequestPlace, { count: number; ms: number }>;

/** Maximum number of services with totals of their own; late answers of others are not counted. */
const MAX_SERVICES = 200;

export class LateAnswers {
  private readonly services = new Map<string, PlaceTotals>();

  record(service: string, times: RequestTimes): void {
    const totals = this.totalsOf(service);
    const longest = longestPlace(times);
    for (const place of REQUEST_PLACES) {
      const total = totals?.get(place);
      if (total !== undefined) {
        total.ms += times[place];
        total.count += Number(place === longest);
      }
    }
  }

  /** All totals, also those that are 0. */
  *totals(): IterableIterator<LateAnswerTotal> {
    for (const [service, totals] of this.services) {
      for (const [place, total] of totals) {
        yield { service, place, ...total };
      }
    }
  }

  private totalsOf(service: string): PlaceTotals | undefined {
    const known = this.services.get(service);
    if (known !== undefined || this.services.size >= MAX_SERVICES) {
      return known;
    }
    const totals: PlaceTotals = new Map(
      REQUEST_PLACES.map((place) => [place, { count: 0, ms: 0 }]),
    );
    this.services.set(service, totals);
    return totals;
  }
}
