import { expect } from 'chai';
import {
  withoutCaller,
  headDigestOf,
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

function fullDigestOf(parts: Partial<typeof PARTS>): string {
  return new RequestFingerprint({ ...PARTS, ...parts }, CALLER_HEADER).fullDigest;
}

describe('the fingerprint of a request', () => {
  it('is equal for every attempt at any machine', () => {
    const again = ['Request-Id', 'two', 'CALLER', 'shop', 'host', 'H.example:8080', 'X-Trace', '7'];
    const body = new BufferedBody(Buffer.from('pay'));
    expect(fullDigestOf({ headers: again, body })).to.equal(fullDigestOf({}));
  });

  it('differs with method, path, query, host, caller and body', () => {
    const all = [
      fullDigestOf({}),
      fullDigestOf({ method: 'PUT' }),
      fullDigestOf({ target: '/a/b?c=2' }),
      fullDigestOf({ target: '/a/bb?c=1' }),
      fullDigestOf({ headers: ['Host', 'i.example', 'Caller', 'shop'] }),
      fullDigestOf({ headers: ['Host', 'h.example', 'Caller', 'depot'] }),
      fullDigestOf({ headers: ['Host', 'h.example'] }),
      fullDigestOf({ body: new BufferedBody(Buffer.from('pay more')) }),
      fullDigestOf({ body: new BufferedBody(Buffer.alloc(0)) }),
    ];
    expect(new Set(all)).to.have.property('size', all.length);
  });

  it('is equal at nodes that callers address by IP', () => {
    const hosts = ['10.1.0.8', '10.2.0.7:8080', '[fd00::1]:8080', '[fd00::2]'];
    const all = hosts.map((host) => fullDigestOf({ headers: ['Host', host, 'Caller', 'shop'] }));
    expect(new Set(all)).to.have.property('size', 1);
    expect(all).not.to.include(fullDigestOf({}));
  });

  it('separates the parts', () => {
    expect(fullDigestOf({ method: 'GET', target: '/a' })).not.to.equal(
      fullDigestOf({ method: 'GE', target: 'T/a' }),
    );
  });

  it('starts with the head digest, which does not depend on the body', () => {
    const one = new RequestFingerprint(PARTS, CALLER_HEADER);
    expect(headDigestOf(one.fullDigest)).to.equal(one.headDigest);
    expect(headDigestOf(fullDigestOf({ body: new BufferedBody(Buffer.from('other')) }))).to.equal(
      one.headDigest,
    );
    expect(one.fullDigest).to.match(/^[0-9a-f]{40}$/);
  });

  it('differs with the caller only in its last digits', () => {
    const other = fullDigestOf({ headers: ['Host', 'h.example', 'Caller', 'depot'] });
    expect(withoutCaller(other)).to.equal(withoutCaller(fullDigestOf({})));
    const body = new BufferedBody(Buffer.from('other'));
    expect(withoutCaller(fullDigestOf({ body }))).not.to.equal(withoutCaller(fullDigestOf({})));
  });

  it('is equal for equal requests without a body', () => {
    const parts = { ...PARTS, method: 'GET', body: EMPTY_BODY };
    const one = new RequestFingerprint(parts, CALLER_HEADER).fullDigest;
    expect(new RequestFingerprint({ ...parts }, CALLER_HEADER).fullDigest).to.equal(one);
  });
});
