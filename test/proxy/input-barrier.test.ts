/** Guards against requests that are held for long, or not at all, by a process that is late. */
import { expect } from 'chai';
import { CHECK_INTERVAL_MS } from '../../src/clock/shared-interval.js';
import { InputBarrier } from '../../src/proxy/input-barrier.js';

const SHORT_MS = 1;
const LONG_MS = 300;

describe('the barrier in front of unread input', () => {
  let nowMs: number;
  let afterPoll: (() => void)[];
  let polls: number;
  let barrier: InputBarrier;
  let ran: string[];

  beforeEach(() => {
    nowMs = 0;
    afterPoll = [];
    polls = 0;
    ran = [];
    barrier = new InputBarrier(
      () => nowMs,
      (action) => afterPoll.push(action),
    );
  });

  /** Polls the sockets once, which takes `takesMs`. */
  function poll(takesMs = SHORT_MS): void {
    nowMs += takesMs;
    polls += 1;
    afterPoll.splice(0).forEach((action) => action());
  }

  function pass(name: string, runsForMs = 0): void {
    barrier.pass(() => {
      ran.push(`${name} ${polls}`);
      nowMs += runsForMs;
    });
  }

  it('does not hold an action back while the process is on time, and costs no iteration', () => {
    for (let idx = 0; idx < 20; idx += 1) {
      nowMs += CHECK_INTERVAL_MS;
      barrier.check();
      nowMs += 20;
      pass('a');
    }
    expect(ran).to.have.length(20);
    expect(afterPoll).to.have.length(0);
  });

  it('runs an action of a late process after a full poll', () => {
    nowMs = 1_000;
    pass('a');
    poll();
    expect(ran).to.deep.equal([]);
    poll();
    expect(ran).to.deep.equal(['a 2']);
  });

  it('holds actions back until connections that were accepted late have been read', () => {
    nowMs = 1_000;
    barrier.check();
    poll();
    poll();
    pass('read from an accepted connection');
    expect(ran).to.deep.equal([]);
    poll();
    poll();
    expect(ran).to.have.length(1);
  });

  it('stays late while connections that had waited are accepted one at a time', () => {
    nowMs = 1_000;
    barrier.check();
    for (let idx = 0; idx < 20; idx += 1) {
      poll();
      barrier.connectionAccepted();
    }
    pass('a');
    expect(ran).to.deep.equal([]);
    poll();
    poll();
    expect(ran).to.have.length(1);
  });

  it('polls again if the process lost time during the poll, and runs the action after three', () => {
    nowMs = 1_000;
    pass('a');
    poll();
    poll(LONG_MS);
    expect(ran).to.deep.equal([]);
    poll(LONG_MS);
    poll(LONG_MS);
    expect(ran).to.deep.equal(['a 4']);
  });

  it('polls between batches of actions that take long, and keeps their order', () => {
    nowMs = 1_000;
    ['a', 'b', 'c'].forEach((name) => pass(name, 40));
    for (let idx = 0; idx < 4; idx += 1) {
      poll();
    }
    expect(ran).to.deep.equal(['a 2', 'b 2', 'c 3']);
  });

  it('lets actions pass again once the process has caught up', () => {
    nowMs = 1_000;
    barrier.check();
    pass('a');
    while (afterPoll.length > 0) {
      poll();
    }
    pass('b');
    expect([ran.length, barrier.maxUnreadMs]).to.deep.equal([2, 0]);
  });
});
