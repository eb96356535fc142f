/** What `GET /v1/status` shows: who this node is, what it holds and what it knows of the fleet. */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { EndpointStateReport } from '../proxy/endpoint-states.js';
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { DocumentVersion } from '../model/version.js';
import type { HeldVersions, MemberStatus } from '../wire/message.js';

/** A source version that was refused whole. */
export interface RejectedVersion {
  readonly version: DocumentVersion;
  readonly reason: string;
}

/** What is known of the configuration source. */
export interface SourceStatus {
  /** Whether this node holds a reader lease. */
  readonly isReader: boolean;
  /** Time since this node last had an answer from the source; absent when it never had one. */
  readonly sinceLastAnswerMs?: number;
  /** Whether the source last offered an older version, or another document under the held number. */
  readonly isStale: boolean;
  /** The newest version that was refused, while it is newer than the one held. */
  readonly rejected?: RejectedVersion;
}

/** One member as this node sees it. */
export interface MemberReport {
  readonly member: PeerIdentity;
  readonly status: MemberStatus;
  /** What it holds; known of direct neighbours only. */
  readonly held?: HeldVersions;
}

/** Convergence, as far as one node can tell. */
export interface ConvergenceReport {
  /** Direct neighbours whose versions are known. */
  readonly neighbours: number;
  /** Those that hold exactly what this node holds. */
  readonly neighboursAtHeldVersions: number;
  /** Time since the configuration in force on this node changed; absent before the first. */
  readonly sinceLastChangeMs?: number;
}

/** Status of one node. Contains no secret. */
export interface NodeStatus {
  readonly node: PeerIdentity;
  readonly uptimeMs: number;
  readonly held: HeldVersions;
  readonly source: SourceStatus;
  /** Operator entries that are accepted but can not be in force now, with the reason. */
  readonly suspended: readonly ConfigurationFault[];
  readonly members: readonly MemberReport[];
  /** Endpoints of the configuration in force, as this node sees them. */
  readonly endpoints: readonly EndpointStateReport[];
  readonly convergence: ConvergenceReport;
}

/** Gives the status of now. */
export type StatusProvider = () => NodeStatus;
