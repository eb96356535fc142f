/**
 * Announces free slots of one endpoint that this node owns to the senders that its announcer selects. Only endpoints that
 * report how long work takes at present are announced, and none that fails requests: those have free slots all the time.
 */
import type { SlownessReport } from '../admission/reported-slowness.js';
import type { CounterSink, RandomSource } from '../control/control-event.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import { FreeSlotAnnouncer } from '../routing/free-slot-announcer.js';
import type { FreeSlotAnnouncement } from '../routing/free-slot-announcements.js';

/** Share of failed requests from which an endpoint is not announced. */
const MAX_FAILURE_SHARE = 0.2;

/** A node that has sent requests, and to which announcements can be sent. */
export interface AnnouncementReceiver {
  announceSlots(announcement: FreeSlotAnnouncement): void;
}

/** Dependencies of announcements on their node. */
export interface SlotAnnouncementOptions {
  /** The machine of this node, which announces the endpoints on it. */
  readonly machineId: string;
  /** Maximum number of announcements of one endpoint per second. */
  readonly maxPerS: number;
  readonly random: RandomSource;
  readonly counters: CounterSink;
  readonly isStopping: () => boolean;
  /** Passes an announcement to the requests of this node. */
  readonly announceHere: (announcement: FreeSlotAnnouncement) => void;
}

/** Announcements of one endpoint. */
export class SlotAnnouncements {
  private readonly announcer: FreeSlotAnnouncer<AnnouncementReceiver>;
  private readonly isOwned: boolean;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly options: SlotAnnouncementOptions,
  ) {
    this.announcer = new FreeSlotAnnouncer(options.maxPerS, options.random);
    this.isOwned = endpoint.spec.machine === options.machineId;
  }

  senderSeen(sender: AnnouncementReceiver, nowMs: number): void {
    this.announcer.senderSeen(sender, nowMs);
  }

  /** Announces the free slots if it is time to; `failureShare` is that of the endpoint's recent requests. */
  announce(
    freeSlots: number,
    slowness: SlownessReport | undefined,
    failureShare: number,
    nowMs: number,
  ): void {
    const { counters, isStopping, announceHere } = this.options;
    const isAnnounced = this.isOwned && slowness !== undefined && !isStopping();
    if (!isAnnounced || failureShare >= MAX_FAILURE_SHARE) {
      return;
    }
    const receivers = this.announcer.due(freeSlots, nowMs);
    if (receivers.length === 0) {
      return;
    }
    const announcement = {
      service: this.endpoint.spec.service,
      incarnation: incarnationOf(this.endpoint),
      freeSlots: Math.ceil(freeSlots / receivers.length),
      slowness,
    };
    receivers.forEach((receiver) => receiver.announceSlots(announcement));
    counters.add('ferryspool_slot_announcements_sent_total', receivers.length);
    announceHere(announcement);
  }
}
