import { expect } from 'chai';
import { FirstComeQueue } from '../../tools/load/first-come-queue.js';
import { LatencySample } from '../../tools/load/latency-sample.js';
import { parseUsage } from '../../tools/shared/process-usage.js';

describe('tools/load', () => {
  it('tells percentiles of recorded latencies', () => {
    const sample = new LatencySample();
    for (let latency = 1; latency <= 1_000; latency += 1) {
      sample.record(latency);
    }
    const summary = sample.summary();
    expect(summary.calls).to.equal(1_000);
    expect(summary.p50Ms).to.be.closeTo(500, 1);
    expect(summary.p99Ms).to.be.closeTo(990, 1);
    expect(summary.maxMs).to.be.closeTo(1_000, 1);
  });

  it('reads processor time and memory of a process whose name has spaces and brackets', () => {
    const fields = ['S', ...Array.from({ length: 10 }, () => '0'), '150', '50', '0'];
    const usage = parseUsage(
      `42 (a) b (c) ${fields.join(' ')}`,
      'Name:\tx\nVmRSS:\t    2048 kB\nThreads:\t1\n',
    );
    expect(usage).to.deep.equal({ cpuMs: 2_000, residentBytes: 2_097_152 });
  });

  it('runs tasks in order of arrival and never more than its slots on a target', async () => {
    const queue = new FirstComeQueue(['a', 'b'], 1);
    const started: number[] = [];
    const finishers: (() => void)[] = [];
    const runs = [0, 1, 2, 3].map((index) =>
      queue.run(
        () =>
          new Promise<void>((resolve) => {
            started.push(index);
            finishers.push(resolve);
          }),
      ),
    );
    await Promise.resolve();
    expect(started).to.deep.equal([0, 1]);
    finishers[0]?.();
    await runs[0];
    await Promise.resolve();
    expect(started).to.deep.equal([0, 1, 2]);
    finishers[1]?.();
    finishers[2]?.();
    await Promise.all([runs[1], runs[2]]);
    finishers[3]?.();
    await runs[3];
    expect(started).to.deep.equal([0, 1, 2, 3]);
  });
});
