/**
 * Admission to an endpoint that reports that work takes 2.5 times as long as usual for some hundred milliseconds at a
 * time. Guards against work that is started and lost while it is slow, and refused while it is not.
 */
import { expect } from 'chai';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';
import { ReportedSlowness } from '../../src/admission/reported-slowness.js';

const USUAL_MS = 100;
const SLOW_PERCENT = 250;
const PERIOD_MS = 600;

/** An endpoint with one slot, which always runs a request and reports its speed with each answer. */
class SteadyLoad {
  readonly admission = new EndpointAdmission(1);
  nowMs = 0;

  constructor(readonly reports: boolean) {
    this.offer('running', Infinity);
  }

  /** Runs requests one after the other for `forMs`. */
  run(percent: number, forMs: number): void {
    const untilMs = this.nowMs + forMs;
    while (this.nowMs < untilMs) {
      const serviceMs = (USUAL_MS * percent) / 100;
      this.nowMs += serviceMs;
      if (this.reports) {
        this.admission.slownessReported({ percent, ageMs: 0 }, this.nowMs);
      }
      this.admission.release('running', this.nowMs, serviceMs);
      this.offer('running', Infinity);
    }
  }

  offer(requestId: string, leftMs: number): string | undefined {
    const ticket = {
      requestId,
      callerNode: 'n',
      workClass: 'call',
      deadlineAtMs: this.nowMs + leftMs,
    };
    const [effect] = this.admission.offer(ticket, this.nowMs);
    return effect?.type;
  }
}

describe('an endpoint that reports how long work takes', () => {
  it('is expected to take as long as usual again soon after its last report', () => {
    const slowness = new ReportedSlowness();
    slowness.record({ percent: SLOW_PERCENT, ageMs: 0 }, 0);
    expect(slowness.factorAt(0)).to.equal(2.5);
    expect(slowness.factorAt(300)).to.equal(1.75);
    expect(slowness.factorAt(1_500)).to.be.below(1.06);
    expect(slowness.reportAt(2_001)).to.equal(undefined);
  });

  it('is not affected by an older report, and figures are kept within limits', () => {
    const slowness = new ReportedSlowness();
    slowness.record({ percent: 1e9, ageMs: 0 }, 100);
    slowness.record({ percent: 100, ageMs: 50 }, 110);
    slowness.record({ percent: NaN, ageMs: 0 }, 110);
    slowness.record({ percent: -5, ageMs: 0 }, 110);
    expect(slowness.factorAt(100)).to.equal(20);
  });

  it('has its service times measured as of its usual speed', () => {
    const load = new SteadyLoad(true);
    load.run(100, PERIOD_MS);
    load.run(SLOW_PERCENT, PERIOD_MS);
    expect(load.admission.serviceMs('call')).to.be.closeTo(USUAL_MS, 1);
  });

  it('gets no work that ends too late at its present speed, and gets it again once it is fast', () => {
    const load = new SteadyLoad(true);
    load.run(100, 10 * PERIOD_MS);
    expect(load.offer('fast', 250)).to.equal(undefined);
    load.admission.withdraw('fast', 'n');
    load.run(SLOW_PERCENT, PERIOD_MS);
    expect(load.offer('slow', 250)).to.equal('refuse');
    load.nowMs += 2_000;
    expect(load.offer('later', 250)).to.equal(undefined);
  });

  it('is treated as before if it reports no speed', () => {
    const load = new SteadyLoad(false);
    load.run(100, PERIOD_MS);
    load.run(SLOW_PERCENT, 10 * PERIOD_MS);
    expect(load.admission.serviceMs('call')).to.be.above(2 * USUAL_MS);
  });
});
