/** Rate limits in the headers of answers: a text that is no decimal number must not be taken for a limit or for none. */
import { expect } from 'chai';
import { readStatement } from '../../src/proxy/answer-statement.js';

describe('the rate limit of an answer', () => {
  const limits: readonly [text: string, perS: number][] = [
    ['0', 0],
    ['0.2', 0.2],
    ['3.3', 3.3],
    ['17', 17],
    ['17.142857142857142', 17.142857142857142],
    ['1000000', 1_000_000],
  ];
  for (const [text, perS] of limits) {
    it(`is ${perS} for "${text}"`, () => {
      expect(readStatement(text)).to.deep.equal({ maxRatePerS: perS });
    });
  }

  it('is unlimited without the header', () => {
    expect(readStatement(undefined)).to.deep.equal({ maxRatePerS: Infinity });
  });

  // Node.js joins the values of repeated headers with ", ".
  for (const text of [
    '',
    '-1',
    'NaN',
    'Infinity',
    '1e9',
    '0x10',
    '3,3',
    '3, 5',
    '3 ',
    '.5',
    '5.',
  ]) {
    it(`is unreadable for "${text}"`, () => {
      expect(readStatement(text)).to.deep.equal({ maxRatePerS: undefined });
    });
  }

  it('is unreadable for several headers', () => {
    expect(readStatement(['3', '5'])).to.deep.equal({ maxRatePerS: undefined });
  });
});
