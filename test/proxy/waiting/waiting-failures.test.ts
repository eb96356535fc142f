/** One failure at a time for a request that waits at its caller's node. */
import { expect } from 'chai';
import {
  OverloadedFleet,
  ROUTE_TIME_OUT_MS,
  SLOTS,
  type CallerRecord,
  type FleetNode,
  type TryRecord,
} from './overloaded-fleet.js';

/** Requests that occupy the slots and the queues of both endpoints, with a margin. */
const OCCUPYING_COUNT = SLOTS * 2 * 2 + 4;

interface WaitingScene {
  readonly fleet: OverloadedFleet;
  readonly node: FleetNode;
  /** The callers whose requests wait. */
  readonly waiting: readonly CallerRecord[];
}

/** Two nodes whose endpoints are busy, so that requests wait at the first node. */
function waitAtFirstNode(change: (fleet: OverloadedFleet) => void = () => undefined): WaitingScene {
  const fleet = new OverloadedFleet({ nodeCount: 2, seed: 3 });
  change(fleet);
  const [node] = fleet.nodes as [FleetNode];
  for (let count = 0; count < OCCUPYING_COUNT; count += 1) {
    fleet.arrive(node);
  }
  for (let atMs = 1; node.services.waiting.size === 0 && atMs < 500; atMs += 1) {
    fleet.clock.runUntil(atMs);
  }
  expect(node.services.waiting.size, 'requests wait').to.be.above(0);
  const waiting = fleet.callers.filter(({ tries }) => tries.at(-1)?.verdict === 'pending');
  return { fleet, node, waiting };
}

function lastTries(callers: readonly CallerRecord[]): TryRecord[] {
  return callers.flatMap(({ tries }) => tries.slice(-1));
}

function triesOf({ callers }: OverloadedFleet): TryRecord[] {
  return callers.flatMap(({ tries }) => tries);
}

/** Every try was answered, or refused as not run with time to spare. */
function expectTrueEnds(fleet: OverloadedFleet): void {
  for (const { verdict, startedAtMs, endedAtMs } of triesOf(fleet)) {
    expect(verdict).to.be.oneOf(['answered', 'not-run']);
    expect(endedAtMs - startedAtMs).to.be.below(ROUTE_TIME_OUT_MS - 60);
  }
  const answeredCount = triesOf(fleet).filter(({ verdict }) => verdict === 'answered').length;
  expect(fleet.runs).to.have.length(answeredCount);
}

describe('a request that waits for a slot', () => {
  it('is served once a slot is offered to its node', () => {
    const { fleet, node, waiting } = waitAtFirstNode();
    fleet.clock.runUntil(5_000);
    expect(lastTries(waiting).map(({ verdict }) => verdict)).to.include('answered');
    expect(fleet.counter('ferryspool_waiting_served_total')).to.be.above(0);
    expect(node.services.waiting.size).to.equal(0);
    expectTrueEnds(fleet);
  });

  // Guards against a request that waits until its deadline for an owner that has ended.
  it('is served elsewhere or refused in time if offers are lost', () => {
    const { fleet, node } = waitAtFirstNode((changed) => (changed.losesOffers = true));
    fleet.clock.runUntil(5_000);
    expect(node.services.waiting.size).to.equal(0);
    expectTrueEnds(fleet);
  });

  // Guards against an offer whose slot has been given away, but that is taken for a promise.
  it('is sent like any other for an offer that comes late', () => {
    const { fleet, node } = waitAtFirstNode((changed) => (changed.offerDelayMs = 200));
    fleet.clock.runUntil(5_000);
    expect(node.services.waiting.size).to.equal(0);
    expectTrueEnds(fleet);
  });

  it('is served elsewhere or refused in time if the other node is cut off', () => {
    const { fleet, node } = waitAtFirstNode();
    fleet.unreachable.add('n1');
    fleet.clock.runUntil(5_000);
    expect(node.services.waiting.size).to.equal(0);
    // Requests that were on their way to the node may have run there.
    for (const { verdict } of lastTries(fleet.callers)) {
      expect(verdict).to.not.equal('pending');
    }
  });

  // Guards against callers that learn of a planned stop only when it ends.
  it('is refused at once, as not run, when its node stops', () => {
    const { fleet, node, waiting } = waitAtFirstNode();
    const heldCount = node.services.waiting.size;
    const before = triesOf(fleet).filter(({ verdict }) => verdict === 'not-run').length;
    node.isStopping = true;
    expect(node.services.waiting.refuseAll()).to.equal(heldCount);
    expect(node.services.waiting.size).to.equal(0);
    const refused = triesOf(fleet).filter(({ verdict }) => verdict === 'not-run');
    expect(refused).to.have.length(before + heldCount);
    expect(waiting.length).to.be.at.least(heldCount);
  });

  // Guards against memory and slots that are kept for callers who have left.
  it('is forgotten at once when its caller leaves, and an offer for it is declined', () => {
    const { fleet, node } = waitAtFirstNode();
    fleet.callers.forEach((caller) => caller.leave());
    expect(node.services.waiting.size).to.equal(0);
    fleet.clock.runUntil(5_000);
    expect(fleet.counter('ferryspool_slot_offers_used_total')).to.equal(0);
  });

  it('is not sent for an offer of an endpoint that the configuration no longer lists', () => {
    const { fleet, node } = waitAtFirstNode();
    const offer = { offerId: 1, service: 'echo', endpoint: 'removed' };
    expect(node.services.useOffer(offer)).to.equal(false);
    expect(node.services.waiting.size).to.be.above(0);
    fleet.clock.runUntil(5_000);
    expectTrueEnds(fleet);
  });
});

describe('the owner of an endpoint', () => {
  it('offers no slots while it stops', () => {
    const { fleet, node } = waitAtFirstNode();
    fleet.nodes.forEach((owner) => (owner.isStopping = true));
    const before = fleet.counter('ferryspool_slot_offers_total');
    fleet.clock.runUntil(5_000);
    expect(fleet.counter('ferryspool_slot_offers_total')).to.equal(before);
    expect(node.services.waiting.size).to.equal(0);
  });
});
