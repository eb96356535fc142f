/**
 * Interfaces between parts of the control plane: what the source reader and the replication of
 * operators' writes need from dissemination and membership.
 */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { VersionedDocument } from '../model/document.js';
import type { Machine } from '../model/machine.js';
import type { MergedConfiguration } from '../model/merge.js';
import type { DocumentName, MemberStatus, MemberUpdate } from '../wire/message.js';
import type { ControlEffect, PlatformAnswer, PlatformDocument } from './control-event.js';

/** Accepts answers that a reader received from the platform. */
export interface PlatformDocumentSink {
  /**
   * Processes a platform answer: a newer valid document is adopted and propagated. An older
   * document, a different one with the held number and an invalid one are counted and not adopted.
   * Answers without a document change nothing. `nowMs` is the clock of `ControlComponent.handle`.
   */
  offer(document: PlatformDocument, answer: PlatformAnswer, nowMs: number): ControlEffect[];
  /** Number of the held version, for a conditional read; 0 if none is held. */
  heldNumber(document: PlatformDocument): number;
}

/** View of the machines that elect readers and voters. */
export interface ElectorateView {
  readonly identity: PeerIdentity;
  /** Machines of the zone in the held list, oldest (lowest seniority number) first. */
  machinesInZone(zone: string): readonly Machine[];
}

/** View of the fleet and its documents, for the replication of operators' writes. */
export interface FleetView extends ElectorateView {
  /**
   * Every listed or known machine except this one; those that are only listed have incarnation 0.
   */
  members(): MemberUpdate[];
  /** Status of a machine; undefined if the machine is unknown. */
  memberStatus(machineId: string): MemberStatus | undefined;
  /** The held machine list, by machine id. */
  listedMachines(): ReadonlyMap<string, Machine>;
  heldDocuments(): Readonly<Record<DocumentName, VersionedDocument>>;
  /** Memoized `mergeDocuments`. */
  merge(source: VersionedDocument, operator: VersionedDocument): MergedConfiguration;
}

/** Accepts the operators' documents that the replication has accepted. */
export interface OperatorDocumentSink {
  /**
   * Adopts and propagates `document` if it is newer than the held one; otherwise changes nothing.
   */
  offerOperator(document: VersionedDocument, nowMs: number): ControlEffect[];
  /** The operators' document in force on this node. */
  operatorDocument(): VersionedDocument;
}

/** View of the machines that hold claims on idempotency keys. */
export interface OldestMachinesView {
  readonly identity: PeerIdentity;
  /**
   * The oldest machines (lowest seniority number) of a group of the held list, at most
   * {@link MAX_OLDEST_MACHINES}; see `fleetGroupOf`. The same array until the list changes.
   */
  oldestMachines(group: number, groups: number): readonly Machine[];
}

/** Maximum number of machines returned by {@link OldestMachinesView.oldestMachines}. */
export const MAX_OLDEST_MACHINES = 5;
