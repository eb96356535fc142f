/**
 * Messages of the peer protocol after the handshake, in which both nodes of a link have proved to each
 * other that they have the fleet key.
 */
import type { Suspicion } from '../containment/suspicion.js';
import type { DocumentEntry } from '../model/document.js';
import type { DocumentVersion } from '../model/version.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { ReplicationMessage } from '../replication/replication-message.js';

/** The documents that nodes replicate, each with its own monotonically increasing version. */
export const DOCUMENT_NAMES = ['source', 'operator', 'machines'] as const;
/**
 * - `source`: the resources of the configuration source.
 * - `operator`: changes that operators made through the resource API.
 * - `machines`: the platform's machine list.
 */
export type DocumentName = (typeof DOCUMENT_NAMES)[number];

/** Versions of all documents that a node holds. */
export type HeldVersions = Readonly<Record<DocumentName, DocumentVersion>>;

/** Sent on every overlay link at the heartbeat interval; also serves as the anti-entropy probe. */
export interface HeartbeatMessage {
  readonly type: 'heartbeat';
  /** Digest of {@link HeldVersions}, 16 hexadecimal digits; the receiver answers a mismatch with `versions`. */
  readonly versionsDigest: string;
}

/** Announces the sender's versions: on a new link, after a change and on a digest mismatch. */
export interface VersionsMessage {
  readonly type: 'versions';
  readonly versions: HeldVersions;
}

/** Requests a document, as a delta from the version `have` where possible. */
export interface FetchMessage {
  readonly type: 'fetch';
  readonly document: DocumentName;
  readonly have: DocumentVersion;
}

/** Answers `fetch`, or pushes a change to a neighbour that is known to have version `from`. */
export interface DeltaMessage {
  readonly type: 'delta';
  readonly document: DocumentName;
  readonly from: DocumentVersion;
  readonly to: DocumentVersion;
  readonly upserts: readonly DocumentEntry[];
  readonly removals: readonly string[];
}

/** One chunk of a full document. The chunks of a version are sent in order on one link. */
export interface SnapshotChunkMessage {
  readonly type: 'snapshot-chunk';
  readonly document: DocumentName;
  readonly version: DocumentVersion;
  /** Zero-based index of this chunk. */
  readonly index: number;
  /** Total number of chunks; at least 1. */
  readonly count: number;
  readonly entries: readonly DocumentEntry[];
}

/** Rejects `fetch` temporarily because the sender has reached its limit of concurrent snapshots. */
export interface FetchRefusedMessage {
  readonly type: 'fetch-refused';
  readonly document: DocumentName;
  readonly retryAfterMs: number;
}

/** Status of a member. `leaving` takes precedence over every other status of the same incarnation. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'leaving';

/** Reported status of one member. The higher incarnation takes precedence, then the stronger status. */
export interface MemberUpdate {
  readonly member: PeerIdentity;
  readonly status: MemberStatus;
}

/** Member updates, flooded over the overlay. A node forwards each update once, when it is new to the node. */
export interface MembersMessage {
  readonly type: 'members';
  readonly updates: readonly MemberUpdate[];
}

/** Requests a reader lease from an elector, or renews it. */
export interface LeaseRequestMessage {
  readonly type: 'lease-request';
  /** The leased reader slot, as `zone/index`. */
  readonly slot: string;
  /** Echoed in the answer; increases with each request of the sender. */
  readonly round: number;
  readonly durationMs: number;
}

/** An elector's answer. A grant binds the elector for `durationMs` after it sends the answer. */
export interface LeaseAnswerMessage {
  readonly type: 'lease-answer';
  readonly slot: string;
  readonly round: number;
  readonly granted: boolean;
  /** If not granted: time until the elector may grant the lease, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Releases a lease, or an unused grant, before it expires. */
export interface LeaseReleaseMessage {
  readonly type: 'lease-release';
  readonly slot: string;
  /** Releases grants of this round and earlier ones, so that a delayed release does not affect later grants. */
  readonly round: number;
}

/** Reports that a source version was rejected, so that every node's API can return the reason. */
export interface RejectionMessage {
  readonly type: 'rejection';
  readonly version: DocumentVersion;
  readonly reason: string;
}

/** Contains a message of the replication of operators' writes. They are rare and encoded as JSON. */
export interface ReplicationEnvelope {
  readonly type: 'replication';
  readonly body: ReplicationMessage;
}

/** Steps of a claim on an idempotency key. Encoded by index: append only. */
export const CLAIM_STEPS = [
  'request',
  'granted',
  'claimed',
  'finished',
  'unready',
  'finish',
  'release',
] as const;
/**
 * - `request`: requests that a holder record the attempt as the first with its key.
 * - `granted`: the attempt is recorded.
 * - `claimed`: another attempt was recorded first, and is not known to have finished.
 * - `finished`: another attempt was recorded first, and has finished.
 * - `unready`: the holder may lack claims, or is at capacity.
 * - `finish`: the attempt ran.
 * - `release`: the attempt provably did not run and will not run.
 */
export type ClaimStep = (typeof CLAIM_STEPS)[number];

/** One step of a claim, sent between the node that handles the request and a claim holder. */
export interface ClaimMessage {
  readonly type: 'claim';
  readonly step: ClaimStep;
  /** Digest of the service and the idempotency key, 32 hexadecimal digits. */
  readonly claim: string;
  /** Identifies the attempt; unique in the fleet. */
  readonly attempt: string;
}

/** A holder's record of one idempotency key. */
export interface ClaimRecord {
  readonly claim: string;
  /** The recorded attempt; empty if holders recorded different ones. */
  readonly attempt: string;
  readonly isFinished: boolean;
  /** Time until the record expires, in milliseconds. */
  readonly remainingMs: number;
}

/** State of a holder's claim records. Encoded by index: append only. */
export const CLAIM_MEMORIES = ['recovered', 'fresh', 'new'] as const;
/**
 * - `recovered`: the holder has every claim that may still be valid.
 * - `fresh`: the holder started when every holder was new, and has every claim made since.
 * - `new`: the holder may lack claims, and grants none.
 */
export type ClaimMemory = (typeof CLAIM_MEMORIES)[number];

/** Requests all claims of a holder. */
export interface ClaimSyncRequestMessage {
  readonly type: 'claim-sync-request';
  /** Echoed in every chunk of the answer. */
  readonly round: number;
}

/** One chunk of a holder's claims. Chunks are sent in order on one link. */
export interface ClaimSyncMessage {
  readonly type: 'claim-sync';
  readonly round: number;
  readonly memory: ClaimMemory;
  /** Zero-based index of this chunk. */
  readonly index: number;
  /** Total number of chunks. */
  readonly count: number;
  readonly records: readonly ClaimRecord[];
}

/** Suspicions of requests during which endpoints crashed. A node forwards each update once. */
export interface SuspicionsMessage {
  readonly type: 'suspicions';
  readonly suspicions: readonly Suspicion[];
}

export type PeerMessage =
  | HeartbeatMessage
  | VersionsMessage
  | FetchMessage
  | DeltaMessage
  | SnapshotChunkMessage
  | FetchRefusedMessage
  | MembersMessage
  | LeaseRequestMessage
  | LeaseAnswerMessage
  | LeaseReleaseMessage
  | RejectionMessage
  | ReplicationEnvelope
  | ClaimMessage
  | ClaimSyncRequestMessage
  | ClaimSyncMessage
  | SuspicionsMessage;
