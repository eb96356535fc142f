/**
 * Messages of the peer protocol, after the handshake. Every message travels on a link between two
 * nodes that have proved to each other that they hold the fleet key.
 */
import type { Suspicion } from '../containment/suspicion.js';
import type { DocumentEntry } from '../model/document.js';
import type { DocumentVersion } from '../model/version.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { ReplicationMessage } from '../replication/replication-message.js';

/** The documents that nodes replicate, each with a version of its own that only rises. */
export const DOCUMENT_NAMES = ['source', 'operator', 'machines'] as const;
/**
 * - `source`: the configuration source's resources.
 * - `operator`: what operators wrote through the resource API.
 * - `machines`: the platform's machine list.
 */
export type DocumentName = (typeof DOCUMENT_NAMES)[number];

/** Versions of all documents that a node holds. */
export type HeldVersions = Readonly<Record<DocumentName, DocumentVersion>>;

/** Sent on every overlay link at the heartbeat interval; also the anti-entropy probe. */
export interface HeartbeatMessage {
  readonly type: 'heartbeat';
  /** Digest of {@link HeldVersions}, 16 hexadecimal digits; a difference is answered by `versions`. */
  readonly versionsDigest: string;
}

/** Announces what the sender holds: on a new link, on a change, on a digest that differs. */
export interface VersionsMessage {
  readonly type: 'versions';
  readonly versions: HeldVersions;
}

/** Asks for a document, as a delta from what the sender holds where possible. */
export interface FetchMessage {
  readonly type: 'fetch';
  readonly document: DocumentName;
  readonly have: DocumentVersion;
}

/** Answers `fetch`, or pushes a change to a neighbour known to hold `from`. */
export interface DeltaMessage {
  readonly type: 'delta';
  readonly document: DocumentName;
  readonly from: DocumentVersion;
  readonly to: DocumentVersion;
  readonly upserts: readonly DocumentEntry[];
  readonly removals: readonly string[];
}

/** One part of a whole document; parts of one version arrive in order on one link. */
export interface SnapshotChunkMessage {
  readonly type: 'snapshot-chunk';
  readonly document: DocumentName;
  readonly version: DocumentVersion;
  /** Position of this part, from 0. */
  readonly index: number;
  /** Parts in all; at least 1. */
  readonly count: number;
  readonly entries: readonly DocumentEntry[];
}

/** Refuses `fetch` for now: the sender serves as many snapshots as it may. */
export interface FetchRefusedMessage {
  readonly type: 'fetch-refused';
  readonly document: DocumentName;
  readonly retryAfterMs: number;
}

/** What is said of a member. `leaving` outranks the rest of its incarnation. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'leaving';

/** A claim about one member; a higher incarnation wins, then the stronger status. */
export interface MemberUpdate {
  readonly member: PeerIdentity;
  readonly status: MemberStatus;
}

/** Claims about members, flooded over the overlay; each is passed on once by a node that learns of it. */
export interface MembersMessage {
  readonly type: 'members';
  readonly updates: readonly MemberUpdate[];
}

/** Asks an elector for a reader lease, or renews it. */
export interface LeaseRequestMessage {
  readonly type: 'lease-request';
  /** What is leased: `zone/index`. */
  readonly slot: string;
  /** Echoed in the answer; rises with each request of the sender. */
  readonly round: number;
  readonly durationMs: number;
}

/** An elector's answer. A grant binds the elector for the duration, from when it sent the answer. */
export interface LeaseAnswerMessage {
  readonly type: 'lease-answer';
  readonly slot: string;
  readonly round: number;
  readonly granted: boolean;
  /** When refused: how long until the elector may grant, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Gives a lease, or a grant that was of no use, back before its end. */
export interface LeaseReleaseMessage {
  readonly type: 'lease-release';
  readonly slot: string;
  /** Grants of this round and of earlier ones are given back; a late release frees no later grant. */
  readonly round: number;
}

/** A source version that was refused whole, so that every node's API can tell why. */
export interface RejectionMessage {
  readonly type: 'rejection';
  readonly version: DocumentVersion;
  readonly reason: string;
}

/** Carries a message of the replication of operators' writes; they are rare, and coded as JSON. */
export interface ReplicationEnvelope {
  readonly type: 'replication';
  readonly body: ReplicationMessage;
}

/** Steps of a claim on an idempotency key; positions on the wire, append only. */
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
 * - `request`: asks a holder to record the attempt as the first of its key.
 * - `granted`: it is recorded; `claimed`, `finished`: another attempt came first, and what is known
 *   of it; `unready`: this holder cannot tell, or has no room.
 * - `finish`: the attempt ran; `release`: it provably did not and will not run.
 */
export type ClaimStep = (typeof CLAIM_STEPS)[number];

/** One step of a claim between the node of a request and a holder of claims. */
export interface ClaimMessage {
  readonly type: 'claim';
  readonly step: ClaimStep;
  /** Digest of service and key, 32 hexadecimal digits. */
  readonly claim: string;
  /** Names the attempt; never used twice in the fleet. */
  readonly attempt: string;
}

/** What a holder remembers of one key. */
export interface ClaimRecord {
  readonly claim: string;
  /** The attempt that is recorded; empty where holders recorded different ones. */
  readonly attempt: string;
  readonly isFinished: boolean;
  /** How long it is still kept, in milliseconds. */
  readonly remainingMs: number;
}

/** State of a holder's memory; positions on the wire, append only. */
export const CLAIM_MEMORIES = ['recovered', 'fresh', 'new'] as const;
/**
 * - `recovered`: it knows every claim that may still count.
 * - `fresh`: it started when every holder was new, and knows every claim since.
 * - `new`: it may lack claims, and grants none.
 */
export type ClaimMemory = (typeof CLAIM_MEMORIES)[number];

/** Asks a holder for all its claims. */
export interface ClaimSyncRequestMessage {
  readonly type: 'claim-sync-request';
  /** Echoed in the parts of the answer. */
  readonly round: number;
}

/** One part of a holder's claims; parts arrive in order on one link. */
export interface ClaimSyncMessage {
  readonly type: 'claim-sync';
  readonly round: number;
  readonly memory: ClaimMemory;
  /** Position of this part, from 0, and parts in all. */
  readonly index: number;
  readonly count: number;
  readonly records: readonly ClaimRecord[];
}

/** What the sender knows of requests under which endpoints ended; each is passed on once by a node. */
export interface SuspicionsMessage {
  readonly type: 'suspicions';
  readonly suspicions: readonly Suspicion[];
}

/** Every message of the peer protocol. */
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
