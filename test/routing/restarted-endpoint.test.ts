/**
 * A back end that restarts under the same name and address is a new process. Observations of the previous process
 * must neither keep requests from the new one nor send it more requests than other new endpoints receive.
 */
import { expect } from 'chai';
import { incarnationOf } from '../../src/model/incarnation.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const SLOTS = 10;
/** Time after which a new endpoint receives its full share, in milliseconds. */
const WARM_MS = 10_000;
const CONTEXT: SelectionContext = {
  zone: 'z1',
  region: 'r1',
  tried: new Set(),
  repeatable: false,
  mayReceive: () => true,
};

function endpointStartedAt(bornAtMs: number | undefined, name = 'a'): Endpoint {
  const spec = { slots: SLOTS, ...(bornAtMs !== undefined && { bornAtMs }) };
  return resourceSchema.parse(echoEndpoint(name, 1, spec)) as Endpoint;
}

/** Selection between the endpoint `a` and another one at one node. */
class Trial {
  nowMs = 0;
  readonly selector = new EndpointSelector(seededRandom(1));
  readonly other = endpointStartedAt(undefined, 'b');
  endpoints: readonly Endpoint[];

  constructor(public current: Endpoint) {
    this.endpoints = [current, this.other];
    this.choose();
  }

  restart(bornAtMs: number): Endpoint {
    this.current = endpointStartedAt(bornAtMs);
    this.endpoints = [this.current, this.other];
    return this.current;
  }

  choose(context: Partial<SelectionContext> = {}): Endpoint | undefined {
    return this.selector.choose(this.endpoints, { ...CONTEXT, ...context }, this.nowMs);
  }

  /** Number of selections of `a` in `times` selections; with `areInFlight`, each remains in flight. */
  countCurrent(times: number, areInFlight = false): number {
    let count = 0;
    for (let time = 0; time < times; time += 1) {
      const chosen = this.choose();
      count += Number(chosen === this.current);
      if (chosen !== undefined && areInFlight) {
        this.selector.attemptStarted(chosen, this.nowMs);
      }
    }
    return count;
  }

  failAttempt(endpoint: Endpoint): void {
    this.selector.attemptStarted(endpoint, this.nowMs);
    this.selector.attemptEnded(endpoint, 'gone', this.endpoints, this.nowMs);
  }
}

describe('selection of an endpoint that restarted under its name', () => {
  for (const firstStartedAtMs of [undefined, 1_000]) {
    const startTime = firstStartedAtMs === undefined ? 'without' : 'with';

    it(`ignores failures of the previous incarnation, ${startTime} a known start time`, () => {
      const trial = new Trial(endpointStartedAt(firstStartedAtMs));
      trial.failAttempt(trial.current);
      expect(trial.countCurrent(40)).to.equal(0);
      const restarted = trial.restart(2_000);
      expect(trial.countCurrent(40)).to.be.above(0);
      expect(trial.selector.isEjected(restarted)).to.equal(false);
    });
  }

  it('ignores draining of the previous incarnation', () => {
    const trial = new Trial(endpointStartedAt(1_000));
    trial.selector.loadObserved(trial.current, { inFlight: 0, draining: true }, 0);
    trial.restart(2_000);
    expect(trial.countCurrent(40)).to.be.above(0);
  });

  it('applies a drain report briefly while it may refer to the previous incarnation', () => {
    const trial = new Trial(endpointStartedAt(1_000));
    const restarted = trial.restart(2_000);
    trial.choose();
    trial.nowMs = 300;
    trial.selector.loadObserved(restarted, { inFlight: 0, draining: true }, trial.nowMs);
    expect(trial.countCurrent(40)).to.equal(0);
    trial.nowMs = 1_000;
    expect(trial.countCurrent(40)).to.be.above(0);
    trial.nowMs = 3_000;
    trial.selector.loadObserved(restarted, { inFlight: 0, draining: true }, trial.nowMs);
    trial.nowMs = 4_000;
    expect(trial.countCurrent(40)).to.equal(0);
  });

  it('ignores requests in flight at the previous incarnation, and their outcomes', () => {
    const first = endpointStartedAt(1_000);
    const trial = new Trial(first);
    for (let time = 0; time < SLOTS; time += 1) {
      trial.selector.attemptStarted(first, 0);
    }
    const restarted = trial.restart(2_000);
    trial.choose();
    expect(trial.selector.observationOf(restarted, 0)?.inFlight).to.equal(0);
    for (let time = 0; time < SLOTS; time += 1) {
      trial.selector.attemptEnded(first, 'gone', trial.endpoints, 0);
    }
    expect(trial.selector.observationOf(restarted, 0)).to.deep.equal({
      inFlight: 0,
      isEjected: false,
      isDraining: false,
    });
  });

  it('sends few requests to the new incarnation at first', () => {
    const trial = new Trial(endpointStartedAt(1_000));
    trial.nowMs = WARM_MS;
    trial.restart(2_000);
    trial.choose();
    expect(trial.countCurrent(SLOTS, true)).to.be.at.most(2);
    trial.nowMs = 2 * WARM_MS;
    expect(trial.countCurrent(SLOTS, true)).to.be.above(2);
  });

  it('may select the new incarnation for a request that has tried the previous one', () => {
    const first = endpointStartedAt(1_000);
    const trial = new Trial(first);
    const tried = new Set([incarnationOf(first), incarnationOf(trial.other)]);
    expect(trial.choose({ tried })).to.equal(undefined);
    const restarted = trial.restart(2_000);
    expect(trial.choose({ tried })).to.equal(restarted);
  });

  it('does not probe for the previous incarnation', () => {
    const trial = new Trial(endpointStartedAt(1_000));
    trial.failAttempt(trial.current);
    trial.restart(2_000);
    trial.choose();
    trial.nowMs = WARM_MS;
    expect(trial.selector.ejectedCount).to.equal(0);
  });

  it('keeps the record if the entry changes but the start time does not', () => {
    const trial = new Trial(endpointStartedAt(1_000));
    trial.failAttempt(trial.current);
    const same = trial.restart(1_000);
    expect(trial.selector.isEjected(same)).to.equal(true);
    expect(trial.countCurrent(40)).to.equal(0);
  });
});
