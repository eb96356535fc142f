/** Recognising callers that come back. */
import { expect } from 'chai';
import { UnservedRequests, type RequestIdentity } from '../../src/proxy/unserved-requests.js';

const READ: RequestIdentity = { route: 'reads', method: 'GET', target: '/a', deadlineAtMs: 2_500 };

/** Remembers that the request, which arrived at 0, was refused at 5 ms. */
function refused(identity: RequestIdentity): UnservedRequests {
  const unserved = new UnservedRequests();
  unserved.remember(identity, 0, undefined, 5);
  return unserved;
}

describe('unserved requests', () => {
  it('recognise a repeat by its deadline, once', () => {
    const unserved = refused(READ);
    const repeat = { ...READ, deadlineAtMs: 2_502 };
    expect(unserved.takeEarlierTries(repeat, 700)).to.deep.equal({ count: 1, firstArrivedAtMs: 0 });
    expect(unserved.takeEarlierTries(repeat, 700)).to.equal(undefined);
  });

  it('count from the first of several tries', () => {
    const unserved = refused(READ);
    unserved.remember(READ, 700, unserved.takeEarlierTries(READ, 700), 705);
    expect(unserved.takeEarlierTries(READ, 700)).to.deep.equal({ count: 2, firstArrivedAtMs: 0 });
  });

  it('take a first try with a short deadline for no repeat', () => {
    expect(refused(READ).takeEarlierTries({ ...READ, deadlineAtMs: 900 }, 700)).to.equal(undefined);
  });

  it('take another request for no repeat', () => {
    const others: RequestIdentity[] = [
      { ...READ, target: '/b' },
      { ...READ, method: 'POST' },
      { ...READ, route: 'lists' },
    ];
    for (const other of others) {
      expect(refused(READ).takeEarlierTries(other, 700)).to.equal(undefined);
    }
  });

  // Guards against calls of endpoints that count as requests whose callers come back, since two of them were alike.
  it('tell routes whose callers come back from those on which two requests were alike', () => {
    const unserved = new UnservedRequests();
    const end = (target: string): void => unserved.remember({ ...READ, target }, 0, undefined, 100);
    const targets = Array.from({ length: 20 }, (_, number) => `/${number}`);
    targets.forEach(end);
    expect(unserved.hasRepeats('reads', 200)).to.equal(false);
    unserved.takeEarlierTries({ ...READ, target: '/0' }, 200);
    expect(unserved.hasRepeats('reads', 200)).to.equal(false);
    targets.forEach((target) => unserved.takeEarlierTries({ ...READ, target }, 200));
    expect(unserved.hasRepeats('reads', 200)).to.equal(true);
    expect(unserved.hasRepeats('writes', 200)).to.equal(false);
  });

  it('are not remembered with targets that are very long', () => {
    const long: RequestIdentity = { ...READ, target: `/${'a'.repeat(600)}` };
    expect(refused(long).takeEarlierTries(long, 700)).to.equal(undefined);
  });

  it('are bounded, and forgotten after their deadline', () => {
    const unserved = refused(READ);
    unserved.remember({ ...READ, target: '/b', deadlineAtMs: 9_000 }, 2_600, undefined, 2_600);
    expect(unserved.takeEarlierTries(READ, 700)).to.equal(undefined);
    for (let number = 0; number < 10_000; number += 1) {
      unserved.remember({ ...READ, target: `/${number}` }, 0, undefined, 0);
    }
    const kept = Array.from({ length: 10_000 }, (_, number) => number).filter(
      (number) => unserved.takeEarlierTries({ ...READ, target: `/${number}` }, 700) !== undefined,
    );
    expect(kept.length).to.equal(2_048);
    expect(kept.at(-1)).to.equal(9_999);
  });
});
