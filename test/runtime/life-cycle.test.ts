import { expect } from 'chai';
import { LifeCycle } from '../../src/runtime/life-cycle.js';

describe('the life-cycle manager', () => {
  it('closes its resources once, in reverse order', async () => {
    const closed: string[] = [];
    const lifeCycle = new LifeCycle();
    for (const name of ['a', 'b', 'c']) {
      lifeCycle.own(name, name, (res) => void closed.push(res));
    }
    await Promise.all([lifeCycle.close(), lifeCycle.close()]);
    expect(closed).to.deep.equal(['c', 'b', 'a']);
  });

  it('reports a resource that fails to close and closes the others', async () => {
    const calls: string[] = [];
    const lifeCycle = new LifeCycle((name, err) => calls.push(`${name}: ${String(err)}`));
    lifeCycle.own('a', 1, () => void calls.push('a closed'));
    lifeCycle.own('b', 2, () => Promise.reject(new Error('stuck')));
    await lifeCycle.close();
    expect(calls).to.deep.equal(['b: Error: stuck', 'a closed']);
  });

  it('immediately closes a resource that is added after close', async () => {
    const lifeCycle = new LifeCycle();
    await lifeCycle.close();
    let isClosed = false;
    lifeCycle.own('late', 1, () => {
      isClosed = true;
    });
    expect([isClosed, lifeCycle.isClosed]).to.deep.equal([true, true]);
  });
});
