/** Endpoint selection: load, zones, slow start, ejection and probing, drains. */
import { expect } from 'chai';
import { incarnationOf } from '../../src/model/incarnation.js';
import type { Endpoint } from '../../src/model/resource.js';
import { resourceSchema } from '../../src/model/resource.js';
import { orphanSlots, ownedSlots, sharedSlots } from '../../src/routing/direct-access.js';
import type { AttemptOutcome } from '../../src/routing/endpoint-record.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const CONTEXT: SelectionContext = {
  zone: 'z1',
  region: 'r1',
  tried: new Set(),
  repeatable: true,
  mayReceive: () => true,
};

function endpoint(name: string, spec: Record<string, unknown> = {}): Endpoint {
  return resourceSchema.parse(echoEndpoint(name, 1, { slots: 10, ...spec })) as Endpoint;
}

const four = ['a', 'b', 'c', 'd'].map((name) => endpoint(name));

class Trial {
  nowMs = 0;
  readonly selector = new EndpointSelector(seededRandom(1));

  constructor(
    public endpoints: readonly Endpoint[],
    private readonly context: Partial<SelectionContext> = {},
  ) {}

  choose(context: Partial<SelectionContext> = {}): string | undefined {
    const fullContext = { ...CONTEXT, ...this.context, ...context };
    return this.selector.choose(this.endpoints, fullContext, this.nowMs)?.name;
  }

  /** Makes attempts at one endpoint, each of which ends immediately. */
  attempt(name: string, outcome: AttemptOutcome, times = 1): void {
    const target = this.endpoints.find((one) => one.name === name) as Endpoint;
    for (let time = 0; time < times; time += 1) {
      this.selector.attemptStarted(target, this.nowMs);
      this.selector.attemptEnded(target, outcome, this.endpoints, this.nowMs);
    }
  }

  /** How often each endpoint is selected in `times` selections; with `areInFlight`, each remains in flight. */
  distribution(times: number, areInFlight: boolean): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let time = 0; time < times; time += 1) {
      const chosen = this.selector.choose(
        this.endpoints,
        { ...CONTEXT, ...this.context },
        this.nowMs,
      );
      counts[chosen?.name ?? 'none'] = (counts[chosen?.name ?? 'none'] ?? 0) + 1;
      if (chosen !== undefined && areInFlight) {
        this.selector.attemptStarted(chosen, this.nowMs);
      }
    }
    return counts;
  }

  ejected(): string[] {
    return this.endpoints.filter((one) => this.selector.isEjected(one)).map(({ name }) => name);
  }
}

describe('endpoint selection', () => {
  it('distributes requests in flight evenly', () => {
    const counts = new Trial(four).distribution(28, true);
    Object.values(counts).forEach((count) => expect(count).to.be.within(6, 8));
  });

  it('counts requests in flight from other nodes by load reports, which decay with time', () => {
    const trial = new Trial(four.slice(0, 2));
    trial.choose();
    trial.selector.loadObserved(four[0] as Endpoint, { inFlight: 7, draining: false }, 0);
    expect(trial.distribution(20, false)).to.deep.equal({ b: 20 });
    trial.nowMs = 60_000;
    trial.selector.attemptStarted(four[1] as Endpoint, trial.nowMs);
    expect(trial.choose()).to.equal('a');
  });

  it('prefers its zone until that is nearly full, then its region', () => {
    const trial = new Trial([
      endpoint('near', { slots: 10 }),
      endpoint('region', { zone: 'z2', slots: 10 }),
      endpoint('far', { zone: 'z3', region: 'r2', slots: 10 }),
    ]);
    expect(trial.distribution(8, true)).to.deep.equal({ near: 8 });
    expect(trial.distribution(8, true)).to.deep.equal({ region: 8 });
    expect(trial.distribution(8, true)).to.have.property('far').that.is.at.least(4);
  });

  it('sends few requests to an endpoint that was added later, and more after the slow start', () => {
    const trial = new Trial(four.slice(0, 2));
    trial.choose();
    trial.endpoints = four.slice(0, 3);
    trial.choose();
    const early = trial.distribution(20, true).c ?? 0;
    expect(early).to.be.within(0, 2);
    trial.nowMs = 10_000;
    expect(trial.distribution(12, true).c).to.be.at.least(6);
  });

  const ejections: readonly { outcome: AttemptOutcome; times: number; isEjected: boolean }[] = [
    { outcome: 'failed', times: 4, isEjected: false },
    { outcome: 'failed', times: 5, isEjected: true },
    { outcome: 'unreachable', times: 1, isEjected: false },
    { outcome: 'unreachable', times: 2, isEjected: true },
    { outcome: 'refused', times: 50, isEjected: false },
    { outcome: 'abandoned', times: 50, isEjected: false },
    { outcome: 'answered', times: 50, isEjected: false },
  ];
  for (const { outcome, times, isEjected } of ejections) {
    it(`${isEjected ? 'ejects' : 'keeps'} an endpoint after outcome ${outcome} ${times} times`, () => {
      const trial = new Trial(four);
      trial.attempt('a', outcome, times);
      expect(trial.ejected()).to.deep.equal(isEjected ? ['a'] : []);
      expect('a' in trial.distribution(60, false)).to.equal(!isEjected);
    });
  }

  it('probes an ejected endpoint with a repeatable request, and later after each failed probe', () => {
    const trial = new Trial(four);
    trial.attempt('a', 'unreachable', 2);
    trial.nowMs = 1_001;
    expect(trial.choose({ repeatable: false })).to.not.equal('a');
    expect(trial.choose()).to.equal('a');
    trial.attempt('a', 'unreachable');
    trial.nowMs = 2_900;
    expect(trial.distribution(40, false)).to.not.have.property('a');
    trial.nowMs = 3_100;
    expect(trial.choose()).to.equal('a');
    trial.attempt('a', 'answered');
    expect(trial.ejected()).to.deep.equal([]);
    expect(trial.distribution(60, false)).to.have.property('a');
  });

  it('ejects at most half of the endpoints', () => {
    const trial = new Trial(four);
    four.forEach(({ name }) => trial.attempt(name, 'unreachable', 9));
    expect(trial.ejected()).to.deep.equal(['a', 'b']);
  });

  const closed: readonly {
    name: string;
    spec?: object;
    context?: Partial<SelectionContext>;
  }[] = [
    { name: 'that the configuration drains', spec: { state: 'draining' } },
    { name: 'that was already tried', context: { tried: new Set([incarnationOf(endpoint('x'))]) } },
    { name: 'whose node is leaving', context: { mayReceive: () => false } },
  ];
  for (const { name, spec = {}, context = {} } of closed) {
    it(`never selects an endpoint ${name}`, () => {
      expect(new Trial([endpoint('x', { ...spec })], context).choose()).to.equal(undefined);
    });
  }

  it('sends no requests to an endpoint that reported draining', () => {
    const trial = new Trial(four.slice(0, 1));
    trial.choose();
    trial.selector.loadObserved(four[0] as Endpoint, { inFlight: 0, draining: true }, 0);
    expect(trial.choose()).to.equal(undefined);
  });
});

describe('direct use of endpoints by nodes', () => {
  const target = endpoint('e', { slots: 20, maxConnections: 130 });

  it('reserves connections for cancellations', () => {
    expect(ownedSlots(target)).to.equal(20);
    expect(ownedSlots(endpoint('e', { slots: 20, maxConnections: 16 }))).to.equal(10);
  });

  it('divides the slots of an endpoint without a node evenly', () => {
    expect([1, 4, 20, 1_800].map((nodes) => sharedSlots(target, nodes))).to.deep.equal([
      20, 5, 1, 1,
    ]);
  });

  for (const nodes of [4, 40, 400, 1_800]) {
    it(`lets some of ${nodes} nodes use an endpoint whose node is gone, but no more than it has slots`, () => {
      for (let endpointIndex = 0; endpointIndex < 50; endpointIndex += 1) {
        const orphan = endpoint(`e${endpointIndex}`, { slots: 20 });
        let users = 0;
        for (let node = 0; node < nodes; node += 1) {
          users += orphanSlots(orphan, `machine-${node}`, nodes);
        }
        expect(users).to.be.within(1, 20);
      }
    });
  }
});
