/** The watch over the cores that the processes of a soak wait for. */
import { expect } from 'chai';
import { CoreWatch } from '../../tools/soak/core-watch.js';

describe('the watch over waits for a core', () => {
  it('tells which process waited long, or did nothing but run, between two looks', () => {
    const times = new Map([
      [11, { ranMs: 900, waitedMs: 5_000 }],
      [12, { ranMs: 0, waitedMs: 0 }],
      [14, { ranMs: 10, waitedMs: 0 }],
    ]);
    const processes = [
      { machine: 0, processId: 11 },
      { machine: 1, processId: 12 },
      { machine: 2, processId: undefined },
      { machine: 3, processId: 13 },
      { machine: 4, processId: 14 },
    ];
    let nowMs = 100;
    const watch = new CoreWatch({
      processes: () => processes,
      nowMs: () => nowMs,
      timesOf: (id) => times.get(id),
    });
    nowMs = 350;
    times.set(11, { ranMs: 910, waitedMs: 5_150 });
    times.set(12, { ranMs: 50, waitedMs: 40 });
    times.set(14, { ranMs: 240, waitedMs: 0 });
    watch.stop();
    const common = { fromMs: 100, untilMs: 350 };
    expect(watch.times).to.deep.equal([
      { machine: 0, ...common, ranMs: 10, waitedMs: 150 },
      { machine: 4, ...common, ranMs: 230, waitedMs: 0 },
    ]);
  });
});
