/** Expected waits of random arrivals for slots that are reserved for them beside slots that other work occupies. Pure. */

/** Random arrivals at an endpoint. */
export interface SlotLoad {
  readonly ratePerMs: number;
  readonly serviceMs: number;
  /** Rate at which other work frees its slots, which the waiting requests then get. */
  readonly otherReleasesPerMs: number;
}

/** Share of the arrivals that wait for longer than `waitMs` when `reservedSlots` slots are reserved for them. */
export function shareWaitingLongerThan(
  waitMs: number,
  { ratePerMs, serviceMs, otherReleasesPerMs }: SlotLoad,
  reservedSlots: number,
): number {
  const releasesPerMs = reservedSlots / serviceMs + otherReleasesPerMs;
  const decreasePerMs = releasesPerMs - ratePerMs;
  if (decreasePerMs <= 0) {
    return 1;
  }
  return waitingShare(ratePerMs * serviceMs, reservedSlots) * Math.exp(-decreasePerMs * waitMs);
}

/** Share of the arrivals that find all reserved slots occupied (Erlang C); `load` is the mean number of slots used. */
function waitingShare(load: number, slots: number): number {
  if (load >= slots) {
    return 1;
  }
  let lostShare = 1;
  for (let slot = 1; slot <= slots; slot += 1) {
    lostShare = (load * lostShare) / (slot + load * lostShare);
  }
  const utilization = load / slots;
  return lostShare / (1 - utilization * (1 - lostShare));
}
