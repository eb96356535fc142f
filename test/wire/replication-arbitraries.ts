/** Arbitraries of replication messages for operators' writes. */
import fc from 'fast-check';
import type { ReplicationMessage } from '../../src/replication/replication-message.js';

const count = fc.maxSafeNat();
const text = fc.string({ unit: 'grapheme' });
const ballot = fc.record({ epoch: count, view: count });
const operation = fc.record({
  number: count,
  requestId: text,
  upserts: fc.array(fc.record({ key: text, json: text })),
  removals: fc.array(text),
});
const state = fc.record({
  number: count,
  entries: fc.array(fc.record({ key: text, json: text, changedAt: count })),
  requests: fc.array(fc.record({ requestId: text, number: count })),
  requestsFrom: count,
});
const precondition = fc.oneof(
  fc.record({ type: fc.constant('absent' as const) }),
  fc.record({ type: fc.constant('exists' as const) }),
  fc.record({ type: fc.constant('version' as const), version: text }),
);
const change = fc.record(
  { key: text, json: fc.option(text), precondition },
  { requiredKeys: ['key', 'json'] },
);
const result = fc.oneof(
  fc.record({ outcome: fc.constant('accepted' as const), revision: count }),
  fc.record(
    { outcome: fc.constant('conflict' as const), key: text, currentVersion: text },
    { requiredKeys: ['outcome', 'key'] },
  ),
  fc.record({
    outcome: fc.constant('invalid' as const),
    faults: fc.array(fc.record({ path: text, reason: text })),
  }),
  fc.record({
    outcome: fc.constant('not-accepted' as const),
    reason: fc.constantFrom('no-voters', 'overloaded', 'superseded'),
  }),
  fc.record({ outcome: fc.constant('unknown' as const) }),
  fc.record(
    { outcome: fc.constant('not-primary' as const), primaryId: text },
    { requiredKeys: ['outcome'] },
  ),
);
const formation = { epoch: count, round: count, binding: fc.boolean() };

function tagged<Tag extends string, Fields extends object>(
  type: Tag,
  required: { [Key in keyof Fields]: fc.Arbitrary<Fields[Key]> },
): fc.Arbitrary<Fields & { type: Tag }> {
  return fc.record(required).map((fields) => ({ type, ...fields }));
}

/** Adds an optional pending operation to the message. */
function withOptionalPending<Message extends ReplicationMessage>(
  message: fc.Arbitrary<Message>,
): fc.Arbitrary<ReplicationMessage> {
  return fc
    .tuple(message, fc.option(operation))
    .map(([fields, pending]) => (pending === null ? fields : { ...fields, pending }));
}

export const arbitraryReplicationMessage: fc.Arbitrary<ReplicationMessage> = fc.oneof(
  tagged('prepare', { ballot, commitNumber: count, operation }),
  tagged('prepare-ok', { ballot, number: count }),
  tagged('commit', { ballot, commitNumber: count }),
  tagged('start-view-change', { ballot }),
  withOptionalPending(
    tagged('do-view-change', { ballot, lastNormalView: count, commitNumber: count }),
  ),
  withOptionalPending(tagged('start-view', { ballot, commitNumber: count })),
  tagged('get-state', {}),
  withOptionalPending(tagged('new-state', { ballot, normal: fc.boolean(), state })),
  tagged('formation-request', { ...formation, number: count }),
  withOptionalPending(
    tagged('formation-answer', {
      ...formation,
      willing: fc.boolean(),
      promisedRound: count,
      remembers: fc.boolean(),
      lastNormalView: count,
    }),
  ),
  tagged('write', {
    requestId: text,
    attempt: count,
    baseRevision: count,
    write: fc.record({ changes: fc.array(change) }),
  }),
  tagged('write-answer', { requestId: text, attempt: count, result }),
);
