/** Guards against a planned stop timed from the run of its signal handler instead of from the signal. */
import { expect } from 'chai';
import { CHECK_INTERVAL_MS } from '../../src/clock/shared-interval.js';
import { EventLoopLag } from '../../src/proxy/loop-lateness.js';
import { PauseDetector } from '../../src/proxy/pause-detector.js';

describe('the age of a signal', () => {
  it('is zero if the pause detector ticks on time', () => {
    const pauses = new PauseDetector(0);
    pauses.tick(CHECK_INTERVAL_MS);
    expect(pauses.signalAgeMs(2 * CHECK_INTERVAL_MS)).to.equal(0);
  });

  it('is the time since the last tick if the process has not run since then', () => {
    const pauses = new PauseDetector(0);
    pauses.tick(100);
    expect(pauses.signalAgeMs(900)).to.equal(800);
  });

  it('is the time since the tick before a late one, until one check interval after the late tick', () => {
    const pauses = new PauseDetector(0);
    pauses.tick(100);
    pauses.tick(900);
    expect(pauses.signalAgeMs(905)).to.equal(805);
    expect(pauses.signalAgeMs(1_050)).to.equal(950);
    expect(pauses.signalAgeMs(1_051)).to.equal(0);
  });
});

describe('the event loop lag', () => {
  it('is the maximum delay of the last seconds', () => {
    const lateness = new EventLoopLag();
    lateness.record(120, 10_000);
    lateness.record(5, 11_000);
    expect(lateness.recentMaxMs(12_900)).to.equal(120);
    lateness.record(40, 13_500);
    expect(lateness.recentMaxMs(15_900)).to.equal(120);
    expect(lateness.recentMaxMs(16_600)).to.equal(40);
    expect(lateness.recentMaxMs(30_000)).to.equal(0);
  });
});
