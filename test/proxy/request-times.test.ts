/** Times of late requests by place. */
import { expect } from 'chai';
import { LateAnswers } from '../../src/proxy/late-answers.js';
import { longestPlace, requestTimes, totalMs } from '../../src/proxy/request-times.js';

const REQUEST = {
  firstArrivedAtMs: 1_000,
  startedAtMs: 1_400,
  unreadMs: 30,
  attemptStartedAtMs: 1_450,
  answeredAtMs: 1_750,
  endedAtMs: 1_760,
  nodeTimes: { bodyMs: 10, queueMs: 90, endpointMs: 150 },
};

describe('times of a request', () => {
  it('cover the time since the first try, each moment once', () => {
    const times = requestTimes(REQUEST);
    expect(times).to.deep.equal({
      'earlier-tries': 370,
      unread: 30,
      'earlier-attempts': 50,
      transit: 50,
      body: 10,
      queue: 90,
      endpoint: 150,
      answer: 10,
    });
    expect(totalMs(times)).to.equal(REQUEST.endedAtMs - REQUEST.firstArrivedAtMs);
    expect(longestPlace(times)).to.equal('earlier-tries');
  });

  it('leave an attempt whose node reports no times in transit', () => {
    const times = requestTimes({ ...REQUEST, nodeTimes: undefined });
    expect(times.transit).to.equal(300);
    expect(totalMs(times)).to.equal(760);
  });
});

describe('late answers', () => {
  it('add up by service and place', () => {
    const late = new LateAnswers();
    late.record('maps', requestTimes(REQUEST));
    late.record('maps', requestTimes({ ...REQUEST, firstArrivedAtMs: 1_370 }));
    const totals = [...late.totals()];
    const totalOf = (place: string) => totals.find((total) => total.place === place);
    expect(totalOf('earlier-tries')).to.include({ service: 'maps', count: 1, ms: 370 });
    expect(totalOf('endpoint')).to.include({ count: 1, ms: 300 });
    expect(totalOf('queue')).to.include({ count: 0, ms: 180 });
  });

  it('are bounded in the number of services', () => {
    const late = new LateAnswers();
    for (let number = 0; number < 1_000; number += 1) {
      late.record(`service-${number}`, requestTimes(REQUEST));
    }
    expect([...late.totals()].length).to.equal(200 * 8);
  });
});
