/** The judge of requests that end back ends: what is late, what is let pass, and who is innocent. */
import { expect } from 'chai';
import { judgeCrashes } from '../../tools/soak/crash-promises.js';
import type { SoakArrival, SoakCall, SoakCrash } from '../../tools/soak/soak-record.js';
import { SOAK_TERMS } from '../../tools/soak/soak-terms.js';
import { soakRecordOf } from './soak-records.js';

const TARGET = '/reads/crash-0';
const THIRD_AT_MS = 12_000;
const KNOWN_AT_MS = THIRD_AT_MS + SOAK_TERMS.contactMs;
const CRASHES: readonly SoakCrash[] = [10_000, 11_000, THIRD_AT_MS].map((atMs, idx) => ({
  target: TARGET,
  backend: `i-${idx}`,
  atMs,
}));

function arrivalsAt(...times: readonly number[]): SoakArrival[] {
  return times.map((headAtMs, idx) => ({
    id: `c${idx}`,
    backend: 'i-9',
    machine: 1,
    headAtMs,
    atMs: headAtMs,
    target: TARGET,
    method: 'GET',
    body: '',
    callerService: 'reads',
    deadlineMs: 1_000,
    hasRun: true,
    brokeOff: true,
    outcome: 'broke-off',
    endedAtMs: headAtMs + 20,
  }));
}

function judge(
  arrivals: readonly SoakArrival[],
  crashes = CRASHES,
  isInTouch = (): boolean => true,
): string[] {
  const record = soakRecordOf({ arrivals, crashes });
  return judgeCrashes(record, isInTouch).map(({ promise }) => promise);
}

describe('the judge of requests that end back ends', () => {
  const after = [1, 2, 3, 4].map((late) => KNOWN_AT_MS + late);

  it('lets three sends pass after all may know, and no fourth one', () => {
    expect(judge(arrivalsAt(...after.slice(0, 3)))).to.deep.equal([]);
    expect(judge(arrivalsAt(...after))).to.deep.equal(['contained']);
  });

  it('counts nothing before that, nor before three have ended', () => {
    expect(judge(arrivalsAt(...after.map((atMs) => atMs - 5)))).to.deep.equal([]);
    expect(judge(arrivalsAt(...after), CRASHES.slice(1))).to.deep.equal([]);
  });

  it('counts nothing of machines that are not in touch', () => {
    expect(judge(arrivalsAt(...after), CRASHES, () => false)).to.deep.equal([]);
  });

  it('finds others that are refused in its place', () => {
    const refused = { id: 'q1', answer: '{"code":"CONTAINED"}' };
    const told = (target: string): string[] =>
      judgeCrashes(
        soakRecordOf({ calls: [{ ...refused, target } as SoakCall], crashes: CRASHES }),
        () => true,
      ).map(({ promise }) => promise);
    expect(told('/reads/q1')).to.deep.equal(['innocent']);
    expect(told(TARGET)).to.deep.equal([]);
  });
});
