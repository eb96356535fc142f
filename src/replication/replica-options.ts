/** The surroundings of a replica. */
import type { ControlEffect, CounterSink } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { VersionedDocument } from '../model/document.js';
import type { MergedConfiguration } from '../model/merge.js';
import type { Resource } from '../model/resource.js';

/** What a replica needs to know of the fleet. */
export interface ReplicationFleet {
  /** Live members, best candidates for voters first; without leaving ones. */
  liveMembers(): readonly PeerIdentity[];
  /** Where a machine's process listens, as far as is known. */
  addressOf(id: string): PeerAddress | undefined;
  /** The machine has left the platform's list for good. */
  isGone(id: string): boolean;
  /** The machine is about to leave. */
  isLeaving(id: string): boolean;
}

/** The documents of this node that the replication reads, and the sink of accepted revisions. */
export interface ReplicationDocuments {
  sourceDocument(): VersionedDocument;
  operatorDocument(): VersionedDocument;
  offerOperator(document: VersionedDocument, nowMs: number): ControlEffect[];
  merge(source: VersionedDocument, operator: VersionedDocument): MergedConfiguration;
  /** Version of a resource's content, as preconditions name it; equal on every node. */
  versionOf(resource: Resource): string;
}

/** Surroundings of a replica. */
export interface ReplicaOptions {
  readonly self: PeerIdentity;
  /** Machines that form the first group; the same list on every machine. Empty: no writes. */
  readonly initialVoterIds: readonly string[];
  /** Voters to have, where the fleet has as many machines. */
  readonly targetVoterCount: number;
  /** Time that a write is given, in milliseconds. */
  readonly writeTimeoutMs: number;
  readonly fleet: ReplicationFleet;
  readonly documents: ReplicationDocuments;
  readonly counters: CounterSink;
}
