import { expect } from 'chai';
import fc from 'fast-check';
import { applyPatch, createPatch } from '../../src/store/text-patch.js';

const SEED = 20_261_202;

/** A configuration with many routes, as JSON. */
function configuration(version: number, changedRoute: number): string {
  const routes = Array.from({ length: 600 }, (_, idx) => ({
    name: `route-${idx}`,
    pathPrefix: `/p${idx}/`,
    timeoutS: idx === changedRoute ? 9 : 2,
  }));
  return JSON.stringify({ version, services: [{ name: 'a' }], virtualHosts: [{ routes }] });
}

describe('text patches', () => {
  it('converts the old text to the new one', () => {
    const piece = fc.constantFrom('{', '{a', '{b}', ',', 'x', '{"k":1}');
    const text = fc.array(piece, { maxLength: 30 }).map((pieces) => pieces.join(''));
    const property = fc.property(text, text, (oldText, newText) => {
      expect(applyPatch(oldText, createPatch(oldText, newText))).to.equal(newText);
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
  });

  it('is small when one of 600 routes and the version change', () => {
    const oldText = configuration(7, 20);
    const newText = configuration(8, 400);
    const patch = createPatch(oldText, newText);
    expect(applyPatch(oldText, patch)).to.equal(newText);
    expect(JSON.stringify(patch).length).to.be.below(newText.length / 50);
  });

  it('is rejected if it does not match the old text', () => {
    expect(applyPatch('short', [[0, 9]])).to.equal(undefined);
    expect(applyPatch('short', [[3, 1]])).to.equal(undefined);
  });

  it('is rejected if its ranges produce a text that is too long', () => {
    const text = 'x'.repeat(100_000);
    const patch = Array.from({ length: 10_000 }, () => [0, text.length] as const);
    expect(applyPatch(text, patch)).to.equal(undefined);
  });
});
