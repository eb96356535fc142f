/** Marks of bodies: equal for equal bodies alone. */
import { expect } from 'chai';
import { markBody } from '../../tools/soak/body-mark.js';

describe('the mark of a body', () => {
  it('is a short body itself', () => {
    expect(markBody('order of q1')).to.equal('order of q1');
  });

  it('tells long bodies apart by any byte and by length', () => {
    const body = 'a'.repeat(100_000);
    expect(markBody(body)).to.equal(markBody(body.slice(0)));
    expect(markBody(body).length).to.be.lessThan(100);
    const others = [`${body}a`, body.slice(1), `b${body.slice(1)}`, `${body.slice(1)}b`];
    others.forEach((other) => expect(markBody(other)).to.not.equal(markBody(body)));
  });
});
