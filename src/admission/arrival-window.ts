/**
 * Counts the requests that may arrive at an endpoint within one second of a request that is dispatched now. A request
 * counts from its dispatch until one second after it is known to have arrived: when it arrives in between is not known,
 * since a connection, a body or a pause of the process may hold it. Pure: time is passed in.
 */

/** One second, and a margin for the resolution of clocks, in milliseconds. */
export const ARRIVAL_WINDOW_MS = 1_010;
/** Time within which an endpoint reads what a closed connection had carried, in milliseconds. */
const TRANSIT_MS = 100;

/**
 * What the end of a request's wait for its response tells of its arrival.
 *
 * - `arrived`: the endpoint has responded.
 * - `may-arrive`: it was written, and the connection was lost or closed before a response.
 * - `never-sent`: no byte of it was written, and none will be.
 */
export type ArrivalEvidence = 'arrived' | 'may-arrive' | 'never-sent';

export class ArrivalWindow {
  /** Requests that were dispatched and of which nothing is known since. */
  private readonly pending = new Set<string>();
  /** Times by which other requests have arrived, in ascending order. */
  private arrivedByMs: number[] = [];

  dispatched(requestId: string): void {
    this.pending.add(requestId);
  }

  /** Records the first evidence of the request's arrival; later evidence is ignored. */
  settled(requestId: string, evidence: ArrivalEvidence, nowMs: number): void {
    if (!this.pending.delete(requestId) || evidence === 'never-sent') {
      return;
    }
    this.arrivedByMs.splice(0, this.expiredCount(nowMs));
    this.insert(evidence === 'arrived' ? nowMs : nowMs + TRANSIT_MS);
  }

  /** Number of requests that may arrive within one second of one that is dispatched at `nowMs`, which may be later. */
  countAt(nowMs: number): number {
    return this.pending.size + this.arrivedByMs.length - this.expiredCount(nowMs);
  }

  /** Time until `count` of the requests no longer count, in milliseconds, if all pending ones arrive at `nowMs`. */
  expiryMs(count: number, nowMs: number): number {
    const arrivedByMs = this.arrivedByMs[this.expiredCount(nowMs) + count - 1] ?? nowMs;
    return Math.max(1, arrivedByMs + ARRIVAL_WINDOW_MS - nowMs);
  }

  private insert(arrivedByMs: number): void {
    const idx = this.arrivedByMs.findLastIndex((other) => other <= arrivedByMs);
    this.arrivedByMs.splice(idx + 1, 0, arrivedByMs);
  }

  private expiredCount(nowMs: number): number {
    const firstKept = this.arrivedByMs.findIndex((atMs) => atMs + ARRIVAL_WINDOW_MS > nowMs);
    return firstKept < 0 ? this.arrivedByMs.length : firstKept;
  }
}
