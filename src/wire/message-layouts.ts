/** Binary layouts of the peer protocol's messages. Fields are encoded in the order in which they are listed. */
import type { FieldType } from 'restructure';
import { uint16 } from 'restructure';
import { suspicionLayout } from '../containment/suspicion-layout.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { DocumentEntry } from '../model/document.js';
import type { DocumentVersion } from '../model/version.js';
import {
  durationMs,
  hexDigest,
  ipAddress,
  list,
  oneOf,
  PlainStruct,
  shortText,
  text,
  varint,
} from './field-types.js';
import { MAX_FRAME_BYTES } from './frame-reader.js';
import {
  CLAIM_MEMORIES,
  CLAIM_STEPS,
  type ClaimRecord,
  DOCUMENT_NAMES,
  type HeldVersions,
  type MemberStatus,
  type MemberUpdate,
  type PeerMessage,
} from './message.js';
import { replicationBody } from './replication-layout.js';

/** Size of the digest of a document, in bytes. */
const DOCUMENT_DIGEST_BYTES = 16;
/** Size of a heartbeat's digest of all held versions, in bytes. */
const VERSIONS_DIGEST_BYTES = 8;
/** Size of the digest of a claim, in bytes. */
const CLAIM_DIGEST_BYTES = 16;
/** Encoded by index: append only. */
const MEMBER_STATUSES: readonly MemberStatus[] = ['alive', 'suspect', 'dead', 'leaving'];

export type PeerMessageType = PeerMessage['type'];

/** A message of one type without the type, which is encoded in the frame's head. */
export type MessageBody<T extends PeerMessageType> = Omit<
  Extract<PeerMessage, { type: T }>,
  'type'
>;

const longText = text(MAX_FRAME_BYTES);
const documentName = oneOf(DOCUMENT_NAMES);

const documentVersion = new PlainStruct<DocumentVersion>({
  number: varint,
  digest: hexDigest(DOCUMENT_DIGEST_BYTES),
});

const heldVersions = new PlainStruct<HeldVersions>({
  source: documentVersion,
  operator: documentVersion,
  machines: documentVersion,
});

const claimRecord = new PlainStruct<ClaimRecord>({
  claim: hexDigest(CLAIM_DIGEST_BYTES),
  attempt: shortText,
  isFinished: oneOf([false, true]),
  remainingMs: durationMs,
});

const documentEntry = new PlainStruct<DocumentEntry>({
  key: longText,
  json: longText,
  changedAt: varint,
});

/** Layout of an identity. The handshake's proofs authenticate exactly these bytes. */
export const peerIdentityLayout = new PlainStruct<PeerIdentity>({
  id: shortText,
  incarnation: varint,
  address: ipAddress,
  controlPort: uint16,
  relayPort: uint16,
  zone: shortText,
  region: shortText,
});

const memberUpdate = new PlainStruct<MemberUpdate>({
  member: peerIdentityLayout,
  status: oneOf(MEMBER_STATUSES),
});

export const MESSAGE_LAYOUTS: {
  readonly [T in PeerMessageType]: FieldType<MessageBody<T>>;
} = {
  heartbeat: new PlainStruct({ versionsDigest: hexDigest(VERSIONS_DIGEST_BYTES) }),
  versions: new PlainStruct({ versions: heldVersions }),
  fetch: new PlainStruct({ document: documentName, have: documentVersion }),
  delta: new PlainStruct({
    document: documentName,
    from: documentVersion,
    to: documentVersion,
    upserts: list(documentEntry),
    removals: list(longText),
  }),
  'snapshot-chunk': new PlainStruct({
    document: documentName,
    version: documentVersion,
    index: varint,
    count: varint,
    entries: list(documentEntry),
  }),
  'fetch-refused': new PlainStruct({ document: documentName, retryAfterMs: durationMs }),
  members: new PlainStruct({ updates: list(memberUpdate) }),
  'lease-request': new PlainStruct({ slot: shortText, round: varint, durationMs }),
  'lease-answer': new PlainStruct({
    slot: shortText,
    round: varint,
    granted: oneOf([false, true]),
    retryAfterMs: durationMs,
  }),
  'lease-release': new PlainStruct({ slot: shortText, round: varint }),
  rejection: new PlainStruct({ version: documentVersion, reason: longText }),
  replication: new PlainStruct({ body: replicationBody }),
  claim: new PlainStruct({
    step: oneOf(CLAIM_STEPS),
    claim: hexDigest(CLAIM_DIGEST_BYTES),
    attempt: shortText,
  }),
  'claim-sync-request': new PlainStruct({ round: varint }),
  'claim-sync': new PlainStruct({
    round: varint,
    memory: oneOf(CLAIM_MEMORIES),
    index: varint,
    count: varint,
    records: list(claimRecord),
  }),
  suspicions: new PlainStruct({ suspicions: list(suspicionLayout) }),
};

/**
 * First extended type number, and the largest that fits into the head. The head of an extended type contains
 * this number, and the first byte of the payload contains the difference from it.
 */
export const FIRST_EXTENDED_TYPE_NUMBER = 15;

/** Type numbers on the wire. A number must never be reused for another type. */
export const MESSAGE_TYPE_NUMBERS: Readonly<Record<PeerMessageType, number>> = {
  heartbeat: 0,
  versions: 1,
  fetch: 2,
  delta: 3,
  'snapshot-chunk': 4,
  'fetch-refused': 5,
  members: 6,
  'lease-request': 7,
  'lease-answer': 8,
  'lease-release': 9,
  rejection: 10,
  replication: 11,
  claim: 12,
  'claim-sync-request': 13,
  'claim-sync': 14,
  suspicions: 15,
};

export const MESSAGE_TYPES = Object.keys(MESSAGE_TYPE_NUMBERS) as readonly PeerMessageType[];
