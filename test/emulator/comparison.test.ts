import { expect } from 'chai';
import { DESIGN_NAMES, FLEET_SIZES, SCENARIO_NAMES } from '../../tools/emulator/comparison-plan.js';
import { compareOne, type ComparisonResult } from '../../tools/emulator/comparison-run.js';
import { TimeSamples } from '../../tools/emulator/convergence-tracker.js';

const POLL_INTERVAL_MS = 1_000;

function compareSmallest(
  design: ComparisonResult['design'],
  scenario: ComparisonResult['scenario'],
): ComparisonResult {
  const size = FLEET_SIZES.find(({ nodes }) => nodes === 13);
  if (size === undefined) {
    throw new Error('no fleet of 13 nodes');
  }
  return compareOne(design, size, scenario, POLL_INTERVAL_MS);
}

describe('comparison of designs', () => {
  DESIGN_NAMES.forEach((design) => {
    SCENARIO_NAMES.filter((scenario) => scenario !== 'cut').forEach((scenario) => {
      it(`reaches every node by ${design} in scenario ${scenario}`, () => {
        const result = compareSmallest(design, scenario);
        expect(result.missing).to.equal(0);
        expect(result.sincePublication.samples).to.be.at.least(2 * 13);
        expect(result.sinceAcceptance.maxMs).to.be.at.most(result.sincePublication.maxMs);
        expect(result.traffic.maxBytes).to.be.at.least(result.traffic.meanBytes);
        expect(result.recoveryMs === null).to.equal(scenario !== 'herd');
      });
    });
  });

  it('counts the nodes that a cut keeps from converging as recovered only after the heal', () => {
    const result = compareSmallest('polling', 'cut');
    expect(result.missing).to.equal(0);
    expect(result.recoveryMs).to.be.greaterThan(0);
  });

  it('polls each node once an interval, at most with one reader for each node', () => {
    const conditional = compareSmallest('polling-conditional', 'quiet');
    const whole = compareSmallest('polling', 'quiet');
    expect(conditional.traffic.meanMessages).to.be.closeTo(2, 0.1);
    expect(whole.traffic.meanBytes).to.be.greaterThan(conditional.traffic.meanBytes);
    expect(whole.peakReaders).to.be.within(1, 13);
  });

  it('takes quantiles as the value that a share of the samples does not exceed', () => {
    const samples = new TimeSamples([3, 1, 2, 4]);
    const quantiles = [0, 0.25, 0.5, 0.99, 1].map((quantile) => samples.quantile(quantile));
    expect(quantiles).to.deep.equal([1, 1, 2, 4, 4]);
    expect(new TimeSamples([]).quantile(0.5)).to.be.NaN;
  });
});
