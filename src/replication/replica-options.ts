/** Dependencies and settings of a replica. */
import type { ControlEffect, CounterSink } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { VersionedDocument } from '../model/document.js';
import type { MergedConfiguration } from '../model/merge.js';
import type { Resource } from '../model/resource.js';

/** A replica's view of the fleet. */
export interface ReplicationFleet {
  /** Live members that are not leaving, best candidates for voters first. */
  liveMembers(): readonly PeerIdentity[];
  /** Address on which a machine's process listens, if known. */
  addressOf(id: string): PeerAddress | undefined;
  /** Whether the machine has permanently left the platform's list. */
  isGone(id: string): boolean;
  /** Whether the machine is about to leave the fleet. */
  isLeaving(id: string): boolean;
}

/** Documents of this node that the replication reads, and the sink for accepted revisions. */
export interface ReplicationDocuments {
  sourceDocument(): VersionedDocument;
  operatorDocument(): VersionedDocument;
  offerOperator(document: VersionedDocument, nowMs: number): ControlEffect[];
  merge(source: VersionedDocument, operator: VersionedDocument): MergedConfiguration;
  /** Version of a resource's content, as used by preconditions; the same on every node. */
  versionOf(resource: Resource): string;
}

export interface ReplicaOptions {
  readonly self: PeerIdentity;
  /** Machines that form the first group; the same list on every machine. Empty disables writes. */
  readonly initialVoterIds: readonly string[];
  /** Desired number of voters, if the fleet has as many machines. */
  readonly targetVoterCount: number;
  /** Timeout of a write, in milliseconds. */
  readonly writeTimeoutMs: number;
  readonly fleet: ReplicationFleet;
  readonly documents: ReplicationDocuments;
  readonly counters: CounterSink;
}
