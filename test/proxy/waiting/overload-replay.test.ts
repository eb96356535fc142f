/** Replay of overload against several nodes and their endpoints: a burst of seconds, and a load that stays too high. */
import { expect } from 'chai';
import { OverloadedFleet, outcomeOf, type Outcome } from './overloaded-fleet.js';

const NODE_COUNT = 12;
const SEED = 7;
const NORMAL_LOAD = 0.5;
const BURST_LOAD = 2;
const BURST = { fromMs: 2_000, untilMs: 5_000 };
const END_MS = 9_000;
/** Time after the last arrival after which every request is over, in milliseconds. */
const SETTLE_MS = 3_500;
const OVERLOAD = { factor: 1.5, fromMs: 3_000, untilMs: 10_000 };
/** Highest share of callers whose tries are held and then refused, in a burst and under a load that stays. */
const MAX_HELD_IN_BURST = 0.03;
const MAX_HELD_ALL_DAY = 0.002;

interface Replay {
  readonly fleet: OverloadedFleet;
  readonly outcome: Outcome;
}

function newFleet(maxWaitingRequests: number): OverloadedFleet {
  return new OverloadedFleet({ nodeCount: NODE_COUNT, seed: SEED, limits: { maxWaitingRequests } });
}

function replayBurst(maxWaitingRequests: number): Replay {
  const fleet = newFleet(maxWaitingRequests);
  fleet.load(0, BURST.fromMs, NORMAL_LOAD);
  fleet.load(BURST.fromMs, BURST.untilMs, BURST_LOAD);
  fleet.load(BURST.untilMs, END_MS, NORMAL_LOAD);
  fleet.clock.runUntil(END_MS + SETTLE_MS);
  return { fleet, outcome: outcomeOf(fleet, BURST.fromMs, BURST.untilMs) };
}

function replayOverload(maxWaitingRequests: number): Replay {
  const fleet = newFleet(maxWaitingRequests);
  fleet.load(0, OVERLOAD.untilMs, OVERLOAD.factor);
  fleet.clock.runUntil(OVERLOAD.untilMs + SETTLE_MS);
  return { fleet, outcome: outcomeOf(fleet, OVERLOAD.fromMs, OVERLOAD.untilMs) };
}

describe('requests in a burst of twice the capacity', () => {
  // Guards against callers that use up their tries within the burst while slots are unused right after it.
  it('are served more often with waiting, for fewer tries, and hardly any is held in vain', () => {
    const before = replayBurst(0).outcome;
    const { fleet, outcome } = replayBurst(64);
    expect(outcome.served).to.be.above(before.served + 0.08);
    expect(outcome.inTime).to.be.above(before.inTime - 0.03);
    expect(outcome.triesPerCaller).to.be.below(before.triesPerCaller);
    expect(outcome.heldInVain).to.be.below(MAX_HELD_IN_BURST);
    expect(fleet.counter('ferryspool_waiting_served_total')).to.be.above(0);
  });

  // Guards against a request that runs for two of its attempts, or that nobody answers.
  it('run once for each answer and are all answered or refused', () => {
    const { fleet } = replayBurst(64);
    const tries = fleet.callers.flatMap((caller) => caller.tries);
    const answered = tries.filter(({ verdict }) => verdict === 'answered');
    expect(fleet.runs).to.have.length(answered.length);
    expect(tries.filter(({ verdict }) => verdict === 'pending')).to.deep.equal([]);
    expect(fleet.nodes.map(({ services }) => services.waiting.size)).to.deep.equal(
      fleet.nodes.map(() => 0),
    );
  });
});

describe('requests under a load that stays above the capacity', () => {
  // Guards against requests that are held although no room will come.
  it('are refused at once, as without waiting', () => {
    const before = replayOverload(0).outcome;
    const { outcome } = replayOverload(64);
    expect(outcome.heldInVain).to.be.below(MAX_HELD_ALL_DAY);
    expect(outcome.inTime).to.be.above(before.inTime - 0.02);
    expect(outcome.served).to.be.above(before.served - 0.02);
    expect(outcome.triesPerCaller).to.be.below(before.triesPerCaller);
  });
});
