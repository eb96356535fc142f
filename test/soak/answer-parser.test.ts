/** Reading answers that come one behind the other, in pieces of any size. */
import { expect } from 'chai';
import { AnswerParser } from '../../tools/soak/answer-parser.js';

const LENGTH = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\nbody';
const CHUNKED =
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\nA\r\ndy........\r\n0\r\n\r\n';
const CLOSE = 'HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
const INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n';

describe('the answers of one connection', () => {
  function parse(text: string, pieceBytes: number): { status: number; body: string }[] {
    const parser = new AnswerParser();
    const whole = [];
    for (let idx = 0; idx < text.length; idx += pieceBytes) {
      whole.push(...parser.take(Buffer.from(text.slice(idx, idx + pieceBytes), 'latin1')));
    }
    return whole.map(({ status, body }) => ({ status, body }));
  }

  for (const pieceBytes of [1, 3, 7, 1_000]) {
    it(`are read in order, in pieces of ${pieceBytes} bytes`, () => {
      expect(parse(LENGTH + INTERIM + CHUNKED + CLOSE + LENGTH, pieceBytes)).to.deep.equal([
        { status: 200, body: 'body' },
        { status: 200, body: 'body........' },
        { status: 503, body: '' },
        { status: 200, body: 'body' },
      ]);
    });
  }

  it('are not whole before their last byte, and tell their status then', () => {
    for (const text of [LENGTH, CHUNKED]) {
      const parser = new AnswerParser();
      expect(parser.take(Buffer.from(text.slice(0, -1)))).to.deep.equal([]);
      expect(parser.openStatus).to.equal(200);
      expect(parser.take(Buffer.from(text.slice(-1)))).to.have.length(1);
      expect(parser.openStatus).to.equal(0);
    }
  });

  it('are refused where bytes come that are none', () => {
    expect(() => parse('nonsense\r\n\r\n', 1_000)).to.throw(SyntaxError);
  });
});
