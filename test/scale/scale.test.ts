/** The pure parts of the scale run: plan, figures, convergence, fits. */
import { expect } from 'chai';
import fc from 'fast-check';
import { VersionedDocument } from '../../src/model/document.js';
import { mergeDocuments } from '../../src/model/merge.js';
import { parseSettings } from '../../src/settings/load-settings.js';
import { interpretResponse } from '../../src/source/platform-answer.js';
import { ConvergenceLog, summarizeTimes } from '../../tools/scale/convergence.js';
import { phaseFigures, type FleetSample } from '../../tools/scale/fleet-sample.js';
import type { NodeTotals } from '../../tools/scale/hollow-sample.js';
import { checkFits, RunTooLargeError } from '../../tools/scale/memory-budget.js';
import { NetworkCut } from '../../tools/scale/network-cut.js';
import { compressions, restartsFor, scaledBack } from '../../tools/scale/phase-plan.js';
import { parseUsage } from '../../tools/shared/process-usage.js';
import { ScaleConfiguration, servicesFor } from '../../tools/scale/scale-configuration.js';
import {
  CUT_REGION,
  DYING_ZONE,
  nodeSettings,
  NODES_PER_PROCESS,
  planMachines,
  planProcesses,
  range,
  REAL_INDICES,
  type ScaleShape,
} from '../../tools/scale/scale-plan.js';
import { fitLinear, fitPower, valueAt } from '../../tools/scale/slope-fit.js';

const shapeOf = (nodes: number): ScaleShape => ({
  nodes,
  network: '127.99',
  fleetKey: 'a-fleet-key-for-tests-only',
});

describe('scale plan', () => {
  for (const nodes of [50, 123, 400, 1_800]) {
    it(`gives each of ${nodes} machines an address and one process, or a real node`, () => {
      const machines = planMachines(shapeOf(nodes));
      expect(new Set(machines.map(({ address }) => address)).size).to.equal(nodes);
      const processes = planProcesses(nodes);
      expect([...processes.flat(), ...REAL_INDICES].sort((a, b) => a - b)).to.deep.equal(
        range(nodes),
      );
      expect(Math.max(...processes.map(({ length }) => length))).to.be.at.most(NODES_PER_PROCESS);
      const real = REAL_INDICES.map((index) => machines[index]);
      expect(real.some((machine) => machine?.region === CUT_REGION)).to.equal(false);
      expect(real.some((machine) => machine?.zone === DYING_ZONE)).to.equal(false);
    });
  }

  it('gives settings that a node accepts', () => {
    const shape = shapeOf(50);
    const machines = planMachines(shape);
    const settings = machines.map((machine) =>
      parseSettings('test', nodeSettings(shape, machines, machine, 8_000)),
    );
    expect(settings[7]?.seeds).to.have.length(7);
  });

  it('gives documents of the letter’s size that merge without a fault, before and after changes', () => {
    const machines = planMachines(shapeOf(1_800));
    const configuration = new ScaleConfiguration(machines, new Map(), () => 0.5);
    expect(servicesFor(1_800)).to.equal(170);
    const kinds = configuration.document().resources.map(({ kind }) => kind);
    expect(kinds.filter((kind) => kind === 'endpoint')).to.have.length(1_800);
    const before = JSON.stringify(configuration.document());
    configuration.changeOneEndpoint();
    expect(JSON.stringify(configuration.document())).to.not.equal(before);
    const answer = interpretResponse('source', 0, {
      status: 200,
      retryAfter: undefined,
      body: JSON.stringify(configuration.document()),
    });
    if (answer.outcome !== 'document') {
      throw new Error(`the platform's document was taken as ${JSON.stringify(answer)}`);
    }
    const source = VersionedDocument.fromValues(answer.number, answer.values);
    const merged = mergeDocuments(source, VersionedDocument.empty());
    expect(merged.snapshot.resources.size).to.equal(kinds.length);
  });
});

const nodeTotals = (index: number, totals: Partial<NodeTotals>): NodeTotals => ({
  index,
  isRunning: true,
  sentBytes: 0,
  receivedBytes: 0,
  sentMessages: 0,
  receivedMessages: 0,
  links: 4,
  ...totals,
});

const fleetSample = (at: number, cpuMs: number, nodes: NodeTotals[]): FleetSample => ({
  at,
  hollow: [
    {
      nodes,
      cpuMs,
      residentBytes: 100 * 2 ** 20,
      liveBytes: 0,
      loopDelayP99Ms: 12,
      loopDelayMaxMs: 20,
      sentBytesByType: { delta: nodes.reduce((sum, node) => sum + node.sentBytes, 0) },
      counters: { dials: cpuMs, idle: 3 },
    },
  ],
  real: [
    { isElector: true, cpuMs, residentBytes: 80 * 2 ** 20 },
    { isElector: false, cpuMs: cpuMs / 2, residentBytes: 70 * 2 ** 20 },
  ],
  residentBytes: 0,
  peakReaders: 7,
  readersRefused: 0,
  platformReads: at / 100,
  loadAverage: 1,
});

describe('scale figures', () => {
  it('are rates for one node between two samples', () => {
    const before = fleetSample(1_000, 500, [nodeTotals(0, { sentBytes: 100 }), nodeTotals(99, {})]);
    const after = fleetSample(11_000, 700, [
      nodeTotals(0, { sentBytes: 2_100, receivedBytes: 500, sentMessages: 20, links: 6 }),
      nodeTotals(99, { sentBytes: 1_000, isRunning: false }),
    ]);
    expect(phaseFigures(before, after)).to.deep.include({
      seconds: 10,
      runningNodes: 1,
      cpuPercent: 1,
      sentBytesPerSecond: 150,
      receivedBytesPerSecond: 25,
      maxBytesPerSecond: 250,
      sentMessagesPerSecond: 1,
      meanLinks: 6,
      electorBytesPerSecond: 250,
      realElector: { cpuPercent: 2, residentMiB: 80 },
      realOther: { cpuPercent: 1, residentMiB: 70 },
      hollowResidentMiB: 50,
      platformReadsPerSecond: 10,
      sentBytesPerSecondByType: { delta: 150 },
      counterRises: { dials: 200 },
    });
  });

  it('of convergence count from publication, take newer versions, and tell who is missing', () => {
    const log = new ConvergenceLog();
    log.add([
      { index: 0, version: 2, at: 1_010 },
      { index: 1, version: 3, at: 1_500 },
      { index: 2, version: 2, at: 900 },
    ]);
    const expected = new Set([0, 1, 2]);
    expect(log.summarize([{ version: 2, at: 1_000, expected }])).to.deep.equal({
      samples: 2,
      missing: 1,
      p50Ms: 10,
      p99Ms: 500,
      maxMs: 500,
    });
  });

  it('of no times are zero, and quantiles are times that were seen', () => {
    expect(summarizeTimes([])).to.deep.equal({ samples: 0, p50Ms: 0, p99Ms: 0, maxMs: 0 });
    fc.assert(
      fc.property(fc.array(fc.nat(), { minLength: 1 }), (times) => {
        const { p50Ms, p99Ms, maxMs } = summarizeTimes(times);
        expect(times).to.include.members([p50Ms, p99Ms, maxMs]);
        expect(p50Ms).to.be.at.most(p99Ms);
        expect(p99Ms).to.be.at.most(maxMs);
      }),
    );
  });

  it('of a process come from its two files, whatever its name', () => {
    const fields = [...range(11).map(String), '150', '50', '0'].join(' ');
    const usage = parseUsage(`42 (a b) c) ${fields}`, 'Name:\tx\nVmRSS:\t  2048 kB\n');
    expect(usage).to.deep.equal({ cpuMs: 2_000, residentBytes: 2_097_152 });
  });
});

describe('scale phases', () => {
  it('tell by how much a day is compressed, and scale back what exceeds quiet', () => {
    expect(compressions(1_800).changes).to.be.closeTo(50.2, 0.1);
    expect(restartsFor(1_800)).to.equal(40);
    expect(compressions(1_800).restarts).to.be.closeTo(576, 1);
    expect(scaledBack(1_100, 100, 50)).to.equal(20);
    expect(scaledBack(90, 100, 50)).to.equal(0);
  });

  it('refuse a run that does not fit the machine', () => {
    expect(() => checkFits(800, 20)).to.not.throw();
    expect(() => checkFits(5_000, 50)).to.throw(RunTooLargeError);
    expect(() => checkFits(100, 500)).to.throw(RunTooLargeError);
  });
});

describe('network cut', () => {
  const machines = planMachines(shapeOf(20));
  const inside = machines.find(({ region }) => region === CUT_REGION) ?? machines[0];
  const outside = machines.find(({ region }) => region !== CUT_REGION) ?? machines[0];
  const cutOf = (withPlatform: boolean): NetworkCut => {
    const cut = new NetworkCut(machines);
    cut.current = { by: 'region', name: CUT_REGION, withPlatform };
    return cut;
  };

  it('separates the group from the others, both ways, until it heals', () => {
    if (inside === undefined || outside === undefined) {
      throw new Error('the plan has one region only');
    }
    const cut = cutOf(true);
    expect(cut.separatesFromMachine(inside, outside.id)).to.equal(true);
    expect(cut.separatesFromAddress(outside, inside)).to.equal(true);
    expect(cut.separatesFromAddress(inside, inside)).to.equal(false);
    expect(cut.separatesFromPlatform(inside)).to.equal(true);
    expect(cut.separatesFromPlatform(outside)).to.equal(false);
    expect(cutOf(false).separatesFromPlatform(inside)).to.equal(false);
    cut.current = undefined;
    expect(cut.separatesFromMachine(inside, outside.id)).to.equal(false);
  });
});

describe('slope fit', () => {
  it('finds the exponent of a power, and of a constant', () => {
    const sizes = [50, 100, 200, 400];
    const square = fitPower(sizes.map((nodes) => ({ nodes, value: 3 * nodes ** 2 })));
    expect(square?.exponent).to.be.closeTo(2, 1e-9);
    expect(square && valueAt(square, 10)).to.be.closeTo(300, 1e-6);
    expect(fitPower(sizes.map((nodes) => ({ nodes, value: 7 })))?.exponent).to.be.closeTo(0, 1e-9);
    expect(fitPower([{ nodes: 50, value: 1 }])).to.equal(undefined);
  });

  it('finds base and slope of a line', () => {
    const fit = fitLinear([50, 100, 400].map((nodes) => ({ nodes, value: 5 + 0.01 * nodes })));
    expect(fit?.base).to.be.closeTo(5, 1e-9);
    expect(fit?.slope).to.be.closeTo(0.01, 1e-9);
  });
});
