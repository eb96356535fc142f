/** The judge of rate limits. */
import { expect } from 'chai';
import { judgeLimits } from '../../tools/soak/limit-promises.js';
import type { SoakArrival, SoakCall, SoakRecord } from '../../tools/soak/soak-record.js';
import { soakRecordOf } from './soak-records.js';

const BACKEND = 'i-0-1';
const NAMED_AT_MS = 10_000;
const LIMIT_PER_S = 5;
/** 1.5 times the limit in 4 s, and 5 more. */
const ALLOWED = 35;

interface Sent {
  readonly call: SoakCall;
  readonly arrival: SoakArrival;
}

/** Requests from a machine at an even rate, each answered after 20 ms. */
function requests(machine: number, ratePerS: number, fromMs: number, untilMs: number): Sent[] {
  const count = ((untilMs - fromMs) * ratePerS) / 1_000;
  return Array.from({ length: count }, (_, index) => {
    const atMs = fromMs + (index * 1_000) / ratePerS;
    const id = `${machine}-${fromMs}-${index}`;
    const call = { id, machine, sentAtMs: atMs, endedAtMs: atMs + 20, status: 200 };
    const arrival = { id, backend: BACKEND, headAtMs: atMs, hasRun: true, outcome: 'answered' };
    return {
      call: call as SoakCall,
      arrival: { ...arrival, namesLimit: atMs >= NAMED_AT_MS } as SoakArrival,
    };
  });
}

function judge(sent: readonly Sent[], changes: Partial<SoakRecord> = {}): string[] {
  const record = soakRecordOf({
    calls: sent.map(({ call }) => call),
    arrivals: sent.map(({ arrival }) => arrival),
    limits: [{ backend: BACKEND, atMs: NAMED_AT_MS, ratePerS: LIMIT_PER_S }],
    ...changes,
  });
  return judgeLimits(record).map(({ promise }) => promise);
}

describe('the judge of rate limits', () => {
  it('finds a back end that gets more than its limit', () => {
    expect(judge(requests(1, 10, 8_000, 20_000))).to.deep.equal(['rate-limit']);
  });

  it('adds up the requests of all machines', () => {
    const sent = [1, 2, 3].flatMap((machine) => requests(machine, 3, 8_000, 20_000));
    expect(judge(sent)).to.deep.equal(['rate-limit']);
  });

  it('allows 1.5 times the limit and 5 more in 4 s', () => {
    const most = ((ALLOWED - 1) * 1_000) / 4_000;
    expect(judge(requests(1, most, 8_000, 20_000))).to.deep.equal([]);
  });

  it('does not count machines that have not passed on an answer with the limit', () => {
    const untold = requests(1, 10, 10_000, 20_000).map(({ call, arrival }) => ({
      call,
      arrival: { ...arrival, namesLimit: false },
    }));
    expect(judge(untold)).to.deep.equal([]);
  });

  it('does not count requests of a machine that was struck, until it is told again', () => {
    const window = { kind: 'kill', machines: [1], fromMs: 12_500, untilMs: 12_600 } as const;
    const before = requests(1, 10, 10_000, 12_500);
    const untold = requests(1, 10, 12_600, 20_000).map(({ call, arrival }) => ({
      call,
      arrival: { ...arrival, namesLimit: false },
    }));
    expect(judge([...before, ...untold], { windows: [window] })).to.deep.equal([]);
    const told = requests(1, 10, 12_600, 20_000);
    expect(judge([...before, ...told], { windows: [window] })).to.deep.equal(['rate-limit']);
  });

  it('goes by the highest limit in the window when the limit changes', () => {
    const limits = [
      { backend: BACKEND, atMs: NAMED_AT_MS, ratePerS: 20 },
      { backend: BACKEND, atMs: 15_000, ratePerS: LIMIT_PER_S },
    ];
    expect(judge(requests(1, 20, 8_000, 15_500), { limits })).to.deep.equal([]);
    expect(judge(requests(1, 20, 8_000, 22_000), { limits })).to.deep.equal(['rate-limit']);
  });

  it('ends with the limit', () => {
    const limits = [
      { backend: BACKEND, atMs: NAMED_AT_MS, ratePerS: LIMIT_PER_S },
      { backend: BACKEND, atMs: 12_000, ratePerS: undefined },
    ];
    expect(judge(requests(1, 20, 12_000, 20_000), { limits })).to.deep.equal([]);
  });
});
