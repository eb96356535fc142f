/** Decisions on waiting: at the caller's node, and at the owner of an endpoint. */
import { expect } from 'chai';
import { SlotOutlook } from '../../../src/admission/slot-outlook.js';
import { OFFER_HOLD_MS, SlotWaiters } from '../../../src/admission/slot-waiters.js';
import { CapacityOutlook } from '../../../src/proxy/waiting/capacity-outlook.js';
import {
  latestWaitEndMs,
  mayWait,
  remainingWaitMs,
  retryDelayMs,
  type WaitingFacts,
} from '../../../src/proxy/waiting/waiting-decision.js';
import {
  WaitingRequests,
  type WaitingRequest,
} from '../../../src/proxy/waiting/waiting-requests.js';

const FACTS: WaitingFacts = {
  timeLeftMs: 1_000,
  ownersWaitMs: 100,
  waitingCount: 10,
  offerWaitMs: 100,
  isOffered: true,
};

describe('the decision to wait', () => {
  // Guards against requests that are held although they can't be served in time.
  const cases: readonly { name: string; facts: Partial<WaitingFacts>; waits: boolean }[] = [
    { name: 'is taken if all estimates are well within the time left', facts: {}, waits: true },
    { name: 'is not if no owner offers slots', facts: { ownersWaitMs: undefined }, waits: false },
    { name: 'is not by a long wait that owners state', facts: { ownersWaitMs: 900 }, waits: false },
    { name: 'is not by the rate of offers', facts: { offerWaitMs: 900 }, waits: false },
    {
      name: 'is not behind another without recent offers',
      facts: { isOffered: false, waitingCount: 1 },
      waits: false,
    },
    {
      name: 'is taken by one without recent offers',
      facts: { isOffered: false, waitingCount: 0 },
      waits: true,
    },
    { name: 'is not without time left', facts: { timeLeftMs: -1, ownersWaitMs: 0 }, waits: false },
  ];
  for (const { name, facts, waits } of cases) {
    it(name, () => expect(mayWait({ ...FACTS, ...facts })).to.equal(waits));
  }

  it('needs a time-out well above the target latency', () => {
    const times = { startedAtMs: 0, targetLatencyMs: 480, serviceMs: 100 };
    expect(latestWaitEndMs({ ...times, deadlineAtMs: 900 })).to.equal(undefined);
    expect(latestWaitEndMs({ ...times, deadlineAtMs: 1_500 })).to.be.within(1_200, 1_400);
    const untargeted = { ...times, targetLatencyMs: undefined, deadlineAtMs: 1_500 };
    expect(latestWaitEndMs(untargeted)).to.equal(undefined);
  });
});

describe('a request that waits without an offer', () => {
  // Guards against requests that are held for long by a short wait that owners promised.
  it('asks another endpoint soon after the expected wait, and within half of its time', () => {
    expect(retryDelayMs({ ...FACTS, offerWaitMs: 0, ownersWaitMs: 10 })).to.be.within(100, 200);
    expect(retryDelayMs(FACTS)).to.be.within(200, 400);
    expect(retryDelayMs({ ...FACTS, ownersWaitMs: 600 })).to.equal(500);
  });

  it('expects to wait as long again once a stated wait has proved too short', () => {
    const stated = { statedAtMs: 1_000, waitMs: 100 };
    expect(remainingWaitMs(stated, 1_040)).to.equal(60);
    expect(remainingWaitMs(stated, 1_300)).to.equal(300);
  });
});

describe('the requests that wait at a node', () => {
  function request(name: string, rank: number, firstArrivedAtMs: number): WaitingRequest {
    const resume = (): boolean => (taken.push(name), true);
    return { service: 's', rank, firstArrivedAtMs, bodyBytes: 10, resume, refuse: () => undefined };
  }
  let taken: string[];
  beforeEach(() => (taken = []));

  // Guards against callers that came first but are served last.
  it('get offered slots by rank, then by the first arrival of their callers', () => {
    const waiting = new WaitingRequests({ maxWaitingRequests: 8, maxWaitingBytes: 1_000 });
    const added = [request('late', 9, 1), request('young', 2, 30), request('old', 2, 20)];
    const leaves = added.map((one) => ({ one, leave: waiting.add(one, 40) }));
    const offer = { offerId: 1, service: 's', endpoint: 'e1' };
    for (const name of ['old', 'young', 'late']) {
      expect(waiting.useOffer(offer, 50)).to.equal(true);
      expect(taken.at(-1)).to.equal(name);
      leaves.find(({ one }) => one === added[['late', 'young', 'old'].indexOf(name)])?.leave(50);
    }
    expect(waiting.useOffer(offer, 50)).to.equal(false);
    expect(waiting.size).to.equal(0);
  });

  it('are bounded by count and bytes', () => {
    const waiting = new WaitingRequests({ maxWaitingRequests: 2, maxWaitingBytes: 25 });
    waiting.add(request('a', 0, 0), 0);
    expect(waiting.hasRoomFor(16)).to.equal(false);
    expect(waiting.hasRoomFor(15)).to.equal(true);
    waiting.add(request('b', 0, 0), 0);
    expect(waiting.hasRoomFor(0)).to.equal(false);
  });
});

describe('the nodes that wait for a slot of an endpoint', () => {
  const [near, far] = [{ name: 'near' }, { name: 'far' }];

  function register(waiters: SlotWaiters<object>, node: object, rank = 1): boolean {
    return waiters.register({ node, requestId: 'r', rank, expiresAtMs: 1_000 }, 0);
  }

  // Guards against a node with many requests that gets all slots.
  it('are offered slots by rank, and in turn within a rank', () => {
    const waiters = new SlotWaiters<object>();
    register(waiters, near);
    register(waiters, near);
    register(waiters, far);
    register(waiters, far, 0);
    expect(waiters.offer(4, 0).map(({ node }) => node)).to.deep.equal([far, near, far, near]);
  });

  it('are offered no more slots than are free, and the next one after an offer has expired', () => {
    const waiters = new SlotWaiters<object>();
    [near, near, far].forEach((node) => register(waiters, node));
    const [first] = waiters.offer(1, 0);
    expect(first?.node).to.equal(near);
    expect(waiters.offer(1, OFFER_HOLD_MS - 1)).to.deep.equal([]);
    expect(waiters.offer(1, OFFER_HOLD_MS).map(({ node }) => node)).to.deep.equal([far]);
    expect(waiters.accept(first?.offerId ?? 0, OFFER_HOLD_MS)).to.equal(false);
    expect(waiters.takeExpiredCount()).to.equal(1);
  });

  it('are forgotten when they decline, expire or disconnect', () => {
    const waiters = new SlotWaiters<object>();
    [near, near, far].forEach((node) => register(waiters, node));
    const [offer] = waiters.offer(1, 0);
    waiters.decline(offer?.offerId ?? 0, far, 0);
    expect(waiters.offer(1, 0), 'declined by another node').to.deep.equal([]);
    waiters.decline(offer?.offerId ?? 0, near, 0);
    expect(waiters.offer(1, 0).map(({ node }) => node)).to.deep.equal([far]);
    register(waiters, near);
    waiters.removeNode(near, 0);
    expect(waiters.offer(9, 0)).to.deep.equal([]);
    register(waiters, near);
    expect(waiters.offer(9, 1_000)).to.deep.equal([]);
  });

  // Guards against a request that is forgotten since its node declined an offer while it was being refused again.
  it('stay registered if they were registered after the offer that their node declines', () => {
    const waiters = new SlotWaiters<object>();
    register(waiters, near);
    const [offer] = waiters.offer(1, 0);
    expect(waiters.openOfferTo(near, 0)).to.equal(offer?.offerId);
    register(waiters, near);
    waiters.decline(offer?.offerId ?? 0, near, 0);
    expect(waiters.offer(1, 0).map(({ node }) => node)).to.deep.equal([near]);
  });

  it('are bounded in number', () => {
    const waiters = new SlotWaiters<object>();
    for (let count = 0; count < 64; count += 1) {
      expect(register(waiters, near)).to.equal(true);
    }
    expect(register(waiters, far)).to.equal(false);
  });

  // Guards against an estimate that promises room under a load that stays too high.
  it('are told a wait that grows with those ahead and with the time without a free slot', () => {
    const waiters = new SlotWaiters<object>();
    register(waiters, near);
    expect(waiters.expectedWaitMs(1, 900)).to.equal(900);
    const [offer] = waiters.offer(1, 900);
    waiters.accept(offer?.offerId ?? 0, 900);
    const alone = waiters.expectedWaitMs(1, 900);
    register(waiters, far);
    expect(waiters.expectedWaitMs(1, 900)).to.be.above(alone);
  });
});

describe('the outlook for slots', () => {
  it('follows the rate at which there were some', () => {
    const outlook = new SlotOutlook();
    outlook.waitingBegan(0);
    for (let atMs = 0; atMs <= 4_000; atMs += 50) {
      outlook.slotFreed(atMs);
    }
    expect(outlook.expectedWaitMs(0, 4_000)).to.be.closeTo(50, 10);
    expect(outlook.expectedWaitMs(9, 4_000)).to.be.closeTo(500, 100);
  });
});

describe('the outlook for refused callers', () => {
  // Guards against callers that come back several times within the same burst.
  it('is a second at least once most requests were refused for a moment, and as today before', () => {
    const outlook = new CapacityOutlook();
    const refuse = (atMs: number): void => outlook.record('all', false, atMs);
    refuse(0);
    expect(outlook.roomInMs('all', 0)).to.equal(0);
    for (let atMs = 20; atMs <= 2_000; atMs += 20) {
      refuse(atMs);
    }
    expect(outlook.roomInMs('all', 200)).to.equal(0);
    expect(outlook.roomInMs('all', 500)).to.equal(1_000);
    expect(outlook.roomInMs('all', 2_000)).to.be.within(1_900, 2_000);
  });

  it('is over once most requests are answered', () => {
    const outlook = new CapacityOutlook();
    for (let atMs = 0; atMs <= 500; atMs += 20) {
      outlook.record('all', false, atMs);
    }
    for (let atMs = 500; atMs <= 2_500; atMs += 20) {
      outlook.record('all', true, atMs);
    }
    expect(outlook.roomInMs('all', 2_500)).to.equal(0);
  });
});
