/** Rate limits in the headers of answers: a text that is no decimal number must not be taken for a limit or for none. */
import { expect } from 'chai';
import { readRateLimit } from '../../src/proxy/answer-statement.js';

const UNLIMITED = { kind: 'stated', maxRatePerS: Infinity };

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
      expect(readRateLimit(text, true)).to.deep.equal({ kind: 'stated', maxRatePerS: perS });
    });
  }

  it('is unstated in a refusal or an error without the header, so that these do not lift a limit', () => {
    expect(readRateLimit(undefined, false)).to.deep.equal({ kind: 'unstated' });
    expect(readRateLimit('3', false)).to.deep.equal({ kind: 'stated', maxRatePerS: 3 });
  });

  it('is unlimited in a success without the header', () => {
    expect(readRateLimit(undefined, true)).to.deep.equal(UNLIMITED);
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
      expect(readRateLimit(text, true)).to.deep.equal({ kind: 'unreadable' });
    });
  }

  it('is unreadable for several headers', () => {
    expect(readRateLimit(['3', '5'], true)).to.deep.equal({ kind: 'unreadable' });
  });
});
