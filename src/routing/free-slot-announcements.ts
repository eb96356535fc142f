/**
 * Announcements of free slots that this node has received, by service. Each request that is sent on an announcement uses up
 * one slot of it, so that one free slot does not attract many requests. Pure: time is passed in.
 */
import type { SlownessReport } from '../admission/reported-slowness.js';
import type { CounterSink } from '../control/control-event.js';

/** Time for which an announcement is valid, in milliseconds. */
export const ANNOUNCEMENT_LIFETIME_MS = 250;
/** Maximum number of announcements of one service; beyond it, the oldest one is dropped. */
const MAX_PER_SERVICE = 16;
/** Maximum number of services with announcements. */
const MAX_SERVICES = 200;

/** What the owner of an endpoint announces. */
export interface FreeSlotAnnouncement {
  readonly service: string;
  /** See {@link ../model/incarnation.ts}. */
  readonly incarnation: string;
  readonly freeSlots: number;
  /** How long work takes at the endpoint; undefined if it does not report it. */
  readonly slowness: SlownessReport | undefined;
}

/** A valid announcement. */
export interface ReceivedAnnouncement extends FreeSlotAnnouncement {
  readonly receivedAtMs: number;
  /** Slots that no request of this node has used up yet. */
  slotsLeft: number;
}

/** Valid announcements of one node. */
export class FreeSlotAnnouncements {
  /** By service and incarnation, the oldest first. */
  private readonly byService = new Map<string, Map<string, ReceivedAnnouncement>>();

  constructor(private readonly counters: CounterSink) {}

  /** Replaces an earlier announcement of the same endpoint. */
  add(announcement: FreeSlotAnnouncement, nowMs: number): void {
    const { service, incarnation, freeSlots } = announcement;
    this.counters.add('ferryspool_slot_announcements_received_total');
    if (freeSlots <= 0) {
      return;
    }
    const ofService = this.ofService(service);
    ofService.delete(incarnation);
    ofService.set(incarnation, { ...announcement, receivedAtMs: nowMs, slotsLeft: freeSlots });
    dropFirstBeyond(ofService, MAX_PER_SERVICE);
  }

  /** The valid announcements of the service. */
  current(service: string, nowMs: number): readonly ReceivedAnnouncement[] {
    const ofService = this.byService.get(service);
    if (ofService === undefined) {
      return [];
    }
    for (const [incarnation, { receivedAtMs }] of ofService) {
      if (nowMs - receivedAtMs <= ANNOUNCEMENT_LIFETIME_MS) {
        break;
      }
      ofService.delete(incarnation);
      this.counters.add('ferryspool_slot_announcements_expired_total');
    }
    return [...ofService.values()];
  }

  /** Records that a request was sent to the endpoint. */
  use(service: string, incarnation: string, nowMs: number): void {
    const ofService = this.byService.get(service);
    const announcement = ofService?.get(incarnation);
    if (
      announcement === undefined ||
      nowMs - announcement.receivedAtMs > ANNOUNCEMENT_LIFETIME_MS
    ) {
      return;
    }
    this.counters.add('ferryspool_slot_announcements_used_total');
    announcement.slotsLeft -= 1;
    if (announcement.slotsLeft === 0) {
      ofService?.delete(incarnation);
    }
  }

  private ofService(service: string): Map<string, ReceivedAnnouncement> {
    let ofService = this.byService.get(service);
    if (ofService === undefined) {
      ofService = new Map();
      this.byService.set(service, ofService);
      dropFirstBeyond(this.byService, MAX_SERVICES);
    }
    return ofService;
  }
}

function dropFirstBeyond<Value>(map: Map<string, Value>, maxSize: number): void {
  if (map.size > maxSize) {
    const [first = ''] = map.keys();
    map.delete(first);
  }
}
