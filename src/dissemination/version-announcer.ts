/**
 * Notifies overlay neighbours of held versions: pushes a small delta to a neighbour that is known
 * to hold an older version of the same history, otherwise announces all versions.
 */
import type { ControlEffect, CounterSink } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { compareVersions, isNewer, type DocumentVersion } from '../model/version.js';
import {
  DOCUMENT_NAMES,
  type DocumentName,
  type HeartbeatMessage,
  type HeldVersions,
} from '../wire/message.js';
import { MAX_PUSHED_DELTA_BYTES } from './document-parts.js';
import type { DocumentStore } from './document-store.js';
import { newNeighbour, type Neighbour } from './neighbour.js';

/** Consecutive heartbeats with a different digest after which the versions are announced. */
const DIFFERING_HEARTBEATS_BEFORE_ANNOUNCEMENT = 2;

/** Tracks the versions of each neighbour and announces this node's versions. */
export class VersionAnnouncer {
  readonly neighbours = new Map<string, Neighbour>();
  private heartbeat: HeartbeatMessage;

  /** `announcementIntervalMs`: minimum interval between announcements without a change. */
  constructor(
    private readonly self: PeerIdentity,
    private readonly store: DocumentStore,
    private readonly counters: CounterSink,
    private readonly announcementIntervalMs: number,
  ) {
    this.heartbeat = { type: 'heartbeat', versionsDigest: store.versionsDigest() };
  }

  /** The heartbeat to send; the same object until a held version changes. */
  heartbeatMessage(): HeartbeatMessage {
    if (this.heartbeat.versionsDigest !== this.store.versionsDigest()) {
      this.heartbeat = { type: 'heartbeat', versionsDigest: this.store.versionsDigest() };
    }
    return this.heartbeat;
  }

  /** Adds a confirmed neighbour and announces the held versions to it. */
  add(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    const neighbour = newNeighbour(this.self, peer);
    this.neighbours.set(peer.id, neighbour);
    this.announce(neighbour, nowMs, effects);
  }

  /** Compares digests; announces the held versions if a difference persists. */
  handleHeartbeat(
    from: string,
    message: HeartbeatMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const neighbour = this.neighbours.get(from);
    if (neighbour === undefined) {
      return;
    }
    if (message.versionsDigest === this.store.versionsDigest()) {
      neighbour.differingHeartbeats = 0;
      neighbour.held = this.store.versions();
      return;
    }
    neighbour.differingHeartbeats += 1;
    const isPersistent = neighbour.differingHeartbeats >= DIFFERING_HEARTBEATS_BEFORE_ANNOUNCEMENT;
    if (isPersistent && nowMs >= neighbour.nextAnnouncementAt) {
      this.announce(neighbour, nowMs, effects);
    }
  }

  /** Records the versions of a neighbour, and pushes or announces newer ones to it. */
  handleVersions(
    neighbour: Neighbour,
    versions: HeldVersions,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    neighbour.held = versions;
    let mustAnnounce = false;
    for (const name of DOCUMENT_NAMES) {
      if (isNewer(this.store.held(name).version, versions[name])) {
        mustAnnounce = !this.push(neighbour, name, effects) || mustAnnounce;
      }
    }
    if (mustAnnounce && neighbour.announcedDigest !== this.store.versionsDigest()) {
      this.announce(neighbour, nowMs, effects);
    }
  }

  /** Pushes or announces a newly adopted version to every neighbour not known to hold it. */
  propagate(name: DocumentName, nowMs: number, effects: ControlEffect[]): void {
    const held = this.store.held(name).version;
    for (const neighbour of this.neighbours.values()) {
      const knownVersion = neighbour.held?.[name];
      const isUpToDate = knownVersion !== undefined && compareVersions(knownVersion, held) >= 0;
      if (!isUpToDate && !this.push(neighbour, name, effects)) {
        this.announce(neighbour, nowMs, effects);
      }
    }
  }

  /** Records that a neighbour holds a version, because it sent it. */
  recordKnownVersion(from: string, name: DocumentName, version: DocumentVersion): void {
    const neighbour = this.neighbours.get(from);
    const knownVersions = neighbour?.held;
    if (
      neighbour !== undefined &&
      knownVersions !== undefined &&
      isNewer(version, knownVersions[name])
    ) {
      neighbour.held = { ...knownVersions, [name]: version };
    }
  }

  private push(neighbour: Neighbour, name: DocumentName, effects: ControlEffect[]): boolean {
    const knownVersions = neighbour.held;
    const held = this.store.held(name);
    if (knownVersions === undefined) {
      return false;
    }
    const sized = this.store.memo.deltaFrom(held, knownVersions[name]);
    if (sized === undefined || sized.bytes >= MAX_PUSHED_DELTA_BYTES) {
      return false;
    }
    this.counters.add(CONTROL_COUNTERS.deltasPushed);
    const message = { type: 'delta', document: name, ...sized.delta } as const;
    effects.push({ type: 'send', to: neighbour.peer.id, message });
    neighbour.held = { ...knownVersions, [name]: held.version };
    return true;
  }

  private announce(neighbour: Neighbour, nowMs: number, effects: ControlEffect[]): void {
    this.counters.add(CONTROL_COUNTERS.announcements);
    neighbour.nextAnnouncementAt = nowMs + this.announcementIntervalMs;
    neighbour.announcedDigest = this.store.versionsDigest();
    neighbour.differingHeartbeats = 0;
    const versions = this.store.versions();
    effects.push({ type: 'send', to: neighbour.peer.id, message: { type: 'versions', versions } });
  }
}
