/**
 * Spreads the three documents over the overlay: a small change is pushed as a delta, a larger one is
 * announced and fetched; the digest on heartbeats finds what was missed.
 */
import type {
  ControlEffect,
  CounterSink,
  PlatformAnswer,
  PlatformDocument,
  RandomSource,
} from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { OperatorDocumentSink, PlatformDocumentSink } from '../control/control-ports.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { DeltaMismatchError, type VersionedDocument } from '../model/document.js';
import { compareVersions, isNewer, type DocumentVersion } from '../model/version.js';
import {
  DOCUMENT_NAMES,
  type DeltaMessage,
  type DocumentName,
  type HeartbeatMessage,
  type HeldVersions,
  type PeerMessage,
  type RejectionMessage,
  type SnapshotChunkMessage,
} from '../wire/message.js';
import { DocumentFetcher } from './document-fetcher.js';
import { MAX_PUSHED_DELTA_BYTES } from './document-parts.js';
import type { DocumentStore } from './document-store.js';
import { newNeighbour, type Neighbour } from './neighbour.js';
import { offerPlatformAnswer, type PlatformVerdict } from './platform-offer.js';
import { RejectionLog, type SourceRejection } from './rejection-log.js';
import { SnapshotServer } from './snapshot-server.js';

/** Heartbeats in a row with another digest before the versions are announced. */
const DIFFERING_HEARTBEATS_BEFORE_ANNOUNCEMENT = 2;

/** What dissemination needs. */
export interface DisseminationOptions {
  readonly self: PeerIdentity;
  readonly store: DocumentStore;
  readonly random: RandomSource;
  readonly counters: CounterSink;
  /** Least time between two announcements to a neighbour without a change, in milliseconds. */
  readonly announcementIntervalMs: number;
}

/** The replication of documents between overlay neighbours. */
export class Dissemination implements PlatformDocumentSink, OperatorDocumentSink {
  private readonly store: DocumentStore;
  private readonly counters: CounterSink;
  private readonly neighbours = new Map<string, Neighbour>();
  private readonly fetchers: Record<DocumentName, DocumentFetcher>;
  private readonly server: SnapshotServer;
  private readonly rejections = new RejectionLog();
  private heartbeat: HeartbeatMessage;
  private readonly adoptedAt: Record<DocumentName, number | undefined> = {
    source: undefined,
    operator: undefined,
    machines: undefined,
  };

  constructor(private readonly options: DisseminationOptions) {
    const { store, random, counters } = options;
    this.store = store;
    this.counters = counters;
    const fetcher = (name: DocumentName): DocumentFetcher =>
      new DocumentFetcher(name, store, this.neighbours, random, counters);
    this.fetchers = {
      source: fetcher('source'),
      operator: fetcher('operator'),
      machines: fetcher('machines'),
    };
    this.server = new SnapshotServer(store, random, counters);
    this.heartbeat = { type: 'heartbeat', versionsDigest: store.versionsDigest() };
  }

  /** The heartbeat to send; the same object until a held version changes. */
  heartbeatMessage(): HeartbeatMessage {
    return this.heartbeat;
  }

  /** The newest source version that was refused and not overtaken, with the reason. */
  rejectedSource(): SourceRejection | undefined {
    return this.rejections.current();
  }

  /** When the held version was adopted, in milliseconds; undefined when nothing is held. */
  adoptedAtMs(name: DocumentName): number | undefined {
    return this.adoptedAt[name];
  }

  /** Time of the next `wake` that is needed, in milliseconds. */
  nextWakeAt(): number {
    const { source, operator, machines } = this.fetchers;
    return Math.min(
      this.server.nextWakeAt(),
      source.nextWakeAt(),
      operator.nextWakeAt(),
      machines.nextWakeAt(),
    );
  }

  /** Acts on what is due. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    this.server.wake(nowMs, effects);
    for (const name of DOCUMENT_NAMES) {
      this.fetchers[name].wake(nowMs, effects);
    }
  }

  /** The node was paused: outstanding fetches get their whole time again. */
  grantGrace(nowMs: number): void {
    for (const name of DOCUMENT_NAMES) {
      this.fetchers[name].grantGrace(nowMs);
    }
  }

  /** A neighbour was confirmed: tell it what is held here. */
  addNeighbour(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    const neighbour = newNeighbour(this.options.self, peer);
    this.neighbours.set(peer.id, neighbour);
    this.announce(neighbour, nowMs, effects);
    const rejection = this.rejections.current();
    if (rejection !== undefined) {
      effects.push({ type: 'send', to: peer.id, message: rejectionMessage(rejection) });
    }
  }

  /** A neighbour is no longer one. */
  removeNeighbour(peerId: string, nowMs: number, effects: ControlEffect[]): void {
    this.neighbours.delete(peerId);
    this.server.removePeer(peerId);
    for (const name of DOCUMENT_NAMES) {
      const fetcher = this.fetchers[name];
      const wasWaiting = fetcher.isWaitingFor(peerId);
      fetcher.removeNeighbour(peerId);
      if (wasWaiting) {
        fetcher.consider(nowMs, effects);
      }
    }
  }

  /** The link of a peer that was no neighbour closed. */
  removePeer(peerId: string): void {
    this.server.removePeer(peerId);
  }

  /** Handles a message; those of other parts of the control plane are left alone. */
  handleMessage(from: string, message: PeerMessage, nowMs: number, effects: ControlEffect[]): void {
    switch (message.type) {
      case 'heartbeat':
        this.handleHeartbeat(from, message, nowMs, effects);
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
        this.fetchers[message.document].consider(nowMs, effects);
        break;
      case 'rejection':
        this.learnRejection(message.version, message.reason, from, effects);
        break;
      default:
        break;
    }
  }

  offer(document: PlatformDocument, answer: PlatformAnswer, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    const verdict = offerPlatformAnswer(this.store.held(document), answer);
    this.followVerdict(document, verdict, nowMs, effects);
    return effects;
  }

  heldNumber(document: PlatformDocument): number {
    return this.store.held(document).version.number;
  }

  offerOperator(document: VersionedDocument, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    this.adopt('operator', document, undefined, nowMs, effects);
    return effects;
  }

  operatorDocument(): VersionedDocument {
    return this.store.held('operator');
  }

  private followVerdict(
    document: PlatformDocument,
    verdict: PlatformVerdict,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    switch (verdict.outcome) {
      case 'newer':
        this.adopt(document, verdict.document, undefined, nowMs, effects);
        break;
      case 'stale':
        this.counters.add(CONTROL_COUNTERS.staleSourceAnswers);
        break;
      case 'conflict':
        this.counters.add(CONTROL_COUNTERS.conflictingSourceAnswers);
        break;
      case 'invalid':
        this.counters.add(CONTROL_COUNTERS.invalidSourceAnswers);
        if (document === 'source') {
          this.learnRejection(verdict.version, verdict.reason, undefined, effects);
        }
        break;
      case 'nothing':
        break;
    }
  }

  private handleHeartbeat(
    from: string,
    message: HeartbeatMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const neighbour = this.neighbours.get(from);
    if (neighbour === undefined) {
      return;
    }
    if (message.versionsDigest === this.heartbeat.versionsDigest) {
      neighbour.differingHeartbeats = 0;
      neighbour.known = this.store.versions();
      return;
    }
    neighbour.differingHeartbeats += 1;
    if (
      neighbour.differingHeartbeats >= DIFFERING_HEARTBEATS_BEFORE_ANNOUNCEMENT &&
      nowMs >= neighbour.nextAnnouncementAt
    ) {
      this.announce(neighbour, nowMs, effects);
    }
  }

  private handleVersions(
    from: string,
    versions: HeldVersions,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const neighbour = this.neighbours.get(from);
    if (neighbour === undefined) {
      return;
    }
    neighbour.known = versions;
    let isBehind = false;
    for (const name of DOCUMENT_NAMES) {
      const fetcher = this.fetchers[name];
      if (fetcher.isWaitingFor(from) && !this.store.wants(name, versions[name])) {
        fetcher.answered(from);
      }
      if (isNewer(this.store.held(name).version, versions[name])) {
        isBehind ||= !this.push(neighbour, name, effects);
      } else if (this.store.wants(name, versions[name])) {
        fetcher.consider(nowMs, effects);
      }
    }
    if (isBehind && neighbour.announcedDigest !== this.heartbeat.versionsDigest) {
      this.announce(neighbour, nowMs, effects);
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
    this.noteKnown(from, name, message.to);
    fetcher.answered(from);
    if (this.store.wants(name, message.to) && message.from.number <= held.version.number) {
      try {
        const document = this.store.memo.apply(name, held, message);
        this.adopt(name, document, from, nowMs, effects);
      } catch (error) {
        if (!(error instanceof DeltaMismatchError)) {
          throw error;
        }
        this.counters.add(CONTROL_COUNTERS.deltaMismatches);
        fetcher.demandWhole();
      }
    }
    fetcher.consider(nowMs, effects);
  }

  private handleChunk(
    from: string,
    message: SnapshotChunkMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const name = message.document;
    const fetcher = this.fetchers[name];
    const received = fetcher.takeChunk(from, message, nowMs);
    if (received === undefined) {
      return;
    }
    try {
      const document = this.store.memo.assemble(name, received.version, received.entries);
      this.noteKnown(from, name, received.version);
      this.adopt(name, document, from, nowMs, effects);
    } catch (error) {
      if (!(error instanceof DeltaMismatchError)) {
        throw error;
      }
      this.counters.add(CONTROL_COUNTERS.snapshotMismatches);
      fetcher.distrust(from, nowMs);
    }
    fetcher.consider(nowMs, effects);
  }

  private adopt(
    name: DocumentName,
    document: VersionedDocument,
    from: string | undefined,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const adoption = this.store.adopt(name, document);
    if (adoption.outcome === 'refused') {
      const detail = `${name} ${document.version.number}: ${adoption.reason}`;
      effects.push({ type: 'state-change', what: 'document-refused', detail });
      if (name === 'source') {
        this.learnRejection(document.version, adoption.reason, from, effects);
      }
      return;
    }
    if (adoption.outcome === 'not-newer') {
      return;
    }
    this.adoptedAt[name] = nowMs;
    this.heartbeat = { type: 'heartbeat', versionsDigest: this.store.versionsDigest() };
    this.fetchers[name].adopted();
    if (name === 'source') {
      this.rejections.adopted(document.version.number);
    }
    if (name !== 'machines') {
      effects.push({ type: 'snapshot-changed', snapshot: this.store.configuration().snapshot });
    }
    for (const neighbour of this.neighbours.values()) {
      this.passOn(neighbour, name, nowMs, effects);
    }
  }

  /** Tells a neighbour of a version that was just adopted. */
  private passOn(
    neighbour: Neighbour,
    name: DocumentName,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const known = neighbour.known?.[name];
    const held = this.store.held(name).version;
    if (known !== undefined && compareVersions(known, held) >= 0) {
      return;
    }
    if (!this.push(neighbour, name, effects)) {
      this.announce(neighbour, nowMs, effects);
    }
  }

  /** Sends a small delta to a neighbour that is known to hold an older version of this history. */
  private push(neighbour: Neighbour, name: DocumentName, effects: ControlEffect[]): boolean {
    const known = neighbour.known;
    const held = this.store.held(name);
    if (known === undefined) {
      return false;
    }
    const sized = this.store.memo.deltaFrom(held, known[name]);
    if (sized === undefined || sized.bytes >= MAX_PUSHED_DELTA_BYTES) {
      return false;
    }
    this.counters.add(CONTROL_COUNTERS.deltasPushed);
    const message = { type: 'delta', document: name, ...sized.delta } as const;
    effects.push({ type: 'send', to: neighbour.peer.id, message });
    neighbour.known = { ...known, [name]: held.version };
    return true;
  }

  private announce(neighbour: Neighbour, nowMs: number, effects: ControlEffect[]): void {
    this.counters.add(CONTROL_COUNTERS.announcements);
    neighbour.nextAnnouncementAt = nowMs + this.options.announcementIntervalMs;
    neighbour.announcedDigest = this.heartbeat.versionsDigest;
    neighbour.differingHeartbeats = 0;
    const versions = this.store.versions();
    effects.push({ type: 'send', to: neighbour.peer.id, message: { type: 'versions', versions } });
  }

  private noteKnown(from: string, name: DocumentName, version: DocumentVersion): void {
    const neighbour = this.neighbours.get(from);
    const known = neighbour?.known;
    if (neighbour !== undefined && known !== undefined && isNewer(version, known[name])) {
      neighbour.known = { ...known, [name]: version };
    }
  }

  private learnRejection(
    version: DocumentVersion,
    reason: string,
    from: string | undefined,
    effects: ControlEffect[],
  ): void {
    const rejection = this.rejections.learn(version, reason, this.heldNumber('source'));
    if (rejection === undefined) {
      return;
    }
    const detail = `source ${version.number}: ${rejection.reason}`;
    effects.push({ type: 'state-change', what: 'source-rejected', detail });
    const message = rejectionMessage(rejection);
    for (const id of this.neighbours.keys()) {
      if (id !== from) {
        effects.push({ type: 'send', to: id, message });
      }
    }
  }
}

function rejectionMessage(rejection: SourceRejection): RejectionMessage {
  return { type: 'rejection', version: rejection.version, reason: rejection.reason };
}
