/** Guards against answers of the store that are read otherwise in pieces than as a whole, or held as a whole. */
import { expect } from 'chai';
import fc from 'fast-check';
import { AnswerReader, AnswerTooLargeError } from '../../platform/answer-reader.js';
import { InvalidItemError } from '../../src/store/item-fault.js';
import { arriveInPieces } from './answer-pieces.js';

const SEED = 97;
const RUNS = 2_000;
const MEGABYTE = 1024 * 1024;

function read(text: string, pieceBytes: number): unknown {
  const reader = new AnswerReader((raw) => raw);
  arriveInPieces(reader, text, pieceBytes);
  return reader.end();
}

function parsed(text: string): unknown {
  try {
    // Lone surrogates do not survive as bytes.
    return JSON.parse(Buffer.from(text).toString()) as unknown;
  } catch {
    return undefined;
  }
}

/** Texts of answers, some of them with a sign removed or replaced. */
const answerText = fc
  .tuple(
    fc.dictionary(fc.string({ unit: 'binary' }), fc.jsonValue({ maxDepth: 4 })),
    fc.array(fc.jsonValue({ maxDepth: 3 })),
    fc.option(
      fc.tuple(fc.nat(), fc.constantFrom('', '"', '\\', ',', '[', ']', '{', '}', ' ', '1')),
    ),
    fc.nat(2),
  )
  .map(([others, items, damage, spaces]) => {
    const text = JSON.stringify({ ...others, items }, undefined, spaces);
    const [position = 0, sign = ''] = damage ?? [];
    const at = position % text.length;
    return damage === null ? text : text.slice(0, at) + sign + text.slice(at + 1);
  });

describe('an answer of the store that arrives in pieces', () => {
  it('is read as if it had arrived at once, or refused', () => {
    const property = fc.property(
      answerText,
      fc.integer({ min: 1, max: 40 }),
      (text, pieceBytes) => {
        const expected = parsed(text);
        if (typeof expected === 'object' && expected !== null && !Array.isArray(expected)) {
          expect(read(text, pieceBytes)).to.deep.equal(expected);
        } else {
          expect(() => read(text, pieceBytes)).to.throw(InvalidItemError);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('does not hold the items that were read', () => {
    const value = 'x'.repeat(MEGABYTE);
    const reader = new AnswerReader((raw) => (raw as { key: string }).key);
    reader.write(Buffer.from('{"items":['));
    const item = Buffer.from(`{"value":"${value}","key":"k"},`);
    reader.write(item);
    globalThis.gc?.();
    const before = process.memoryUsage().rss;
    for (let count = 0; count < 300; count += 1) {
      reader.write(item);
    }
    reader.write(Buffer.from('{"key":"last"}]}'));
    expect((reader.end() as { items: string[] }).items.at(-1)).to.equal('last');
    expect(process.memoryUsage().rss - before).to.be.lessThan(150 * MEGABYTE);
  });

  it('has items with strings of any length, of which nothing is held', () => {
    const reader = new AnswerReader((raw) => raw as { key: string; value: string });
    reader.write(Buffer.from('{"items":[{"key":"k","value":"'));
    for (let count = 0; count < 64; count += 1) {
      reader.write(Buffer.alloc(MEGABYTE, 'A'));
    }
    reader.write(Buffer.from('"},{"key":"l","value":"QQ=="}]}'));
    const { items } = reader.end() as { items: { key: string; value: string }[] };
    expect(items.map(({ key }) => key)).to.deep.equal(['k', 'l']);
    expect(Buffer.from(items[0]?.value ?? '', 'base64')).to.have.length(0);
    expect(items[1]?.value).to.equal('QQ==');
  });

  it('leaves out items that are nested too deep, and reads the others', () => {
    const deep = '['.repeat(100_000) + ']'.repeat(100_000);
    expect(read(`{"items":[1,${deep},2]}`, 1_000)).to.deep.equal({ items: [1, undefined, 2] });
  });

  it('ends when it has more items than a node takes, in place of filling the memory', () => {
    const reader = new AnswerReader((raw) => raw);
    reader.write(Buffer.from('{"items":['));
    const block = Buffer.from('0,'.repeat(50_000));
    expect(() => {
      for (let count = 0; count < 10; count += 1) {
        reader.write(block);
      }
    }).to.throw(AnswerTooLargeError);
  });

  it('is refused at its first byte if it is no object', () => {
    const reader = new AnswerReader((raw) => raw);
    expect(() => reader.write(Buffer.from('hello'))).to.throw(InvalidItemError);
  });
});
