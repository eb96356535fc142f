/** Whole runs of small emulated fleets: what callers are told, and what it costs. */
import { expect } from 'chai';
import { planArrivals } from '../../tools/experiment/call-plan.js';
import type { Variant } from '../../tools/experiment/policy-settings.js';
import { runScenario } from '../../tools/experiment/run-scenario.js';
import type { RequestClass, Scenario } from '../../tools/experiment/scenario.js';
import { READ, SMALL, scenarioOf } from './scenarios-for-tests.js';

const STORE = { name: 'store', endpoints: 1, slots: 2 } as const;
const LIST: RequestClass = {
  ...READ,
  name: 'list',
  service: 'lists',
  calls: ['read'],
  repeatable: false,
};

/** Requests to lists, of which each reads the store once. */
const LISTS: Scenario = {
  ...SMALL,
  services: [STORE, { name: 'lists', endpoints: 2, slots: 4 }],
  classes: [LIST, { ...READ, ratePerSecond: 0 }],
};

/** The measure of the place that most late answers waited in longest. */
function mostFrequentLatePlace(scenario: Scenario, variant: Variant = {}): string | undefined {
  const { measures } = runScenario(scenario, variant, 1);
  const places = Object.entries(measures).filter(([name]) => name.startsWith('late.'));
  return places.sort(([, left], [, right]) => right - left)[0]?.[0];
}

describe('an emulated fleet', () => {
  it('answers all in time when nothing is amiss', () => {
    const { measures, outcomes } = runScenario(SMALL, {}, 1);
    expect(outcomes.length).to.be.within(10, 30);
    expect(measures).to.include({ worth: 1, refused: 0, failed: 0, attempts: 1, misreported: 0 });
    // A head there, and a head and the answer back.
    expect(measures['linkBytes']).to.equal(250 + 250 + 100);
  });

  it('plays the same run again by its seed, and another one by another seed', () => {
    const burst = scenarioOf('burst');
    const play = (seed: number) => runScenario(burst, {}, seed).measures;
    const first = play(5);
    expect(play(5)).to.deep.equal(first);
    expect(play(6)).not.to.deep.equal(first);
  });

  it('fails a request whose call fails', () => {
    const dead: Scenario = {
      ...LISTS,
      faults: [{ kind: 'crashed-node', service: 'store', fromMs: 0, untilMs: 10_000 }],
    };
    expect(runScenario(LISTS, {}, 1).measures).to.include({ worth: 1, attempts: 2 });
    expect(runScenario(dead, {}, 1).measures).to.include({ worth: 0, failed: 1 });
  });

  it('ends requests at their deadline whose answers begin and do not end, and frees their slots', () => {
    const silent: Scenario = {
      ...SMALL,
      durationMs: 2_000,
      faults: [{ kind: 'silent-answers', service: 'store', fromMs: 0, untilMs: 1_000 }],
    };
    const { outcomes, measures } = runScenario(silent, {}, 1);
    const unserved = outcomes.filter(({ elapsedMs }) => elapsedMs >= READ.deadlineMs);
    expect(unserved.length).to.be.above(1);
    expect(Math.max(...outcomes.map(({ elapsedMs }) => elapsedMs))).to.be.at.most(
      READ.deadlineMs + 500,
    );
    expect(measures['misreported']).to.equal(0);
    expect(measures['worth']).to.be.above(0.2);
  });

  it('holds the slot of a request while its calls are under way', () => {
    const slowStore = (slots: number): number => {
      const services = [STORE, { name: 'lists', endpoints: 1, slots }];
      const faults = [
        { kind: 'slow-endpoint', service: 'store', fromMs: 0, untilMs: 10_000, factor: 2 } as const,
      ];
      const { outcomes } = runScenario({ ...LISTS, services, faults }, {}, 1);
      return Math.max(...outcomes.map(({ elapsedMs }) => elapsedMs));
    };
    expect(slowStore(1)).to.be.above(slowStore(8) * 1.2);
  });

  it('counts late answers by the place in which they waited', () => {
    const busy: Scenario = {
      ...SMALL,
      services: [{ ...STORE, slots: 4 }],
      classes: [{ ...READ, ratePerSecond: 100, workMs: 60, callerRetries: 0 }],
    };
    expect(mostFrequentLatePlace(busy, { queuePerSlot: 2 })).to.equal('late.queue');
    const slow: Scenario = { ...SMALL, classes: [{ ...READ, ratePerSecond: 4, workMs: 150 }] };
    expect(mostFrequentLatePlace(slow)).to.equal('late.endpoint');
    const remote: Scenario = { ...SMALL, classes: [{ ...READ, answerBytes: 150_000 }] };
    expect(mostFrequentLatePlace(remote)).to.equal('late.transit');
  });

  it('carries bodies once, by credit', () => {
    const upload: RequestClass = {
      ...READ,
      name: 'upload',
      ratePerSecond: 5,
      uploadBytes: 60_000,
      deadlineMs: 2_000,
    };
    const uploads: Scenario = { ...SMALL, classes: [upload] };
    const { measures, outcomes } = runScenario(uploads, {}, 1);
    const lengths = planArrivals(uploads, 1).map(({ request }) => request.uploadBytes);
    const meanBytes = lengths.reduce((sum, bytes) => sum + bytes, 0) / lengths.length;
    // Besides the body there are two heads, the answer, and a few words of credit.
    expect(measures['linkBytes']).to.be.within(meanBytes + 600, meanBytes + 1_200);
    expect(outcomes.every(({ end }) => end === 'answered')).to.equal(true);
    expect(Math.min(...outcomes.map(({ elapsedMs }) => elapsedMs))).to.be.above(30);
  });

  it('serves on beside a node that dies, and by that node once it is back', () => {
    const services = [{ ...STORE, endpoints: 2 }];
    const lost: Scenario = {
      ...SMALL,
      durationMs: 3_000,
      services,
      faults: [{ kind: 'crashed-node', service: 'store', fromMs: 500, untilMs: 1_500 }],
    };
    const { measures } = runScenario(lost, {}, 1);
    expect(measures['worth']).to.be.above(0.95);
    const all: Scenario = { ...lost, services: [STORE] };
    const { outcomes } = runScenario(all, {}, 1);
    expect(outcomes.filter(({ end }) => end !== 'answered')).not.to.be.empty;
    expect(outcomes.at(-1)?.end).to.equal('answered');
  });

  it('keeps to the rate limits that endpoints name, and serves elsewhere what they do not take', () => {
    for (const seed of [1, 2, 3]) {
      const { measures } = runScenario(scenarioOf('limited'), {}, seed);
      expect(measures['peakLimitUse']).to.be.within(0.5, 1.25);
      expect(measures['worth']).to.be.above(0.98);
    }
  });

  it('sends no more than allowed in a second to cold endpoints, however they turned cold', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const { measures } = runScenario(scenarioOf('cold'), {}, seed);
      expect(measures['peakColdCount'], `seed ${seed}`).to.be.within(8.4, 20.6);
      expect(measures['worth'], `seed ${seed}`).to.be.above(0.4);
    }
  }).timeout(20_000);

  it('keeps to a low rate limit while the node beside the endpoint restarts', () => {
    for (const seed of [1, 2, 3]) {
      const { measures, outcomes } = runScenario(scenarioOf('limited-low'), {}, seed);
      expect(measures['peakLimitUse']).to.be.within(0.25, 1.25);
      expect(outcomes.at(-1)?.end).to.equal('answered');
    }
  });

  it('tells no gateway status for what no endpoint got, while links and processes are well', () => {
    for (const name of ['calm', 'burst', 'slow', 'narrow']) {
      expect(runScenario(scenarioOf(name), {}, 1).measures, name).to.include({ misreported: 0 });
    }
  });

  it('tells every caller something in every scenario', () => {
    for (const name of ['lost', 'silent', 'depth', 'beside']) {
      const { outcomes } = runScenario(scenarioOf(name), {}, 1);
      expect(
        outcomes.filter(({ end }) => end === 'none'),
        name,
      ).to.be.empty;
    }
  });
});
