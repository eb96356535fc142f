/** Order of an endpoint's statements: an answer that was begun before a rate limit was named must not lift it. */
import { expect } from 'chai';
import { EndpointStatement } from '../../src/routing/endpoint-statement.js';

describe('the rate limit that an endpoint states', () => {
  let statement: EndpointStatement;

  beforeEach(() => {
    statement = new EndpointStatement();
  });

  it('is unknown before the first answer', () => {
    expect(statement.maxRatePerS).to.equal(undefined);
    expect(statement.isLimited).to.equal(false);
  });

  it('is lifted by the answer to a request that was sent after the limit arrived', () => {
    statement.applyAnswer(5, 100, 200);
    expect(statement.applyAnswer(Infinity, 200, 300)).to.equal(true);
    expect(statement.isLimited).to.equal(false);
  });

  it('is not lifted or raised by the answer to a request that was sent before the limit arrived', () => {
    statement.applyAnswer(5, 100, 200);
    expect(statement.applyAnswer(Infinity, 199, 300)).to.equal(false);
    expect(statement.applyAnswer(8, 199, 300)).to.equal(false);
    expect(statement.maxRatePerS).to.equal(5);
  });

  it('is lowered by any answer', () => {
    statement.applyAnswer(Infinity, 100, 200);
    expect(statement.applyAnswer(5, 150, 300)).to.equal(true);
    expect(statement.applyAnswer(3, 160, 310)).to.equal(true);
    expect(statement.maxRatePerS).to.equal(3);
  });

  it('is raised by a newer answer', () => {
    statement.applyAnswer(5, 100, 200);
    expect(statement.applyAnswer(8, 250, 300)).to.equal(true);
    expect(statement.maxRatePerS).to.equal(8);
  });

  it('does not change with an answer that repeats it', () => {
    statement.applyAnswer(5, 100, 200);
    expect(statement.applyAnswer(5, 250, 300)).to.equal(false);
  });
});
