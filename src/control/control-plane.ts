/**
 * The control plane of a node: documents, members and whatever further components run on the same
 * links. Pure decision logic; the runtime and the emulator drive it through `handle`.
 */
import { Dissemination } from '../dissemination/dissemination.js';
import { DocumentMemo } from '../dissemination/document-memo.js';
import { DocumentStore } from '../dissemination/document-store.js';
import type { SourceRejection } from '../dissemination/rejection-log.js';
import { Membership, type NeighbourListener } from '../membership/membership.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { Machine } from '../model/machine.js';
import type { Snapshot } from '../model/snapshot.js';
import type { HeldVersions, MemberStatus, PeerMessage } from '../wire/message.js';
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
  CounterSink,
  RandomSource,
} from './control-event.js';
import type {
  ElectorateView,
  OperatorDocumentSink,
  PlatformDocumentSink,
} from './control-ports.js';

/** Numbers of a control plane where no others are given; times in milliseconds. */
export const CONTROL_DEFAULTS = {
  neighbours: 4,
  maxInbound: 16,
  heartbeatIntervalMs: 2_000,
  suspectAfterMs: 6_000,
  deadAfterMs: 12_000,
} as const;

/** A wake that comes this much late means that the process was paused, in milliseconds. */
export const LATE_WAKE_MS = 2_000;

/** Makes a component that runs beside dissemination and membership; called once. */
export type ComponentFactory = (
  documents: PlatformDocumentSink & OperatorDocumentSink,
  electorate: ElectorateView,
) => ControlComponent;

/** How a control plane is made; numbers default to {@link CONTROL_DEFAULTS}. */
export interface ControlPlaneOptions {
  readonly identity: PeerIdentity;
  readonly seeds: readonly PeerAddress[];
  readonly random: RandomSource;
  readonly counters: CounterSink;
  readonly neighbours?: number;
  readonly maxInbound?: number;
  readonly heartbeatIntervalMs?: number;
  readonly suspectAfterMs?: number;
  readonly deadAfterMs?: number;
  /** Shared by nodes of one process in an emulator; a node of its own needs none. */
  readonly memo?: DocumentMemo;
  /** The source reader, the operators' replication, and the like. */
  readonly components?: readonly ComponentFactory[];
}

/** What a node says of itself. */
export interface ControlStatus {
  readonly identity: PeerIdentity;
  readonly held: HeldVersions;
  /** Digest of `held`: nodes with the same digest hold the same. */
  readonly versionsDigest: string;
  readonly neighbours: readonly PeerIdentity[];
  readonly rejectedSource: SourceRejection | undefined;
  /** Operators' entries that cannot be applied to the source's document now. */
  readonly suspended: readonly ConfigurationFault[];
  /** When the held source document was adopted, in milliseconds; undefined when none is held. */
  readonly sourceAdoptedAtMs: number | undefined;
  readonly machines: number;
}

/** One node's control plane. */
export class ControlPlane implements ControlComponent, ElectorateView, NeighbourListener {
  readonly identity: PeerIdentity;
  readonly documents: PlatformDocumentSink & OperatorDocumentSink;
  private readonly store: DocumentStore;
  private readonly dissemination: Dissemination;
  private readonly membership: Membership;
  private readonly components: readonly ControlComponent[];
  /** When the node should next be woken, as last computed. */
  private wakeAt = Infinity;

  constructor(options: ControlPlaneOptions) {
    const settings = { ...CONTROL_DEFAULTS, ...options };
    const { identity, random, counters } = settings;
    this.identity = identity;
    this.store = new DocumentStore(settings.memo ?? new DocumentMemo(), counters);
    this.dissemination = new Dissemination({
      self: identity,
      store: this.store,
      random,
      counters,
      announcementIntervalMs: 2 * settings.heartbeatIntervalMs,
    });
    this.documents = this.documentSink();
    const memberOptions = { ...settings, self: identity };
    this.membership = new Membership(memberOptions, this, this.store.machines());
    this.components = (settings.components ?? []).map((make) => make(this.documents, this));
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    if (nowMs - this.wakeAt >= LATE_WAKE_MS) {
      this.membership.grantGrace(nowMs);
      this.dissemination.grantGrace(nowMs);
    }
    this.dispatch(event, nowMs, effects);
    if (!isInternal(event)) {
      this.handleInComponents(event, nowMs, effects);
    }
    this.wakeAt = this.earliestWake();
    return effects;
  }

  nextWakeAt(): number {
    return this.wakeAt;
  }

  /** The configuration in force. */
  snapshot(): Snapshot {
    return this.store.configuration().snapshot;
  }

  /** Status of a machine; undefined when nothing is known of it. */
  memberStatus(machineId: string): MemberStatus | undefined {
    return this.membership.status(machineId);
  }

  /** Where a machine's node takes requests of other nodes; undefined when it is not known. */
  relayAddress(machineId: string): { address: string; relayPort: number } | undefined {
    const machine = this.store.machines().byId.get(machineId);
    const found = machine ?? this.membership.members.identityOf(machineId);
    return found === undefined ? undefined : { address: found.address, relayPort: found.relayPort };
  }

  machinesInZone(zone: string): readonly Machine[] {
    return this.store.machines().inZone(zone);
  }

  /** The summary for the status page and the resource API. */
  status(): ControlStatus {
    return {
      identity: this.identity,
      held: this.store.versions(),
      versionsDigest: this.store.versionsDigest(),
      neighbours: this.membership.neighbours(),
      rejectedSource: this.dissemination.rejectedSource(),
      suspended: this.store.configuration().suspended,
      sourceAdoptedAtMs: this.dissemination.adoptedAtMs('source'),
      machines: this.store.machines().byId.size,
    };
  }

  neighbourUp(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    this.dissemination.addNeighbour(peer, nowMs, effects);
  }

  neighbourDown(peerId: string, nowMs: number, effects: ControlEffect[]): void {
    this.dissemination.removeNeighbour(peerId, nowMs, effects);
  }

  heartbeatMessage(): ReturnType<Dissemination['heartbeatMessage']> {
    return this.dissemination.heartbeatMessage();
  }

  private dispatch(event: ControlEvent, nowMs: number, effects: ControlEffect[]): void {
    switch (event.type) {
      case 'start':
        this.membership.start(nowMs);
        break;
      case 'wake':
        this.membership.wake(nowMs, effects);
        if (nowMs >= this.dissemination.nextWakeAt()) {
          this.dissemination.wake(nowMs, effects);
        }
        break;
      case 'peer-up':
        this.membership.peerUp(event.peer, nowMs, effects);
        break;
      case 'peer-down':
        this.dissemination.removePeer(event.peer.id);
        this.membership.peerDown(event.peer, nowMs, effects);
        break;
      case 'dial-failed':
        this.membership.dialFailed(event.target, nowMs);
        break;
      case 'message':
        this.handleMessage(event.from.id, event.message, nowMs, effects);
        break;
      case 'stop':
        this.membership.stop(nowMs, effects);
        break;
      case 'platform-answer':
        break;
    }
  }

  private handleMessage(
    from: string,
    message: PeerMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.membership.heard(from, isOverlayTraffic(message), nowMs);
    if (message.type === 'heartbeat') {
      this.membership.handleHeartbeat(from, nowMs, effects);
    } else if (message.type === 'members') {
      this.membership.handleMembers(from, message.updates, nowMs, effects);
      return;
    }
    const machinesBefore = this.store.machines();
    this.dissemination.handleMessage(from, message, nowMs, effects);
    this.followMachines(machinesBefore, nowMs);
  }

  private followMachines(before: unknown, nowMs: number): void {
    const machines = this.store.machines();
    if (machines !== before) {
      this.membership.setMachines(machines, nowMs);
    }
  }

  private handleInComponents(event: ControlEvent, nowMs: number, effects: ControlEffect[]): void {
    for (const component of this.components) {
      if (event.type === 'wake' && nowMs < component.nextWakeAt()) {
        continue;
      }
      for (const effect of component.handle(event, nowMs)) {
        this.addComponentEffect(effect, nowMs, effects);
      }
    }
  }

  /** A component may not close a link that the overlay uses; links that it uses are kept. */
  private addComponentEffect(effect: ControlEffect, nowMs: number, effects: ControlEffect[]): void {
    if (effect.type === 'hang-up' && this.membership.isOverlayPeer(effect.peerId)) {
      return;
    }
    if (effect.type === 'send') {
      this.membership.used(effect.to, nowMs);
    }
    effects.push(effect);
  }

  private earliestWake(): number {
    let earliest = Math.min(this.membership.nextWakeAt(), this.dissemination.nextWakeAt());
    for (const component of this.components) {
      earliest = Math.min(earliest, component.nextWakeAt());
    }
    return earliest;
  }

  /** The dissemination's sinks, with the machine list followed by the membership. */
  private documentSink(): PlatformDocumentSink & OperatorDocumentSink {
    const { dissemination } = this;
    return {
      offer: (document, answer, nowMs) => {
        const machinesBefore = this.store.machines();
        const effects = dissemination.offer(document, answer, nowMs);
        this.followMachines(machinesBefore, nowMs);
        this.wakeAt = this.earliestWake();
        return effects;
      },
      heldNumber: (document) => dissemination.heldNumber(document),
      offerOperator: (document, nowMs) => {
        const effects = dissemination.offerOperator(document, nowMs);
        this.wakeAt = this.earliestWake();
        return effects;
      },
      operatorDocument: () => dissemination.operatorDocument(),
    };
  }
}

/** Messages that belong to the overlay and its documents: they are of no use to components. */
function isOverlayTraffic(message: PeerMessage): boolean {
  switch (message.type) {
    case 'heartbeat':
    case 'versions':
    case 'delta':
    case 'members':
    case 'rejection':
      return true;
    case 'fetch':
    case 'snapshot-chunk':
    case 'fetch-refused':
    default:
      return false;
  }
}

function isInternal(event: ControlEvent): boolean {
  if (event.type !== 'message') {
    return false;
  }
  switch (event.message.type) {
    case 'fetch':
    case 'snapshot-chunk':
    case 'fetch-refused':
      return true;
    default:
      return isOverlayTraffic(event.message);
  }
}
