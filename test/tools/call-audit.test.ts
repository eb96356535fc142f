import { expect } from 'chai';
import type { Execution } from '../../standins/backend/execution-ledger.js';
import { auditCalls, BROKEN_PROMISES, isAuditClean } from '../../tools/shared/call-audit.js';
import type { CallRecord } from '../../tools/shared/call-record.js';

const RAN: CallRecord['end'] = { type: 'answered', status: 200, verdict: 'ran' };
const NOT_RUN: CallRecord['end'] = { type: 'answered', status: 503, verdict: 'not-run' };
const MAY_HAVE_RUN: CallRecord['end'] = { type: 'answered', status: 504, verdict: 'may-have-run' };

function record(
  callId: string,
  end: CallRecord['end'],
  more: Partial<CallRecord> = {},
): CallRecord {
  const common = { service: 's', repeatable: false, node: 'n', startedAt: 0, latencyMs: 1 };
  return { callId, end, ...common, ...more };
}

function execution(callId: string, more: Partial<Execution> = {}): Execution {
  return { requestId: `${callId}.1`, callId, startedAt: 0, outcome: 'finished', ...more };
}

const KEY = { idempotencyKey: 'k' };

describe('call audit', () => {
  const cases: {
    name: string;
    records: CallRecord[];
    executions: Execution[];
    broken: (typeof BROKEN_PROMISES)[number] | undefined;
  }[] = [
    {
      name: 'served and run',
      records: [record('a', RAN)],
      executions: [execution('a')],
      broken: undefined,
    },
    {
      name: 'refused and not run',
      records: [record('a', NOT_RUN)],
      executions: [],
      broken: undefined,
    },
    {
      name: 'refused after a confirmed cancellation',
      records: [record('a', NOT_RUN)],
      executions: [execution('a', { outcome: 'cancelled' })],
      broken: undefined,
    },
    {
      name: 'cancelled once, then run',
      records: [record('a', RAN)],
      executions: [execution('a', { outcome: 'cancelled' }), execution('a')],
      broken: undefined,
    },
    {
      name: 'repeatable and run twice',
      records: [record('a', RAN, { repeatable: true })],
      executions: [execution('a'), execution('a')],
      broken: undefined,
    },
    {
      name: 'unknown and run',
      records: [record('a', MAY_HAVE_RUN)],
      executions: [execution('a')],
      broken: undefined,
    },
    {
      name: 'run twice',
      records: [record('a', RAN)],
      executions: [execution('a'), execution('a')],
      broken: 'doubled',
    },
    {
      name: 'run, and abandoned elsewhere',
      records: [record('a', RAN)],
      executions: [execution('a'), execution('a', { outcome: 'abandoned' })],
      broken: 'doubled',
    },
    {
      name: 'one key under two calls, both run',
      records: [record('a', MAY_HAVE_RUN, KEY), record('b', RAN, KEY)],
      executions: [execution('a', KEY), execution('b', KEY)],
      broken: 'doubled',
    },
    {
      name: 'refused and run',
      records: [record('a', NOT_RUN)],
      executions: [execution('a')],
      broken: 'falseNotRun',
    },
    { name: 'served and not run', records: [record('a', RAN)], executions: [], broken: 'unbacked' },
    {
      name: 'truncated',
      records: [record('a', RAN, { contentFault: 'truncated' })],
      executions: [execution('a')],
      broken: 'truncated',
    },
    {
      name: 'crossed',
      records: [record('a', RAN, { contentFault: 'crossed' })],
      executions: [execution('a')],
      broken: 'crossed',
    },
    {
      name: 'run with another body',
      records: [record('a', RAN, { contentFault: 'wrong-request-body' })],
      executions: [execution('a')],
      broken: 'wrongRequestBody',
    },
  ];
  for (const { name, records, executions, broken } of cases) {
    it(`${broken === undefined ? 'accepts' : 'catches'} ${name}`, () => {
      const audit = auditCalls(records, executions);
      const found = BROKEN_PROMISES.filter((promise) => audit[promise].length > 0);
      expect(found).to.deep.equal(broken === undefined ? [] : [broken]);
      expect(isAuditClean(audit)).to.equal(broken === undefined);
    });
  }

  it('counts each call once', () => {
    const records = [
      record('a', RAN),
      record('b', NOT_RUN),
      record('c', MAY_HAVE_RUN),
      record('d', { type: 'broken' }, { repeatable: true }),
    ];
    expect(auditCalls(records, [execution('a')])).to.include({
      calls: 4,
      served: 1,
      refused: 1,
      failed: 2,
      failedRepeatable: 1,
    });
  });
});
