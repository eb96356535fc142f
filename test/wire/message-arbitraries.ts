/** Arbitraries and samples of peer protocol messages. */
import fc from 'fast-check';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { DocumentEntry } from '../../src/model/document.js';
import type { DocumentVersion } from '../../src/model/version.js';
import {
  CLAIM_MEMORIES,
  CLAIM_STEPS,
  type ClaimRecord,
  DOCUMENT_NAMES,
  type MemberStatus,
  type MemberUpdate,
  type PeerMessage,
} from '../../src/wire/message.js';
import type { MessageBody, PeerMessageType } from '../../src/wire/message-layouts.js';
import { arbitraryReplicationMessage } from './replication-arbitraries.js';

const integer = fc.oneof(fc.maxSafeNat(), fc.constantFrom(0, 127, 128, Number.MAX_SAFE_INTEGER));
const anyText = fc.string({ unit: 'grapheme' });
const shortText = fc.string({ unit: 'grapheme', maxLength: 12 });
const address = fc.oneof(fc.ipV4(), fc.ipV6(), fc.constantFrom('010.1.2.3', '::ffff:10.0.0.1'));
const port = fc.nat(65_535);
const documentName = fc.constantFrom(...DOCUMENT_NAMES);
const hex = (length: number): fc.Arbitrary<string> =>
  fc.string({ unit: fc.constantFrom(...'0123456789abcdef'), minLength: length, maxLength: length });
const version: fc.Arbitrary<DocumentVersion> = fc.record({ number: integer, digest: hex(32) });
const json = fc.oneof(anyText, fc.json(), fc.constant('{"spec":{}}'.repeat(100)));
const entry: fc.Arbitrary<DocumentEntry> = fc.record({ key: anyText, json, changedAt: integer });
const statuses: MemberStatus[] = ['alive', 'suspect', 'dead', 'leaving'];

export const arbitraryIdentity: fc.Arbitrary<PeerIdentity> = fc.record({
  id: shortText,
  incarnation: integer,
  address,
  controlPort: port,
  relayPort: port,
  zone: shortText,
  region: shortText,
});

const memberUpdate: fc.Arbitrary<MemberUpdate> = fc.record({
  member: arbitraryIdentity,
  status: fc.constantFrom(...statuses),
});

const chunkPosition = fc
  .nat(1_000)
  .chain((index) =>
    fc.record({ index: fc.constant(index), count: fc.integer({ min: index + 1, max: 2_000 }) }),
  );

const claimRecord: fc.Arbitrary<ClaimRecord> = fc.record({
  claim: hex(32),
  attempt: shortText,
  isFinished: fc.boolean(),
  remainingMs: integer,
});

/** Arbitraries of message bodies by type. */
export const ARBITRARY_BODIES: {
  readonly [T in PeerMessageType]: fc.Arbitrary<MessageBody<T>>;
} = {
  heartbeat: fc.record({ versionsDigest: hex(16) }),
  versions: fc.record({
    versions: fc.record({ source: version, operator: version, machines: version }),
  }),
  fetch: fc.record({ document: documentName, have: version }),
  delta: fc.record({
    document: documentName,
    from: version,
    to: version,
    upserts: fc.array(entry),
    removals: fc.array(anyText),
  }),
  'snapshot-chunk': fc
    .tuple(fc.record({ document: documentName, version, entries: fc.array(entry) }), chunkPosition)
    .map(([body, position]) => ({ ...body, ...position })),
  'fetch-refused': fc.record({ document: documentName, retryAfterMs: integer }),
  members: fc.record({ updates: fc.array(memberUpdate) }),
  'lease-request': fc.record({ slot: shortText, round: integer, durationMs: integer }),
  'lease-answer': fc.record({
    slot: shortText,
    round: integer,
    granted: fc.boolean(),
    retryAfterMs: integer,
  }),
  'lease-release': fc.record({ slot: shortText, round: integer }),
  rejection: fc.record({ version, reason: anyText }),
  replication: fc.record({ body: arbitraryReplicationMessage }),
  claim: fc.record({ step: fc.constantFrom(...CLAIM_STEPS), claim: hex(32), attempt: shortText }),
  'claim-sync-request': fc.record({ round: integer }),
  'claim-sync': fc
    .tuple(
      fc.record({
        round: integer,
        memory: fc.constantFrom(...CLAIM_MEMORIES),
        records: fc.array(claimRecord),
      }),
      chunkPosition,
    )
    .map(([body, position]) => ({ ...body, ...position })),
  suspicions: fc.record({
    suspicions: fc.array(
      fc.record({
        fingerprint: hex(40),
        ageMs: integer,
        crashes: fc.array(hex(12)),
        cleared: fc.array(hex(12)),
      }),
    ),
  }),
};

/** Returns an arbitrary for messages of one type. */
export function arbitraryMessage(type: PeerMessageType): fc.Arbitrary<PeerMessage> {
  const body = ARBITRARY_BODIES[type] as fc.Arbitrary<object>;
  return body.map((fields) => ({ type, ...fields }) as PeerMessage);
}

export const SAMPLE_VERSION: DocumentVersion = {
  number: 1_000,
  digest: '0123456789abcdef'.repeat(2),
};

export const HEARTBEAT: PeerMessage = { type: 'heartbeat', versionsDigest: '00ff10ef20df30cf' };

/** A snapshot chunk with `count` entries of about 300 bytes, as similar to each other as real resources. */
export function sampleChunk(count: number): PeerMessage {
  const entries = Array.from({ length: count }, (_, index) => ({
    key: `endpoint/payments-${index}`,
    json: JSON.stringify({
      kind: 'endpoint',
      name: `payments-${index}`,
      spec: { service: 'payments', address: `10.0.0.${index % 250}`, port: 8_000 + index },
    }),
    changedAt: index,
  }));
  const position = { index: 0, count: 1 };
  return {
    type: 'snapshot-chunk',
    document: 'source',
    version: SAMPLE_VERSION,
    ...position,
    entries,
  };
}
