/** Judging requests that nodes cut outside of stops, and beside configurations. */
import { expect } from 'chai';
import type { SoakPromise } from '../../tools/soak/broken-promise.js';
import { judgeSoak } from '../../tools/soak/promises.js';
import type { SoakArrival, SoakCall } from '../../tools/soak/soak-record.js';
import { soakRecordOf } from './soak-records.js';

const CONFIGURED_AT_MS = 20_000;
const FAR_MS = 40_000;

function cutCall(id: string, changes: Partial<SoakCall> = {}): SoakCall {
  return {
    ...{
      id,
      machine: 0,
      life: 1,
      isSafe: true,
      target: `/reads/${id}`,
      body: '',
      addedBy: undefined,
    },
    ...{ sentAtMs: FAR_MS, sentWholeAtMs: FAR_MS, endedAtMs: FAR_MS + 500, deadlineMs: 3_000 },
    ...{ timeoutMs: 3_000, status: 0, isWhole: false, isSigned: false, answer: '', wasSent: true },
    ...{ callerPort: 1, isGivenUp: false, aheadCount: 0, connectionEnd: 'reset' as const },
    ...changes,
  };
}

function near(id: string, changes: Partial<SoakCall> = {}): SoakCall {
  const sentAtMs = CONFIGURED_AT_MS + 100;
  return cutCall(id, { sentAtMs, sentWholeAtMs: sentAtMs, endedAtMs: sentAtMs + 500, ...changes });
}

function served(id: string, sentAtMs: number): SoakCall {
  const times = { sentAtMs, sentWholeAtMs: sentAtMs, endedAtMs: sentAtMs + 50 };
  const answer = { status: 200, isWhole: true, isSigned: true, answer: `body ${id}` };
  return cutCall(id, { ...times, ...answer, connectionEnd: 'answered' });
}

function arrivalOf({ id, sentAtMs, target }: SoakCall): SoakArrival {
  return {
    ...{ id, backend: 'i-1-1', machine: 1, headAtMs: sentAtMs + 10, atMs: sentAtMs + 10, target },
    ...{ method: 'GET', body: '', callerService: 'reads', deadlineMs: 100, hasRun: true },
    ...{ brokeOff: false, outcome: 'answered' as const, endedAtMs: sentAtMs + 100 },
  };
}

describe('a judge of requests that are cut', () => {
  function brokenBy(calls: readonly SoakCall[], promise: SoakPromise, arrivals = calls): number {
    const record = soakRecordOf({
      calls,
      arrivals: arrivals.map(arrivalOf),
      configuredAtMs: new Map([[1, CONFIGURED_AT_MS]]),
    });
    return judgeSoak(record).filter((broken) => broken.promise === promise).length;
  }

  it('bears three of them, and no more', () => {
    const calls = ['a', 'b', 'c', 'd'].map((id) => cutCall(id));
    expect(brokenBy(calls.slice(0, 3), 'kept-connection')).to.equal(0);
    expect(brokenBy(calls, 'kept-connection')).to.equal(4);
  });

  it('leaves out what came behind others and was not passed on', () => {
    const calls = ['a', 'b', 'c', 'd'].map((id) => cutCall(id, { aheadCount: 1 }));
    expect(brokenBy(calls, 'kept-connection', [])).to.equal(0);
    expect(brokenBy(calls, 'kept-connection')).to.equal(4);
  });

  it('counts one beside a configuration where none is cut at other times', () => {
    expect(brokenBy([near('a'), served('b', FAR_MS)], 'configuration')).to.equal(1);
  });

  it('counts none that has used seven tenths of its time', () => {
    const late = near('a', { endedAtMs: CONFIGURED_AT_MS + 2_300 });
    expect(brokenBy([late, served('b', FAR_MS)], 'configuration')).to.equal(0);
  });

  it('counts none where as many are cut at other times', () => {
    const calls = [near('a'), served('b', CONFIGURED_AT_MS), cutCall('c'), served('d', FAR_MS)];
    expect(brokenBy(calls, 'configuration')).to.equal(0);
  });
});
