/**
 * A back end that starts again under its name at its address is another process: what was seen of the one
 * before must not keep requests from it, nor send it more of them than a new one gets.
 */
import { expect } from 'chai';
import { incarnationOf } from '../../src/model/incarnation.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const SLOTS = 10;
/** By when a new endpoint counts in full, in milliseconds. */
const WARM_MS = 10_000;
const CONTEXT: SelectionContext = {
  zone: 'z1',
  region: 'r1',
  tried: new Set(),
  repeatable: false,
  mayReceive: () => true,
};

function born(bornAtMs: number | undefined, name = 'a'): Endpoint {
  const spec = { slots: SLOTS, ...(bornAtMs !== undefined && { bornAtMs }) };
  return resourceSchema.parse(echoEndpoint(name, 1, spec)) as Endpoint;
}

/** One node's choice among the endpoint `a` and another one. */
class Trial {
  nowMs = 0;
  readonly selector = new EndpointSelector(seededRandom(1));
  readonly other = born(undefined, 'b');
  endpoints: readonly Endpoint[];

  constructor(public current: Endpoint) {
    this.endpoints = [current, this.other];
    this.choose();
  }

  rebear(bornAtMs: number): Endpoint {
    this.current = born(bornAtMs);
    this.endpoints = [this.current, this.other];
    return this.current;
  }

  choose(context: Partial<SelectionContext> = {}): Endpoint | undefined {
    return this.selector.choose(this.endpoints, { ...CONTEXT, ...context }, this.nowMs);
  }

  /** How many of these choices, all left in flight or none, were for `a`. */
  shareOfCurrent(times: number, areHeld = false): number {
    let count = 0;
    for (let time = 0; time < times; time += 1) {
      const chosen = this.choose();
      count += Number(chosen === this.current);
      if (chosen !== undefined && areHeld) {
        this.selector.began(chosen, this.nowMs);
      }
    }
    return count;
  }

  loseAttempt(endpoint: Endpoint): void {
    this.selector.began(endpoint, this.nowMs);
    this.selector.ended(endpoint, 'gone', this.endpoints, this.nowMs);
  }
}

describe('choice of an endpoint that has started again under its name', () => {
  for (const firstBornAtMs of [undefined, 1_000]) {
    const when = firstBornAtMs === undefined ? 'did not say' : 'said';

    it(`forgets that the one before failed, which ${when} when it was born`, () => {
      const trial = new Trial(born(firstBornAtMs));
      trial.loseAttempt(trial.current);
      expect(trial.shareOfCurrent(40)).to.equal(0);
      const reborn = trial.rebear(2_000);
      expect(trial.shareOfCurrent(40)).to.be.above(0);
      expect(trial.selector.isEjected(reborn)).to.equal(false);
    });
  }

  it('forgets that the one before drained', () => {
    const trial = new Trial(born(1_000));
    trial.selector.observedLoad(trial.current, { inFlight: 0, draining: true }, 0);
    trial.rebear(2_000);
    expect(trial.shareOfCurrent(40)).to.be.above(0);
  });

  it('believes a drain for a moment only while its node may speak of the one before', () => {
    const trial = new Trial(born(1_000));
    const reborn = trial.rebear(2_000);
    trial.choose();
    trial.nowMs = 300;
    trial.selector.observedLoad(reborn, { inFlight: 0, draining: true }, trial.nowMs);
    expect(trial.shareOfCurrent(40)).to.equal(0);
    trial.nowMs = 1_000;
    expect(trial.shareOfCurrent(40)).to.be.above(0);
    trial.nowMs = 3_000;
    trial.selector.observedLoad(reborn, { inFlight: 0, draining: true }, trial.nowMs);
    trial.nowMs = 4_000;
    expect(trial.shareOfCurrent(40)).to.equal(0);
  });

  it('forgets what was under way at the one before, and ends of that change nothing', () => {
    const first = born(1_000);
    const trial = new Trial(first);
    for (let time = 0; time < SLOTS; time += 1) {
      trial.selector.began(first, 0);
    }
    const reborn = trial.rebear(2_000);
    trial.choose();
    expect(trial.selector.sightOf(reborn, 0)?.inFlight).to.equal(0);
    for (let time = 0; time < SLOTS; time += 1) {
      trial.selector.ended(first, 'gone', trial.endpoints, 0);
    }
    expect(trial.selector.sightOf(reborn, 0)).to.deep.equal({
      inFlight: 0,
      isEjected: false,
      isDraining: false,
    });
  });

  it('gives it few requests at first', () => {
    const trial = new Trial(born(1_000));
    trial.nowMs = WARM_MS;
    trial.rebear(2_000);
    trial.choose();
    expect(trial.shareOfCurrent(SLOTS, true)).to.be.at.most(2);
    trial.nowMs = 2 * WARM_MS;
    expect(trial.shareOfCurrent(SLOTS, true)).to.be.above(2);
  });

  it('may send it a request that has tried the one before', () => {
    const first = born(1_000);
    const trial = new Trial(first);
    const tried = new Set([incarnationOf(first), incarnationOf(trial.other)]);
    expect(trial.choose({ tried })).to.equal(undefined);
    const reborn = trial.rebear(2_000);
    expect(trial.choose({ tried })).to.equal(reborn);
  });

  it('probes nothing for the sake of one that is gone', () => {
    const trial = new Trial(born(1_000));
    trial.loseAttempt(trial.current);
    trial.rebear(2_000);
    trial.choose();
    trial.nowMs = WARM_MS;
    expect(trial.selector.ejectedCount).to.equal(0);
  });

  it('keeps what it knows of it where its entry changes and its birth does not', () => {
    const trial = new Trial(born(1_000));
    trial.loseAttempt(trial.current);
    const same = trial.rebear(1_000);
    expect(trial.selector.isEjected(same)).to.equal(true);
    expect(trial.shareOfCurrent(40)).to.equal(0);
  });
});
