/** Counts the bytes and messages of each site, in both directions. */
import type { PeerMessage } from '../../src/wire/message.js';

/** TCP and IP header bytes assumed for each message; counted apart from frame bytes. */
export const PACKET_OVERHEAD_BYTES = 40;

/** Encoded size of a message with its frame, in bytes. */
export type MessageSizer = (message: PeerMessage) => number;

/** Totals of one site. */
export interface SiteTraffic {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  receivedMessages: number;
}

/** Traffic by site index, since the last reset. */
export class TrafficMeter {
  private sites: SiteTraffic[] = [];
  private readonly messagesByType = new Map<string, { messages: number; bytes: number }>();
  private readonly sizes = new WeakMap<PeerMessage, number>();

  constructor(private readonly sizer: MessageSizer) {}

  /** Counts a peer message at its sender; returns its size in bytes. */
  sent(index: number, message: PeerMessage): number {
    const bytes = this.sizeOf(message);
    this.sentBytes(index, bytes);
    const ofType = this.messagesByType.get(message.type) ?? { messages: 0, bytes: 0 };
    ofType.messages += 1;
    ofType.bytes += bytes;
    this.messagesByType.set(message.type, ofType);
    return bytes;
  }

  /** Counts bytes that are not a peer message, such as a handshake or a read of the platform. */
  sentBytes(index: number, bytes: number): void {
    const site = this.site(index);
    site.sentBytes += bytes;
    site.sentMessages += 1;
  }

  receivedBytes(index: number, bytes: number): void {
    const site = this.site(index);
    site.receivedBytes += bytes;
    site.receivedMessages += 1;
  }

  /** Totals of one site. */
  site(index: number): SiteTraffic {
    return (this.sites[index] ??= {
      sentBytes: 0,
      receivedBytes: 0,
      sentMessages: 0,
      receivedMessages: 0,
    });
  }

  /** Sent messages and bytes by message type, most bytes first. */
  byType(): { type: string; messages: number; bytes: number }[] {
    return [...this.messagesByType]
      .map(([type, total]) => ({ type, ...total }))
      .sort((left, right) => right.bytes - left.bytes);
  }

  reset(): void {
    this.sites = [];
    this.messagesByType.clear();
  }

  private sizeOf(message: PeerMessage): number {
    const known = this.sizes.get(message);
    if (known !== undefined) {
      return known;
    }
    const bytes = this.sizer(message);
    this.sizes.set(message, bytes);
    return bytes;
  }
}
