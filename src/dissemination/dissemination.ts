/**
 * Replicates the three documents over the overlay: a small change is pushed as a delta, a larger
 * one is announced and fetched. The digest in heartbeats detects missed changes.
 */
import type { ControlEffect, CounterSink, RandomSource } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { DeltaMismatchError } from '../model/document.js';
import {
  DOCUMENT_NAMES,
  type DeltaMessage,
  type DocumentName,
  type HeartbeatMessage,
  type HeldVersions,
  type PeerMessage,
  type SnapshotChunkMessage,
} from '../wire/message.js';
import { DocumentAdopter } from './document-adopter.js';
import { DocumentFetcher } from './document-fetcher.js';
import type { DocumentStore } from './document-store.js';
import { RejectionFlood } from './rejection-flood.js';
import type { SourceRejection } from './rejection-log.js';
import { SnapshotServer } from './snapshot-server.js';
import { VersionAnnouncer } from './version-announcer.js';

/** Options of the dissemination. */
export interface DisseminationOptions {
  readonly self: PeerIdentity;
  readonly store: DocumentStore;
  readonly random: RandomSource;
  readonly counters: CounterSink;
  /** Minimum interval between announcements to a neighbour without a change, in milliseconds. */
  readonly announcementIntervalMs: number;
}

/** Replicates documents between overlay neighbours. */
export class Dissemination {
  /** Adopts documents from all sources. */
  readonly documents: DocumentAdopter;
  private readonly store: DocumentStore;
  private readonly counters: CounterSink;
  private readonly announcer: VersionAnnouncer;
  private readonly fetchers: Record<DocumentName, DocumentFetcher>;
  private readonly server: SnapshotServer;
  private readonly rejections: RejectionFlood;

  constructor(options: DisseminationOptions) {
    const { self, store, random, counters } = options;
    this.store = store;
    this.counters = counters;
    this.announcer = new VersionAnnouncer(self, store, counters, options.announcementIntervalMs);
    const { neighbours } = this.announcer;
    this.rejections = new RejectionFlood(() => neighbours.keys());
    this.documents = new DocumentAdopter(store, this.announcer, this.rejections, counters);
    const fetcher = (name: DocumentName): DocumentFetcher =>
      new DocumentFetcher(name, store, neighbours, random, counters);
    this.fetchers = {
      source: fetcher('source'),
      operator: fetcher('operator'),
      machines: fetcher('machines'),
    };
    this.server = new SnapshotServer(store, random, counters);
  }

  /** The heartbeat to send; the same object until a held version changes. */
  heartbeatMessage(): HeartbeatMessage {
    return this.announcer.heartbeatMessage();
  }

  /** The newest refused source version that no adopted version supersedes, with the reason. */
  rejectedSource(): SourceRejection | undefined {
    return this.rejections.current();
  }

  /** Versions held by each neighbour, by its id; omits neighbours whose versions are unknown. */
  neighbourVersions(): Map<string, HeldVersions> {
    const versions = new Map<string, HeldVersions>();
    for (const [id, { held }] of this.announcer.neighbours) {
      if (held !== undefined) {
        versions.set(id, held);
      }
    }
    return versions;
  }

  /** Time at which {@link wake} must be called next, in milliseconds. */
  nextWakeAt(): number {
    const { source, operator, machines } = this.fetchers;
    return Math.min(
      this.server.nextWakeAt(),
      source.nextWakeAt(),
      operator.nextWakeAt(),
      machines.nextWakeAt(),
    );
  }

  /** Handles all timers that are due. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    this.server.wake(nowMs, effects);
    for (const name of DOCUMENT_NAMES) {
      this.fetchers[name].wake(nowMs, effects);
    }
  }

  /** Restarts the timeouts of outstanding fetches after a pause of this process. */
  restartTimeouts(nowMs: number): void {
    for (const name of DOCUMENT_NAMES) {
      this.fetchers[name].restartTimeouts(nowMs);
    }
  }

  /** Adds a confirmed neighbour and sends it the held versions and the current rejection. */
  addNeighbour(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    this.announcer.add(peer, nowMs, effects);
    this.rejections.sendCurrent(peer.id, effects);
  }

  /** Removes a peer that is no longer a neighbour. */
  removeNeighbour(peerId: string, nowMs: number, effects: ControlEffect[]): void {
    this.announcer.neighbours.delete(peerId);
    this.server.removePeer(peerId);
    for (const name of DOCUMENT_NAMES) {
      const fetcher = this.fetchers[name];
      const wasFetching = fetcher.isWaitingFor(peerId);
      fetcher.removeNeighbour(peerId);
      if (wasFetching) {
        fetcher.scheduleFetch(nowMs, effects);
      }
    }
  }

  /** Ends the transfers to a peer whose link closed. */
  removePeer(peerId: string): void {
    this.server.removePeer(peerId);
  }

  /** Handles a message; ignores those for other parts of the control plane. */
  handleMessage(from: string, message: PeerMessage, nowMs: number, effects: ControlEffect[]): void {
    switch (message.type) {
      case 'heartbeat':
        this.announcer.handleHeartbeat(from, message, nowMs, effects);
        break;
      case 'versions':
        this.handleVersions(from, message.versions, nowMs, effects);
        break;
      case 'fetch':
        this.server.serve(from, message, nowMs, effects);
        break;
      case 'delta':
        this.handleDelta(from, message, nowMs, effects);
        break;
      case 'snapshot-chunk':
        this.handleChunk(from, message, nowMs, effects);
        break;
      case 'fetch-refused':
        this.fetchers[message.document].refused(from, message.retryAfterMs, nowMs);
        this.fetchers[message.document].scheduleFetch(nowMs, effects);
        break;
      case 'rejection':
        this.documents.learnRejection(message.version, message.reason, from, effects);
        break;
      default:
        break;
    }
  }

  private handleVersions(
    from: string,
    versions: HeldVersions,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const neighbour = this.announcer.neighbours.get(from);
    if (neighbour === undefined) {
      return;
    }
    this.announcer.handleVersions(neighbour, versions, nowMs, effects);
    for (const name of DOCUMENT_NAMES) {
      const fetcher = this.fetchers[name];
      if (!this.store.wants(name, versions[name])) {
        fetcher.answered(from);
      }
      fetcher.scheduleFetch(nowMs, effects);
    }
  }

  private handleDelta(
    from: string,
    message: DeltaMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const name = message.document;
    const fetcher = this.fetchers[name];
    const held = this.store.held(name);
    this.announcer.recordKnownVersion(from, name, message.to);
    fetcher.answered(from);
    if (this.store.wants(name, message.to) && message.from.number <= held.version.number) {
      try {
        const document = this.store.memo.apply(name, held, message);
        this.documents.adopt(name, document, from, nowMs, effects);
      } catch (error) {
        if (!(error instanceof DeltaMismatchError)) {
          throw error;
        }
        this.counters.add(CONTROL_COUNTERS.deltaMismatches);
        this.handleMismatch(fetcher, from, message.from.number === 0, nowMs);
      }
    }
    fetcher.scheduleFetch(nowMs, effects);
  }

  /**
   * Handles a digest mismatch: after an incremental delta, the next fetch requests the full
   * document; after a full document, the peer is skipped for a while.
   */
  private handleMismatch(
    fetcher: DocumentFetcher,
    from: string,
    isFullDocument: boolean,
    nowMs: number,
  ): void {
    if (isFullDocument) {
      fetcher.digestMismatched(from, nowMs);
    } else {
      fetcher.requireFullDocument();
    }
  }

  private handleChunk(
    from: string,
    message: SnapshotChunkMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const name = message.document;
    const fetcher = this.fetchers[name];
    const received = fetcher.receiveChunk(from, message, nowMs);
    if (received === undefined) {
      return;
    }
    try {
      const document = this.store.memo.assemble(name, received.version, received.entries);
      this.announcer.recordKnownVersion(from, name, received.version);
      this.documents.adopt(name, document, from, nowMs, effects);
    } catch (error) {
      if (!(error instanceof DeltaMismatchError)) {
        throw error;
      }
      this.counters.add(CONTROL_COUNTERS.snapshotMismatches);
      fetcher.digestMismatched(from, nowMs);
    }
    fetcher.scheduleFetch(nowMs, effects);
  }
}
