/** What a node asks of the store next: pages, watches, lost history, failures. */
import { expect } from 'chai';
import type { StoreChange } from '../../src/store/key-value-store.js';
import { revisionOf } from '../../src/store/store-revision.js';
import { StoreWatch, type StoreAnswer, type StoreCall } from '../../src/store/store-watch.js';

const ITEM: StoreChange = { key: 'a', revision: 4, value: '1' };
const UNAVAILABLE: StoreAnswer = { outcome: 'unavailable', reason: 'status 503' };

function page(revision: number, key: string, hasMore = false): StoreAnswer {
  return { outcome: 'page', items: [{ key, revision, value: key }], hasMore, revision };
}

function changes(revision: number, items: readonly StoreChange[]): StoreAnswer {
  return { outcome: 'changes', changes: items, revision };
}

function listed(revision = 10): StoreWatch {
  const watch = new StoreWatch(() => 0.5);
  watch.handleAnswer(page(revision, 'a'));
  return watch;
}

describe('list and watch of a store', () => {
  it('begins with a list', () => {
    const first: StoreCall = {
      type: 'list',
      afterKey: undefined,
      freshness: 'lagging',
      delayMs: 0,
    };
    expect(new StoreWatch(() => 0.5).start()).to.deep.equal(first);
  });

  it('goes on after the last key, and watches from the first page on', () => {
    const watch = new StoreWatch(() => 0.5);
    const { call, update: learning } = watch.handleAnswer(page(10, 'a', true));
    expect(call).to.deep.include({ type: 'list', afterKey: 'a', delayMs: 0 });
    expect(learning).to.equal(undefined);
    const last = watch.handleAnswer(page(12, 'b'));
    expect(last.call).to.deep.equal({ type: 'watch', afterRevision: 10, delayMs: 0 });
    expect(last.update).to.deep.include({ type: 'list', revision: 10 });
  });

  it('watches on from what it was told, after a pause in which changes gather', () => {
    const { call, update: learning } = listed().handleAnswer(changes(11, [ITEM]));
    expect(call).to.deep.include({ type: 'watch', afterRevision: 11 });
    expect(call.delayMs).to.be.greaterThan(0);
    expect(learning).to.deep.include({ type: 'changes', revision: 11 });
  });

  it('watches at once again when nothing changed, and never from an older revision', () => {
    const { call } = listed(10).handleAnswer(changes(8, []));
    expect(call).to.deep.equal({ type: 'watch', afterRevision: 10, delayMs: 0 });
  });

  it('lists again when the history is lost, now all that the store has acknowledged', () => {
    const { call } = listed().handleAnswer({ outcome: 'history-lost' });
    expect(call).to.deep.equal({
      type: 'list',
      afterKey: undefined,
      freshness: 'current',
      delayMs: 0,
    });
  });

  it('watches from the oldest page of a list whose pages lag by different times', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call, update: learning } = watch.handleAnswer(page(7, 'b'));
    expect(call).to.deep.include({ type: 'watch', afterRevision: 7 });
    expect(learning).to.deep.include({ type: 'list', revision: 7 });
  });

  it('discards a list whose pages span two eras, and lists again with current freshness', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call, update: learning } = watch.handleAnswer(page(revisionOf(1, 7), 'b'));
    expect(call).to.deep.include({ type: 'list', afterKey: undefined, freshness: 'current' });
    expect(learning).to.equal(undefined);
    const { update: next } = watch.handleAnswer(page(revisionOf(1, 7), 'a'));
    expect(next).to.have.property('items').with.length(1);
  });

  it('goes on after a pause from what the replica learned meanwhile', () => {
    expect(listed(10).resume(25)).to.deep.equal({ type: 'watch', afterRevision: 25, delayMs: 0 });
    expect(listed(10).resume(4)).to.deep.include({ type: 'watch', afterRevision: 10 });
    expect(new StoreWatch(() => 0.5).resume(4)).to.deep.include({ type: 'list' });
  });

  it('begins a list anew when one of its pages fails', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call } = watch.handleAnswer(UNAVAILABLE);
    expect(call).to.deep.include({ type: 'list', afterKey: undefined });
    const { update: learning } = watch.handleAnswer(page(20, 'b'));
    expect(learning).to.deep.include({ revision: 20 });
    expect(learning).to.have.property('items').with.length(1);
  });

  it('backs off while the store fails, within a bound, and is connected again with an answer', () => {
    const watch = listed();
    const delays = Array.from({ length: 8 }, () => watch.handleAnswer(UNAVAILABLE).call.delayMs);
    expect(delays[0]).to.be.within(50, 100);
    expect(delays[1]).to.be.greaterThan(delays[0] ?? 0);
    expect(Math.max(...delays)).to.be.at.most(800);
    expect(watch.isConnected).to.equal(false);
    watch.handleAnswer(changes(11, []));
    expect(watch.isConnected).to.equal(true);
  });

  it('counts a page that leads nowhere as a failure, so that no list goes on for ever', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call, update: learning } = watch.handleAnswer(page(10, 'a', true));
    expect(call).to.deep.include({ type: 'list', afterKey: undefined });
    expect(call.delayMs).to.be.greaterThan(0);
    expect(learning).to.equal(undefined);
  });

  it('counts a page without a key that promises another one as a failure', () => {
    const watch = new StoreWatch(() => 0.5);
    const empty: StoreAnswer = { ...page(10, 'a', true), items: [] } as StoreAnswer;
    const { call, update: learning } = watch.handleAnswer(empty);
    expect(call).to.deep.include({ type: 'list', afterKey: undefined });
    expect(call.delayMs).to.be.greaterThan(0);
    expect(learning).to.equal(undefined);
  });

  it('gives a list up that has more pages than a store can hold', () => {
    const watch = new StoreWatch(() => 0.5);
    let delayMs = 0;
    for (let count = 0; count < 10_000 && delayMs === 0; count += 1) {
      ({ delayMs } = watch.handleAnswer(page(10, `key ${count}`, true)).call);
    }
    expect(delayMs).to.be.greaterThan(0);
  });
});
