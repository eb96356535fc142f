/** Guards against a request that reached no endpoint being refused only once its deadline has passed. */
import { expect } from 'chai';
import { RequestExpiry } from '../../src/proxy/request-expiry.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';

const DEADLINE_MS = 1_500;

describe('the end of the time of a request', () => {
  it('is announced once before the deadline, and reported at the deadline', () => {
    const clock = new VirtualScheduler();
    const events: string[] = [];
    new RequestExpiry({
      scheduler: {
        now: () => clock.nowMs,
        schedule: (delayMs, run) => {
          clock.schedule(clock.nowMs + delayMs, { run });
          return () => undefined;
        },
      },
      deadlineAtMs: DEADLINE_MS,
      onExpiring: () => events.push(`expiring ${clock.nowMs}`),
      onExpired: () => events.push(`expired ${clock.nowMs}`),
    });
    clock.runUntil(2 * DEADLINE_MS);
    expect(events).to.deep.equal(['expiring 1470', 'expired 1500']);
  });
});
