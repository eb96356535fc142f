/** What is printed of the machine when a soak has broken a promise. */
import { expect } from 'chai';
import { describeMachine, describeStarvation } from '../../tools/soak/machine-report.js';
import { soakRecordOf } from './soak-records.js';

describe('the report on the machine of a soak', () => {
  const record = soakRecordOf({
    pauses: [{ fromMs: 2_000, untilMs: 2_700 }],
    coreTimes: [{ machine: 1, fromMs: 1_500, untilMs: 1_750, ranMs: 10.4, waitedMs: 215 }],
  });

  it('lists pauses of the soak and waits of its nodes, in order', () => {
    expect(describeStarvation(record)).to.deep.equal([
      '1.50 s: node 1 ran 10 ms and waited 215 ms of 250 ms',
      '2.00 s: the soak stood still for 700 ms',
    ]);
  });

  it('sums them up in a line', () => {
    expect(describeMachine(record)).to.match(/stood still 1 times, for 700 ms.*215 ms at most/);
  });
});
