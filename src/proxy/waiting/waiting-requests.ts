/**
 * The requests that wait at their caller's node for a slot, by service. Answers bursts of some seconds: an offered slot
 * goes to the most urgent of them, whichever endpoint refused it. Pure: time is passed in.
 */
import { SlotOutlook } from '../../admission/slot-outlook.js';
import type { SlotOffer } from './slot-offer.js';

/** Age of the latest offer, in milliseconds, up to which it shows that there is room. */
const OFFER_LIFETIME_MS = 1_000;
/** Maximum number of services with known offers; beyond it, the one that was used first is forgotten. */
const MAX_SERVICES = 1_000;

/** Limits of what waits at one node. */
export interface WaitingLimits {
  readonly maxWaitingRequests: number;
  readonly maxWaitingBytes: number;
}

/** A request that waits. */
export interface WaitingRequest {
  readonly service: string;
  readonly rank: number;
  /** When the first try of its caller arrived. */
  readonly firstArrivedAtMs: number;
  readonly bodyBytes: number;
  /** Gives the offered slot to the request, which then waits no longer; returns false if it can't use the slot. */
  readonly resume: (offer: SlotOffer) => boolean;
  /** The request can't wait any longer. */
  readonly refuse: () => void;
}

/** What is known about waiting for one service. */
export interface ServiceWaits {
  readonly waitingCount: number;
  readonly offerWaitMs: number;
  readonly isOffered: boolean;
}

class ServiceQueue {
  /** The most urgent first. */
  readonly requests: WaitingRequest[] = [];
  readonly outlook = new SlotOutlook();
  private lastOfferAtMs = -Infinity;

  insert(request: WaitingRequest, nowMs: number): void {
    this.requests.splice(this.countAhead(request), 0, request);
    this.outlook.waitingBegan(nowMs);
  }

  countAhead(request: Pick<WaitingRequest, 'rank' | 'firstArrivedAtMs'>): number {
    const index = this.requests.findIndex((other) => isBefore(request, other));
    return index < 0 ? this.requests.length : index;
  }

  remove(request: WaitingRequest, nowMs: number): void {
    this.requests.splice(this.requests.indexOf(request), 1);
    if (this.requests.length === 0) {
      this.outlook.waitingEnded(nowMs);
    }
  }

  waits(request: Pick<WaitingRequest, 'rank' | 'firstArrivedAtMs'>, nowMs: number): ServiceWaits {
    return {
      waitingCount: this.requests.length,
      offerWaitMs: this.outlook.expectedWaitMs(this.countAhead(request), nowMs),
      isOffered: this.isOffered(nowMs),
    };
  }

  private isOffered(nowMs: number): boolean {
    return nowMs < this.lastOfferAtMs + OFFER_LIFETIME_MS;
  }

  /** A slot was offered, whether or not a request waits for it. */
  recordOffer(nowMs: number): void {
    this.outlook.slotFreed(nowMs);
    this.lastOfferAtMs = nowMs;
  }
}

export class WaitingRequests {
  private readonly services = new Map<string, ServiceQueue>();
  private waitingCount = 0;
  private waitingBytes = 0;

  constructor(private readonly limits: WaitingLimits) {}

  /** Number of requests that wait. */
  get size(): number {
    return this.waitingCount;
  }

  /** Whether requests may wait at this node at all. */
  get isEnabled(): boolean {
    return this.limits.maxWaitingRequests > 0;
  }

  /** Whether a request with a body of this size fits. */
  hasRoomFor(bodyBytes: number): boolean {
    const { maxWaitingRequests, maxWaitingBytes } = this.limits;
    const hasBytes = this.waitingBytes + bodyBytes <= maxWaitingBytes;
    return this.waitingCount < maxWaitingRequests && hasBytes;
  }

  /** What a request of the rank can expect. */
  waitsFor(
    service: string,
    request: Pick<WaitingRequest, 'rank' | 'firstArrivedAtMs'>,
    nowMs: number,
  ): ServiceWaits {
    const queue = this.services.get(service) ?? new ServiceQueue();
    return queue.waits(request, nowMs);
  }

  /** Adds a request and returns the function that removes it, to be called once. */
  add(request: WaitingRequest, nowMs: number): (endedAtMs: number) => void {
    const queue = this.queueOf(request.service);
    queue.insert(request, nowMs);
    this.waitingCount += 1;
    this.waitingBytes += request.bodyBytes;
    return (endedAtMs) => {
      queue.remove(request, endedAtMs);
      this.waitingCount -= 1;
      this.waitingBytes -= request.bodyBytes;
    };
  }

  /** Gives an offered slot to the most urgent request for the service; returns false if it is not used. */
  useOffer(offer: SlotOffer, nowMs: number): boolean {
    const queue = this.queueOf(offer.service);
    queue.recordOffer(nowMs);
    const [first] = queue.requests;
    return first?.resume(offer) === true;
  }

  /** Refuses all requests that wait; returns their number. */
  refuseAll(): number {
    const waiting = [...this.services.values()].flatMap(({ requests }) => [...requests]);
    waiting.forEach((request) => request.refuse());
    return waiting.length;
  }

  private queueOf(service: string): ServiceQueue {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const queue = new ServiceQueue();
    this.services.set(service, queue);
    this.dropUnused();
    return queue;
  }

  private dropUnused(): void {
    if (this.services.size <= MAX_SERVICES) {
      return;
    }
    const [oldest] = [...this.services].filter(([, { requests }]) => requests.length === 0);
    if (oldest !== undefined) {
      this.services.delete(oldest[0]);
    }
  }
}

function isBefore(
  one: Pick<WaitingRequest, 'rank' | 'firstArrivedAtMs'>,
  other: Pick<WaitingRequest, 'rank' | 'firstArrivedAtMs'>,
): boolean {
  return one.rank === other.rank
    ? one.firstArrivedAtMs < other.firstArrivedAtMs
    : one.rank < other.rank;
}
