/**
 * Ports between parts of the control plane: what the source reader and the replication of operators'
 * writes need from the parts that hold documents and know members.
 */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { VersionedDocument } from '../model/document.js';
import type { Machine } from '../model/machine.js';
import type { MergedConfiguration } from '../model/merge.js';
import type { DocumentName, MemberStatus, MemberUpdate } from '../wire/message.js';
import type { ControlEffect, PlatformAnswer, PlatformDocument } from './control-event.js';

/** Takes what a reader learned from the platform. */
export interface PlatformDocumentSink {
  /**
   * Decides on a platform answer: a newer valid document is adopted and passed on; an older one, a
   * different one under the held number and an invalid one are counted and not followed.
   * Answers without a document change nothing. `nowMs` is the clock of `ControlComponent.handle`.
   */
  offer(document: PlatformDocument, answer: PlatformAnswer, nowMs: number): ControlEffect[];
  /** Version number held, for a conditional read; 0 when none is held. */
  heldNumber(document: PlatformDocument): number;
}

/** What is known of the machines that elect readers and voters. */
export interface ElectorateView {
  readonly identity: PeerIdentity;
  /** Machines of the zone on the held list, oldest (lowest seniority) first. */
  machinesInZone(zone: string): readonly Machine[];
}

/** What is known of the fleet and its documents, for the replication of operators' writes. */
export interface FleetView extends ElectorateView {
  /** Every machine that is listed or known; those that were only listed have incarnation 0. */
  members(): MemberUpdate[];
  /** Status of a machine; undefined when nothing is known of it. */
  memberStatus(machineId: string): MemberStatus | undefined;
  /** The held machine list, by machine id. */
  listedMachines(): ReadonlyMap<string, Machine>;
  /** The documents that are held. */
  heldDocuments(): Readonly<Record<DocumentName, VersionedDocument>>;
  /** `mergeDocuments`, with recent results remembered. */
  merge(source: VersionedDocument, operator: VersionedDocument): MergedConfiguration;
}

/** Takes the operators' document that the replication holds as accepted. */
export interface OperatorDocumentSink {
  /** Adopts and passes on `document` when it is newer than the one held; else changes nothing. */
  offerOperator(document: VersionedDocument, nowMs: number): ControlEffect[];
  /** The operators' document in force on this node. */
  operatorDocument(): VersionedDocument;
}

/** The machines that hold claims on idempotency keys. */
export interface OldestMachinesView {
  readonly identity: PeerIdentity;
  /**
   * The oldest machines (lowest seniority) of a group of the held list, `OLDEST_MACHINES` at most;
   * see `fleetGroupOf`. The same array until the list changes.
   */
  oldestMachines(group: number, groups: number): readonly Machine[];
}

/** Machines that {@link OldestMachinesView} names at most. */
export const MAX_OLDEST_MACHINES = 5;
