/** Compares what callers were told with what the back ends truly ran. */
import type { Execution } from '../../standins/backend/execution-ledger.js';
import { isServed, isToldNotRun, type CallRecord } from './call-record.js';

/** Calls and broken promises; a promise is broken where a list is not empty. */
export interface CallAudit {
  readonly calls: number;
  readonly served: number;
  /** Told "not run". */
  readonly refused: number;
  /** Neither served nor told "not run". */
  readonly failed: number;
  /** Those of the failed calls that may run more than once. */
  readonly failedRepeatable: number;
  /** Call ids or idempotency keys of requests that may run once and ran more often. */
  readonly doubled: readonly string[];
  /** Call ids that were told "not run" and ran. */
  readonly falseNotRun: readonly string[];
  /** Call ids that were served and that no back end has run. */
  readonly unbacked: readonly string[];
  readonly truncated: readonly string[];
  readonly crossed: readonly string[];
  readonly wrongRequestBody: readonly string[];
}

/** Names of the lists of broken promises. */
export const BROKEN_PROMISES = [
  'doubled',
  'falseNotRun',
  'unbacked',
  'truncated',
  'crossed',
  'wrongRequestBody',
] as const;

/** Whether no promise was broken. */
export function isAuditClean(audit: CallAudit): boolean {
  return BROKEN_PROMISES.every((promise) => audit[promise].length === 0);
}

/** Whether the execution had, or may have had, an effect: only a cancelled one has none. */
function hasEffect(execution: Execution): boolean {
  return execution.outcome !== 'cancelled';
}

/** Audits calls against the executions of all back ends. */
export function auditCalls(
  records: readonly CallRecord[],
  executions: readonly Execution[],
): CallAudit {
  const effective = executions.filter(hasEffect);
  const ranCalls = countBy(effective, (execution) => execution.callId);
  const ranKeys = countBy(effective, (execution) => execution.idempotencyKey);
  const callIds = (test: (record: CallRecord) => boolean): string[] =>
    records.filter(test).map((record) => record.callId);
  const hasRun = (record: CallRecord): boolean => (ranCalls.get(record.callId) ?? 0) > 0;
  const failed = records.filter((record) => !isServed(record) && !isToldNotRun(record));
  return {
    calls: records.length,
    served: records.filter(isServed).length,
    refused: records.filter(isToldNotRun).length,
    failed: failed.length,
    failedRepeatable: failed.filter((record) => record.repeatable).length,
    doubled: findDoubled(records, ranCalls, ranKeys),
    falseNotRun: callIds((record) => isToldNotRun(record) && hasRun(record)),
    unbacked: callIds((record) => isServed(record) && !hasRun(record)),
    truncated: callIds((record) => record.contentFault === 'truncated'),
    crossed: callIds((record) => record.contentFault === 'crossed'),
    wrongRequestBody: callIds((record) => record.contentFault === 'wrong-request-body'),
  };
}

function findDoubled(
  records: readonly CallRecord[],
  ranCalls: ReadonlyMap<string, number>,
  ranKeys: ReadonlyMap<string, number>,
): string[] {
  const once = records.filter((record) => !record.repeatable);
  const keys = new Set(once.flatMap((record) => record.idempotencyKey ?? []));
  const doubledCalls = once
    .map((record) => record.callId)
    .filter((callId) => (ranCalls.get(callId) ?? 0) > 1);
  const doubledKeys = [...keys].filter((key) => (ranKeys.get(key) ?? 0) > 1);
  return [...doubledCalls, ...doubledKeys];
}

function countBy(
  executions: readonly Execution[],
  nameOf: (execution: Execution) => string | undefined,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const execution of executions) {
    const name = nameOf(execution);
    if (name !== undefined) {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  return counts;
}
