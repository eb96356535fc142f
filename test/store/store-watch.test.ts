/** Sequence of calls to the store: pages, watches, lost history, failures. */
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
  it('starts with a list', () => {
    const first: StoreCall = {
      type: 'list',
      afterKey: undefined,
      freshness: 'lagging',
      delayMs: 0,
    };
    expect(new StoreWatch(() => 0.5).start()).to.deep.equal(first);
  });

  it('requests the page after the last key, then watches from the revision of the first page', () => {
    const watch = new StoreWatch(() => 0.5);
    const { call, update } = watch.handleAnswer(page(10, 'a', true));
    expect(call).to.deep.include({ type: 'list', afterKey: 'a', delayMs: 0 });
    expect(update).to.equal(undefined);
    const last = watch.handleAnswer(page(12, 'b'));
    expect(last.call).to.deep.equal({ type: 'watch', afterRevision: 10, delayMs: 0 });
    expect(last.update).to.deep.include({ type: 'list', revision: 10 });
  });

  it('watches from the received revision after a delay that batches changes', () => {
    const { call, update } = listed().handleAnswer(changes(11, [ITEM]));
    expect(call).to.deep.include({ type: 'watch', afterRevision: 11 });
    expect(call.delayMs).to.be.greaterThan(0);
    expect(update).to.deep.include({ type: 'changes', revision: 11 });
  });

  it('watches again immediately if nothing changed, and never from an older revision', () => {
    const { call } = listed(10).handleAnswer(changes(8, []));
    expect(call).to.deep.equal({ type: 'watch', afterRevision: 10, delayMs: 0 });
  });

  it('lists again with current freshness when the history is lost', () => {
    const { call } = listed().handleAnswer({ outcome: 'history-lost' });
    expect(call).to.deep.equal({
      type: 'list',
      afterKey: undefined,
      freshness: 'current',
      delayMs: 0,
    });
  });

  it('watches from the lowest page revision of a list whose pages lag by different times', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call, update } = watch.handleAnswer(page(7, 'b'));
    expect(call).to.deep.include({ type: 'watch', afterRevision: 7 });
    expect(update).to.deep.include({ type: 'list', revision: 7 });
  });

  it('discards a list whose pages span two eras, and lists again with current freshness', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call, update } = watch.handleAnswer(page(revisionOf(1, 7), 'b'));
    expect(call).to.deep.include({ type: 'list', afterKey: undefined, freshness: 'current' });
    expect(update).to.equal(undefined);
    const { update: next } = watch.handleAnswer(page(revisionOf(1, 7), 'a'));
    expect(next).to.have.property('items').with.length(1);
  });

  it('resumes after a pause from the revision that the replica has reached', () => {
    expect(listed(10).resume(25)).to.deep.equal({ type: 'watch', afterRevision: 25, delayMs: 0 });
    expect(listed(10).resume(4)).to.deep.include({ type: 'watch', afterRevision: 10 });
    expect(new StoreWatch(() => 0.5).resume(4)).to.deep.include({ type: 'list' });
  });

  it('repeats a page that failed, and keeps the pages before it with the revision of the first', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call } = watch.handleAnswer(UNAVAILABLE);
    expect(call).to.deep.include({ type: 'list', afterKey: 'a' });
    expect(call.delayMs).to.be.greaterThan(0);
    const { call: next, update } = watch.handleAnswer(page(20, 'b'));
    expect(update).to.deep.include({ revision: 10 });
    expect(update).to.have.property('items').with.length(2);
    expect(next).to.deep.include({ type: 'watch', afterRevision: 10 });
  });

  it('restarts a list whose page fails for seconds, since its pages are old by then', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const calls = Array.from({ length: 9 }, () => watch.handleAnswer(UNAVAILABLE).call);
    expect(calls.at(-1)).to.deep.include({ type: 'list', afterKey: undefined });
    const { update } = watch.handleAnswer(page(20, 'b'));
    expect(update).to.deep.include({ revision: 20 });
    expect(update).to.have.property('items').with.length(1);
  });

  it('lists after a watch whose answer is too large, in place of asking for the same answer again', () => {
    const watch = listed();
    const { call } = watch.handleAnswer({ ...UNAVAILABLE, isTooLarge: true });
    expect(call).to.deep.include({ type: 'list', afterKey: undefined, freshness: 'current' });
    expect(call.delayMs).to.be.greaterThan(0);
  });

  it('backs off up to a limit while the store fails, and is connected again after an answer', () => {
    const watch = listed();
    const delays = Array.from({ length: 8 }, () => watch.handleAnswer(UNAVAILABLE).call.delayMs);
    expect(delays[0]).to.be.within(50, 100);
    expect(delays[1]).to.be.greaterThan(delays[0] ?? 0);
    expect(Math.max(...delays)).to.be.at.most(800);
    expect(watch.isConnected).to.equal(false);
    watch.handleAnswer(changes(11, []));
    expect(watch.isConnected).to.equal(true);
  });

  it('counts a page that makes no progress as a failure, so that every list ends', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'a', true));
    const { call, update } = watch.handleAnswer(page(10, 'a', true));
    expect(call).to.deep.include({ type: 'list', afterKey: undefined });
    expect(call.delayMs).to.be.greaterThan(0);
    expect(update).to.equal(undefined);
  });

  it('counts a page that has a next page but no key as a failure', () => {
    const watch = new StoreWatch(() => 0.5);
    const empty: StoreAnswer = { ...page(10, 'a', true), items: [] } as StoreAnswer;
    const { call, update } = watch.handleAnswer(empty);
    expect(call).to.deep.include({ type: 'list', afterKey: undefined });
    expect(call.delayMs).to.be.greaterThan(0);
    expect(update).to.equal(undefined);
  });

  it('counts a page whose keys were listed before as a failure', () => {
    const watch = new StoreWatch(() => 0.5);
    watch.handleAnswer(page(10, 'b', true));
    const { call, update } = watch.handleAnswer(page(10, 'a', true));
    expect(call).to.deep.include({ type: 'list', afterKey: undefined });
    expect(call.delayMs).to.be.greaterThan(0);
    expect(update).to.equal(undefined);
  });

  it('continues a list of any number of pages while its keys grow in the order of their bytes', () => {
    const watch = new StoreWatch(() => 0.5);
    const keys = Array.from({ length: 5_000 }, (_, index) => `key ${10_000 + index}`);
    // By code units, the second of these two would precede the first.
    keys.push('l \uffee', 'l \u{1f600}');
    for (const key of keys) {
      const { call } = watch.handleAnswer(page(10, key, true));
      expect(call).to.deep.include({ type: 'list', afterKey: key, delayMs: 0 });
    }
    const { update } = watch.handleAnswer(page(10, 'z'));
    expect(update)
      .to.have.property('items')
      .with.length(keys.length + 1);
  });
});
