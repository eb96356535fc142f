/** Schemas that validate replication messages received from peers. */
import { z } from 'zod';
import type { ReplicationMessage } from './replication-message.js';
import { MAX_CHANGES_PER_WRITE } from './operator-write.js';

const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const text = z.string();
const ballot = z.strictObject({ epoch: count, view: count });

const operation = z.strictObject({
  number: count,
  requestId: text,
  upserts: z.array(z.strictObject({ key: text, json: text })),
  removals: z.array(text),
});
const pending = operation.optional();

const state = z.strictObject({
  number: count,
  entries: z.array(z.strictObject({ key: text, json: text, changedAt: count })),
  requests: z.array(z.strictObject({ requestId: text, number: count })),
  requestsFrom: count,
});

const precondition = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('absent') }),
  z.strictObject({ type: z.literal('exists') }),
  z.strictObject({ type: z.literal('version'), version: text }),
]);

const write = z.strictObject({
  changes: z
    .array(
      z.strictObject({
        key: text,
        json: text.nullable(),
        precondition: precondition.optional(),
      }),
    )
    .max(MAX_CHANGES_PER_WRITE),
});

const result = z.discriminatedUnion('outcome', [
  z.strictObject({ outcome: z.literal('accepted'), revision: count }),
  z.strictObject({ outcome: z.literal('conflict'), key: text, currentVersion: text.optional() }),
  z.strictObject({
    outcome: z.literal('invalid'),
    faults: z.array(z.strictObject({ path: text, reason: text })),
  }),
  z.strictObject({
    outcome: z.literal('not-accepted'),
    reason: z.enum(['no-voters', 'no-majority', 'overloaded', 'stale-base', 'superseded']),
  }),
  z.strictObject({ outcome: z.literal('unknown') }),
  z.strictObject({ outcome: z.literal('not-primary'), primaryId: text.optional() }),
]);

/** Schema of every replication message. */
export const replicationMessageSchema: z.ZodType<ReplicationMessage> = z.discriminatedUnion(
  'type',
  [
    z.strictObject({ type: z.literal('prepare'), ballot, commitNumber: count, operation }),
    z.strictObject({ type: z.literal('prepare-ok'), ballot, number: count }),
    z.strictObject({ type: z.literal('commit'), ballot, commitNumber: count }),
    z.strictObject({ type: z.literal('start-view-change'), ballot }),
    z.strictObject({
      type: z.literal('do-view-change'),
      ballot,
      lastNormalView: count,
      commitNumber: count,
      pending,
    }),
    z.strictObject({ type: z.literal('start-view'), ballot, commitNumber: count, pending }),
    z.strictObject({ type: z.literal('get-state') }),
    z.strictObject({ type: z.literal('new-state'), ballot, normal: z.boolean(), state, pending }),
    z.strictObject({
      type: z.literal('formation-request'),
      epoch: count,
      round: count,
      binding: z.boolean(),
      number: count,
    }),
    z.strictObject({
      type: z.literal('formation-answer'),
      epoch: count,
      round: count,
      binding: z.boolean(),
      willing: z.boolean(),
      promisedRound: count,
      remembers: z.boolean(),
      lastNormalView: count,
      pending,
    }),
    z.strictObject({
      type: z.literal('write'),
      requestId: text,
      attempt: count,
      baseRevision: count,
      write,
    }),
    z.strictObject({ type: z.literal('write-answer'), requestId: text, attempt: count, result }),
  ],
);
