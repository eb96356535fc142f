/** Body of `GET /v1/status`: identity of the node, versions that it holds and its view of the fleet. */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { EndpointStateReport } from '../proxy/endpoint-states.js';
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { DocumentVersion } from '../model/version.js';
import type { HeldVersions, MemberStatus } from '../wire/message.js';

/** A source version that was rejected as a whole. */
export interface RejectedVersion {
  readonly version: DocumentVersion;
  readonly reason: string;
}

/** Status of the configuration source. */
export interface SourceStatus {
  /** Whether this node holds a reader lease. */
  readonly isReader: boolean;
  /** Time since the last answer from the source; absent before the first. */
  readonly sinceLastAnswerMs?: number;
  /** Whether the source last offered an older version, or another document under the held number. */
  readonly isStale: boolean;
  /** The newest rejected version, as long as it is newer than the one held. */
  readonly rejected?: RejectedVersion;
}

/** One member as this node sees it. */
export interface MemberReport {
  readonly member: PeerIdentity;
  readonly status: MemberStatus;
  /** Versions that the member holds; known for direct neighbours only. */
  readonly held?: HeldVersions;
}

/** Convergence of the fleet, as seen by one node. */
export interface ConvergenceReport {
  /** Direct neighbours whose versions are known. */
  readonly neighbours: number;
  /** Direct neighbours that hold exactly the same versions as this node. */
  readonly neighboursAtHeldVersions: number;
  /** Time since the current configuration of this node changed; absent before the first. */
  readonly sinceLastChangeMs?: number;
}

/** Status of one node. Contains no secret. */
export interface NodeStatus {
  readonly node: PeerIdentity;
  readonly uptimeMs: number;
  readonly held: HeldVersions;
  readonly source: SourceStatus;
  /** Accepted operator entries that cannot be applied at present, with the reason. */
  readonly suspended: readonly ConfigurationFault[];
  readonly members: readonly MemberReport[];
  /** Endpoints of the current configuration, as seen by this node. */
  readonly endpoints: readonly EndpointStateReport[];
  readonly convergence: ConvergenceReport;
}

/** Returns the current status. */
export type StatusProvider = () => NodeStatus;
