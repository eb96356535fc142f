/** Guards against `may-have-run` for a request whose refusal had arrived, unread, when its deadline passed. */
import { expect } from 'chai';
import type { EndpointPath } from '../../src/proxy/call.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { CannotFinishInTimeError } from '../../src/proxy/request-error.js';
import { RequestRunner } from '../../src/proxy/request-runner.js';
import { VirtualProcess } from '../../tools/emulator/virtual-process.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { echoSnapshot, loneNodeServices, matchOf } from './lone-node.js';

const DEADLINE_MS = 1_500;
const LATENESS_MS = 50;

/** What the caller is told by a process that reads everything {@link LATENESS_MS} late, if a refusal is unread. */
function toldAfter(hasUnreadRefusal: boolean): string[] {
  const clock = new VirtualScheduler();
  const scheduler = new VirtualProcess(clock);
  const told: string[] = [];
  const path: EndpointPath = {
    submit: (_endpoint, _call, observer) => {
      if (hasUnreadRefusal) {
        const refusal = new CannotFinishInTimeError('no slot became free in time', 200);
        scheduler.schedule(DEADLINE_MS + LATENESS_MS / 2, () => observer.failed(refusal));
      }
      return { abort: () => undefined, isUnsent: () => false };
    },
  };
  const services = loneNodeServices(scheduler, path, {
    whenInputRead: (action) => scheduler.schedule(LATENESS_MS, action),
  });
  const snapshot = echoSnapshot(400, ['e1']);
  const runner = new RequestRunner({
    services,
    snapshot,
    match: matchOf(snapshot, '/a'),
    method: 'POST',
    target: '/a',
    headers: [],
    retries: undefined,
    response: {
      answer: () => undefined,
      fail: ({ code }, verdict) => told.push(`${code} ${verdict}`),
      breakConnection: () => undefined,
      hasBegun: () => false,
      onClose: () => undefined,
    },
    requestId: 'r1',
    attemptPrefix: 'r1',
    deadlineAtMs: DEADLINE_MS,
  });
  runner.start(EMPTY_BODY);
  clock.runUntil(2 * DEADLINE_MS);
  return told;
}

describe('a deadline that passes on a late process', () => {
  it('leaves the request as not run if its refusal had arrived', () => {
    expect(toldAfter(true)).to.deep.equal(['CANNOT_FINISH_IN_TIME not-run']);
  });

  it('ends a request without a refusal as one that may have run', () => {
    expect(toldAfter(false)).to.deep.equal(['TIMED_OUT may-have-run']);
  });
});
