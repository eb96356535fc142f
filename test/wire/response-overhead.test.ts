/** Guards against responses without end that are read on, and against valid ones that are cut off. */
import { expect } from 'chai';
import {
  MAX_OVERHEAD_BYTES,
  ResponseOverhead,
  type ResponseTimes,
} from '../../src/wire/response-overhead.js';

const DEADLINE_MS = 1_000;
const TIMES: ResponseTimes = { deadlineAtMs: DEADLINE_MS, bodyIdleTimeoutMs: 60_000 };

describe('the overhead of a response', () => {
  let overhead: ResponseOverhead;

  beforeEach(() => {
    overhead = new ResponseOverhead(TIMES);
  });

  function readHead(): void {
    overhead.recordHead();
    expect(overhead.recordRead(200, 0)).to.equal(undefined);
  }

  it('is bounded before the head', () => {
    expect(overhead.recordRead(MAX_OVERHEAD_BYTES, 0)).to.equal(undefined);
    expect(overhead.recordRead(1, 0)).to.equal('too-many-bytes');
  });

  it('may grow with the body, in chunks of one byte', () => {
    readHead();
    for (let count = 0; count < 100_000; count += 1) {
      overhead.recordBody(1);
      expect(overhead.recordRead(6, 0)).to.equal(undefined);
    }
  });

  it('is bounded for chunks whose sizes have thousands of digits', () => {
    readHead();
    let fault: string | undefined;
    for (let count = 0; count < 100 && fault === undefined; count += 1) {
      overhead.recordBody(1);
      fault = overhead.recordRead(4_000, 0);
    }
    expect(fault).to.equal('too-many-bytes');
  });

  it('leaves a stream with long pauses alone, also after the deadline', () => {
    readHead();
    for (let atMs = 500; atMs < 600_000; atMs += 50_000) {
      expect(overhead.recordRead(3, atMs)).to.equal(undefined);
      overhead.recordBody(20);
      expect(overhead.recordRead(20, atMs + 1)).to.equal(undefined);
      expect(overhead.recordRead(2, atMs + 2)).to.equal(undefined);
    }
  });

  it('ends a chunk header that is in progress for too long', () => {
    readHead();
    overhead.recordBody(5);
    overhead.recordRead(10, 100);
    for (let count = 1; count <= 30; count += 1) {
      expect(overhead.recordRead(1, 100 + count)).to.equal(undefined);
    }
    expect(overhead.recordRead(1, DEADLINE_MS)).to.equal('too-slow');
  });

  it('does not let a body begin after the deadline with bytes that are not part of it', () => {
    readHead();
    expect(overhead.recordRead(1, DEADLINE_MS - 1)).to.equal(undefined);
    expect(overhead.recordRead(1, DEADLINE_MS)).to.equal('too-slow');
  });
});
