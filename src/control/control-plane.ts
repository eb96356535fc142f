/**
 * The control plane of a node: documents, membership and further components that share the same
 * links. Pure decision logic; the runtime and the emulator drive it through `handle`.
 */
import { Dissemination } from '../dissemination/dissemination.js';
import { DocumentMemo } from '../dissemination/document-memo.js';
import { DocumentStore } from '../dissemination/document-store.js';
import { Membership } from '../membership/membership.js';
import type { NeighbourListener } from '../membership/neighbour-links.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { VersionedDocument } from '../model/document.js';
import type { Machine } from '../model/machine.js';
import type { MergedConfiguration } from '../model/merge.js';
import type { Snapshot } from '../model/snapshot.js';
import type {
  DocumentName,
  HeartbeatMessage,
  MemberStatus,
  MemberUpdate,
  PeerMessage,
} from '../wire/message.js';
import type { ControlComponent, ControlEffect, ControlEvent } from './control-event.js';
import {
  CONTROL_DEFAULTS,
  type ControlPlaneOptions,
  type ControlStatus,
  type DocumentSink,
} from './control-options.js';
import type { FleetView, OldestMachinesView } from './control-ports.js';
import { isForComponents, isOverlayTraffic } from './message-audience.js';

/** Lateness of a wake from which the process is considered to have been paused, in milliseconds. */
export const LATE_WAKE_MS = 2_000;

export class ControlPlane
  implements ControlComponent, FleetView, OldestMachinesView, NeighbourListener
{
  readonly identity: PeerIdentity;
  readonly documents: DocumentSink;
  private readonly store: DocumentStore;
  private readonly dissemination: Dissemination;
  private readonly membership: Membership;
  private readonly components: readonly ControlComponent[];
  /** Peers with an open link, by machine id, as reported to the components. */
  private readonly linkedPeers = new Map<string, PeerIdentity>();
  /** Last computed time of the next wake. */
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
    this.components = (settings.components ?? []).map((createComponent) =>
      createComponent(this.documents, this),
    );
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    if (nowMs - this.wakeAt >= LATE_WAKE_MS) {
      this.restartTimeouts(nowMs);
    }
    this.dispatch(event, nowMs, effects);
    const closed = this.closedPeers(event, effects);
    if (isForComponents(event)) {
      this.handleInComponents(event, nowMs, effects);
    }
    for (const peer of closed) {
      this.handleInComponents({ type: 'peer-down', peer }, nowMs, effects);
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

  heldDocuments(): Readonly<Record<DocumentName, VersionedDocument>> {
    return this.store.heldDocuments();
  }

  /** Status of a machine; undefined if the machine is unknown. */
  memberStatus(machineId: string): MemberStatus | undefined {
    return this.membership.status(machineId);
  }

  /** Every listed or known machine except this one, with its status. */
  members(): MemberUpdate[] {
    const byId = new Map<string, PeerIdentity>();
    for (const machine of this.store.machines().byId.values()) {
      byId.set(machine.id, { ...machine, incarnation: 0 });
    }
    for (const record of this.membership.members.all()) {
      byId.set(record.identity.id, record.identity);
    }
    byId.delete(this.identity.id);
    return [...byId.values()].map((member) => ({
      member: toIdentity(member),
      status: this.membership.status(member.id) ?? 'alive',
    }));
  }

  /** Address at which a machine accepts relayed requests; undefined if unknown. */
  relayAddress(machineId: string): { address: string; relayPort: number } | undefined {
    const machine = this.store.machines().byId.get(machineId);
    const found = machine ?? this.membership.members.identityOf(machineId);
    return found === undefined ? undefined : { address: found.address, relayPort: found.relayPort };
  }

  machinesInZone(zone: string): readonly Machine[] {
    return this.store.machines().inZone(zone);
  }

  listedMachines(): ReadonlyMap<string, Machine> {
    return this.store.machines().byId;
  }

  merge(source: VersionedDocument, operator: VersionedDocument): MergedConfiguration {
    return this.store.memo.merge(source, operator);
  }

  oldestMachines(group: number, groups: number): readonly Machine[] {
    return this.store.machines().oldestOf(group, groups);
  }

  /** Summary for the status page and the resource API. */
  status(): ControlStatus {
    return {
      identity: this.identity,
      held: this.store.versions(),
      versionsDigest: this.store.versionsDigest(),
      neighbours: [...this.membership.links.neighbours()],
      rejectedSource: this.dissemination.rejectedSource(),
      suspended: this.store.configuration().suspended,
      sourceAdoptedAtMs: this.dissemination.documents.adoptedAtMs('source'),
      sourceReadStatus: this.dissemination.documents.sourceReadStatus(),
      neighbourVersions: this.dissemination.neighbourVersions(),
      machines: this.store.machines().byId.size,
    };
  }

  neighbourUp(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    this.dissemination.addNeighbour(peer, nowMs, effects);
  }

  neighbourDown(peerId: string, nowMs: number, effects: ControlEffect[]): void {
    this.dissemination.removeNeighbour(peerId, nowMs, effects);
  }

  heartbeatMessage(): HeartbeatMessage {
    return this.dissemination.heartbeatMessage();
  }

  /** Restarts all timeouts after a pause of this process, during which no messages were handled. */
  protected restartTimeouts(nowMs: number): void {
    this.membership.restartTimeouts(nowMs);
    this.dissemination.restartTimeouts(nowMs);
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
      case 'operator-write':
      case 'claim':
      case 'suspicions':
        break;
    }
  }

  private handleMessage(
    from: string,
    message: PeerMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.membership.links.messageReceived(from, isOverlayTraffic(message), nowMs);
    if (message.type === 'heartbeat') {
      this.membership.handleHeartbeat(from, message, nowMs, effects);
    } else if (message.type === 'members') {
      this.membership.handleMembers(from, message.updates, nowMs, effects);
      return;
    }
    const previousMachines = this.store.machines();
    this.dissemination.handleMessage(from, message, nowMs, effects);
    this.applyMachineList(previousMachines, nowMs);
  }

  private applyMachineList(before: unknown, nowMs: number): void {
    const machines = this.store.machines();
    if (machines !== before) {
      this.membership.setMachines(machines, nowMs);
    }
  }

  /** Peers whose links are closed by `effects`: no `peer-down` event from the runtime follows. */
  private closedPeers(event: ControlEvent, effects: readonly ControlEffect[]): PeerIdentity[] {
    if (event.type === 'peer-up') {
      this.linkedPeers.set(event.peer.id, event.peer);
    } else if (event.type === 'peer-down') {
      this.linkedPeers.delete(event.peer.id);
    }
    const closed: PeerIdentity[] = [];
    for (const effect of effects) {
      const peer = effect.type === 'hang-up' ? this.linkedPeers.get(effect.peerId) : undefined;
      if (peer !== undefined) {
        this.linkedPeers.delete(peer.id);
        closed.push(peer);
      }
    }
    return closed;
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

  /** Drops a `hang-up` of an overlay link; a `send` restarts the idle timeout of its link. */
  private addComponentEffect(effect: ControlEffect, nowMs: number, effects: ControlEffect[]): void {
    if (effect.type === 'hang-up' && this.membership.links.isOverlayPeer(effect.peerId)) {
      return;
    }
    if (effect.type === 'send') {
      this.membership.links.markUsed(effect.to, nowMs);
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

  /** Document sinks that also apply a new machine list to the membership. */
  private documentSink(): DocumentSink {
    const { documents } = this.dissemination;
    return {
      offer: (document, answer, nowMs) => {
        const previousMachines = this.store.machines();
        const effects = documents.offer(document, answer, nowMs);
        this.applyMachineList(previousMachines, nowMs);
        this.wakeAt = this.earliestWake();
        return effects;
      },
      heldNumber: (document) => documents.heldNumber(document),
      offerOperator: (document, nowMs) => {
        const effects = documents.offerOperator(document, nowMs);
        this.wakeAt = this.earliestWake();
        return effects;
      },
      operatorDocument: () => documents.operatorDocument(),
    };
  }
}

function toIdentity(peer: PeerIdentity): PeerIdentity {
  const { id, incarnation, address, controlPort, relayPort, zone, region } = peer;
  return { id, incarnation, address, controlPort, relayPort, zone, region };
}
