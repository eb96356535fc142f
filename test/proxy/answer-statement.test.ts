/** Rate limits in the headers of answers: a text that is no decimal number must not be taken for a limit or for none. */
import { expect } from 'chai';
import { readRateLimit } from '../../src/proxy/answer-statement.js';

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
      expect(readRateLimit(text)).to.equal(perS);
    });
  }

  it('is unlimited without the header', () => {
    expect(readRateLimit(undefined)).to.equal(Infinity);
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
      expect(readRateLimit(text)).to.equal(undefined);
    });
  }

  it('is unreadable for several headers', () => {
    expect(readRateLimit(['3', '5'])).to.equal(undefined);
  });
});
