/** The life-cycle manager: order, once, faults, and what comes too late. */
import { expect } from 'chai';
import { LifeCycle } from '../../src/runtime/life-cycle.js';

describe('the life-cycle manager', () => {
  it('closes what it owns in the reverse order, once', async () => {
    const closed: string[] = [];
    const lifeCycle = new LifeCycle();
    for (const name of ['a', 'b', 'c']) {
      lifeCycle.own(name, name, (res) => void closed.push(res));
    }
    await Promise.all([lifeCycle.close(), lifeCycle.close()]);
    expect(closed).to.deep.equal(['c', 'b', 'a']);
  });

  it('reports what fails to close, and closes the rest', async () => {
    const seen: string[] = [];
    const lifeCycle = new LifeCycle((name, err) => seen.push(`${name}: ${String(err)}`));
    lifeCycle.own('a', 1, () => void seen.push('a closed'));
    lifeCycle.own('b', 2, () => Promise.reject(new Error('stuck')));
    await lifeCycle.close();
    expect(seen).to.deep.equal(['b: Error: stuck', 'a closed']);
  });

  it('closes at once what it is given after it was closed', async () => {
    const lifeCycle = new LifeCycle();
    await lifeCycle.close();
    let isClosed = false;
    lifeCycle.own('late', 1, () => {
      isClosed = true;
    });
    expect([isClosed, lifeCycle.isClosed]).to.deep.equal([true, true]);
  });
});
