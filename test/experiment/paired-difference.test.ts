/** Differences of two variants over pairs of runs, and the bounds of their intervals. */
import { expect } from 'chai';
import { plotDifferences } from '../../tools/experiment/difference-plot.js';
import { formatCsv, formatTables } from '../../tools/experiment/experiment-report.js';
import { isTold, pairedDifferences } from '../../tools/experiment/paired-difference.js';

function differences(base: readonly number[], variant: readonly number[]) {
  const runs = (values: readonly number[]) => values.map((worth) => ({ worth }));
  return pairedDifferences(runs(base), runs(variant));
}

describe('differences of paired runs', () => {
  it('have the mean, the standard error and the interval of Student', () => {
    const [one] = differences([1, 2, 3], [2, 2, 5]);
    expect(one).to.include({ measure: 'worth', pairs: 3, baseMean: 2, variantMean: 3 });
    expect(one?.difference).to.equal(1);
    // The differences 1, 0 and 2 have a standard deviation of 1; t of 2 degrees of freedom is 4.3027.
    expect(one?.standardError).to.be.closeTo(1 / Math.sqrt(3), 1e-12);
    expect(one?.low).to.be.closeTo(1 - 4.3027 / Math.sqrt(3), 1e-4);
    expect(one?.high).to.be.closeTo(1 + 4.3027 / Math.sqrt(3), 1e-4);
    expect(one && isTold(one)).to.equal(false);
  });

  it('tell of runs that differ alike', () => {
    const [one] = differences([0.5, 0.6, 0.7, 0.8], [0.41, 0.5, 0.6, 0.69]);
    expect(one && isTold(one)).to.equal(true);
  });

  it('have no interval for a single pair', () => {
    const [one] = differences([0.5], [0.25]);
    expect(one?.difference).to.equal(-0.25);
    expect(one?.standardError).to.be.NaN;
    expect(one && isTold(one)).to.equal(false);
  });

  it('need runs in pairs', () => {
    expect(() => differences([1, 2], [1])).to.throw(RangeError);
    expect(() => differences([], [])).to.throw(RangeError);
  });

  it('are written as a table, as comma-separated values and as a plot', () => {
    const comparison = {
      scenario: 'calm',
      base: 'as shipped',
      variant: 'retries=0',
      differences: differences([0.5, 0.6, 0.7, 0.8], [0.25, 0.35, 0.45, 0.65]),
    };
    const table = formatTables([comparison]);
    expect(table).to.include('calm: retries=0 against as shipped, 4 pairs');
    expect(table).to.match(/worth +0\.6500 +0\.4250 +-0\.2250 +0\.0250 +-0\.3046 to -0\.1454 +\*/);
    const [head, line] = formatCsv([comparison]).split('\n');
    expect(head).to.equal(
      'scenario,base,variant,measure,pairs,base_mean,variant_mean,difference,standard_error,low,high',
    );
    expect(line).to.match(/^calm,as shipped,retries=0,worth,4,0\.65\d*,0\.425\d*,-0\.22/);
    const plot = plotDifferences([comparison]);
    expect(plot).to.match(/^<svg [^>]*>/);
    expect(plot).to.include('>calm, retries=0: worth</text>').and.to.include('<circle');
  });
});
