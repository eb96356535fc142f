/**
 * Decides when the owner of an endpoint announces free slots, and to which senders (join-idle-queue). Answers many
 * endpoints with few slots each, of which a sender hears only every few seconds. The number of announcements depends
 * neither on the size of the fleet nor on the rate of requests. Pure: time and random numbers are passed in.
 */
import type { RandomSource } from '../control/control-event.js';

/** Maximum number of senders that one announcement goes to. */
export const MAX_ANNOUNCED_SENDERS = 3;
/** Time for which a sender counts as recent after a request, in milliseconds. */
const RECENT_SENDER_MS = 4_000;
/** Number of recent senders that are remembered. */
const MAX_RECENT_SENDERS = 32;
/** Time after which an endpoint without a free slot no longer counts as recently full, in milliseconds. */
const RECENTLY_FULL_MS = 2_000;
/** Factor of the time between announcements of an endpoint that was not full recently: few requests wait anywhere then. */
const UNUSED_INTERVAL_FACTOR = 4;
const MS_PER_SECOND = 1_000;

/** Announcements of one endpoint; `Sender` identifies a sender. */
export class FreeSlotAnnouncer<Sender> {
  /** When each recent sender sent its last request, the earliest first. */
  private readonly seenAtMs = new Map<Sender, number>();
  private lastAnnouncedAtMs = -Infinity;
  private lastFullAtMs = -Infinity;

  /** At most `maxPerS` announcements are due in a second; none if it is 0. */
  constructor(
    private readonly maxPerS: number,
    private readonly random: RandomSource,
  ) {}

  /** Records a request of the sender. */
  senderSeen(sender: Sender, nowMs: number): void {
    if (this.maxPerS === 0) {
      return;
    }
    this.seenAtMs.delete(sender);
    this.seenAtMs.set(sender, nowMs);
    if (this.seenAtMs.size > MAX_RECENT_SENDERS) {
      this.forgetFirst();
    }
  }

  /**
   * The senders to which free slots are to be announced now; no more than there are free slots. To be called whenever
   * slots may have become free.
   */
  due(freeSlots: number, nowMs: number): readonly Sender[] {
    if (freeSlots <= 0) {
      this.lastFullAtMs = nowMs;
      return [];
    }
    if (nowMs < this.lastAnnouncedAtMs + this.intervalMs(nowMs)) {
      return [];
    }
    this.forgetOld(nowMs);
    const senders = this.pick(Math.min(freeSlots, MAX_ANNOUNCED_SENDERS));
    if (senders.length > 0) {
      this.lastAnnouncedAtMs = nowMs;
    }
    return senders;
  }

  private intervalMs(nowMs: number): number {
    const wasFull = nowMs - this.lastFullAtMs <= RECENTLY_FULL_MS;
    return (MS_PER_SECOND / this.maxPerS) * (wasFull ? 1 : UNUSED_INTERVAL_FACTOR);
  }

  private pick(count: number): Sender[] {
    const rest = [...this.seenAtMs.keys()];
    const picked: Sender[] = [];
    while (picked.length < count && rest.length > 0) {
      const index = Math.floor(this.random() * rest.length);
      picked.push(...rest.splice(index, 1));
    }
    return picked;
  }

  private forgetOld(nowMs: number): void {
    for (const seenAtMs of this.seenAtMs.values()) {
      if (nowMs - seenAtMs <= RECENT_SENDER_MS) {
        return;
      }
      this.forgetFirst();
    }
  }

  private forgetFirst(): void {
    for (const sender of this.seenAtMs.keys()) {
      this.seenAtMs.delete(sender);
      return;
    }
  }
}
