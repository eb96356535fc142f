import { expect } from 'chai';
import {
  callerlessOf,
  headOf,
  RequestFingerprint,
} from '../../src/containment/request-fingerprint.js';
import { EMPTY_BODY, BufferedBody } from '../../src/proxy/request-body.js';

const CALLER_HEADER = 'caller';
const PARTS = {
  method: 'POST',
  target: '/a/b?c=1',
  headers: ['Host', 'h.example', 'Caller', 'shop', 'Request-Id', 'one'],
  body: new BufferedBody(Buffer.from('pay')),
};

function wholeOf(parts: Partial<typeof PARTS>): string {
  return new RequestFingerprint({ ...PARTS, ...parts }, CALLER_HEADER).whole;
}

describe('the fingerprint of a request', () => {
  it('is the same for every try, at any machine', () => {
    const again = ['Request-Id', 'two', 'CALLER', 'shop', 'host', 'H.example:8080', 'X-Trace', '7'];
    const body = new BufferedBody(Buffer.from('pay'));
    expect(wholeOf({ headers: again, body })).to.equal(wholeOf({}));
  });

  it('differs with method, path, query, host, caller and body', () => {
    const all = [
      wholeOf({}),
      wholeOf({ method: 'PUT' }),
      wholeOf({ target: '/a/b?c=2' }),
      wholeOf({ target: '/a/bb?c=1' }),
      wholeOf({ headers: ['Host', 'i.example', 'Caller', 'shop'] }),
      wholeOf({ headers: ['Host', 'h.example', 'Caller', 'depot'] }),
      wholeOf({ headers: ['Host', 'h.example'] }),
      wholeOf({ body: new BufferedBody(Buffer.from('pay more')) }),
      wholeOf({ body: new BufferedBody(Buffer.alloc(0)) }),
    ];
    expect(new Set(all)).to.have.property('size', all.length);
  });

  it('is the same at nodes that callers name by their addresses', () => {
    const hosts = ['10.1.0.8', '10.2.0.7:8080', '[fd00::1]:8080', '[fd00::2]'];
    const all = hosts.map((host) => wholeOf({ headers: ['Host', host, 'Caller', 'shop'] }));
    expect(new Set(all)).to.have.property('size', 1);
    expect(all).not.to.include(wholeOf({}));
  });

  it('keeps the parts apart', () => {
    expect(wholeOf({ method: 'GET', target: '/a' })).not.to.equal(
      wholeOf({ method: 'GE', target: 'T/a' }),
    );
  });

  it('begins with the digest of the head, which the body does not change', () => {
    const one = new RequestFingerprint(PARTS, CALLER_HEADER);
    expect(headOf(one.whole)).to.equal(one.head);
    expect(headOf(wholeOf({ body: new BufferedBody(Buffer.from('other')) }))).to.equal(one.head);
    expect(one.whole).to.match(/^[0-9a-f]{40}$/);
  });

  it('differs only at its end with the caller', () => {
    const other = wholeOf({ headers: ['Host', 'h.example', 'Caller', 'depot'] });
    expect(callerlessOf(other)).to.equal(callerlessOf(wholeOf({})));
    const body = new BufferedBody(Buffer.from('other'));
    expect(callerlessOf(wholeOf({ body }))).not.to.equal(callerlessOf(wholeOf({})));
  });

  it('knows a request without a body', () => {
    const parts = { ...PARTS, method: 'GET', body: EMPTY_BODY };
    const one = new RequestFingerprint(parts, CALLER_HEADER).whole;
    expect(new RequestFingerprint({ ...parts }, CALLER_HEADER).whole).to.equal(one);
  });
});
