/** The page made from reports: verdicts, exponents, and sections that others write. */
import { expect } from 'chai';
import { capacityPage } from '../../tools/scale/capacity-page.js';
import type { PhaseFigures } from '../../tools/scale/fleet-sample.js';
import { estimateAt } from '../../tools/scale/fleet-slopes.js';
import { beginMarker, endMarker, keptSection } from '../../tools/scale/kept-sections.js';
import { figure } from '../../tools/scale/markdown.js';
import { PHASE_NAMES, type PhaseReport, type ScaleReport } from '../../tools/scale/scale-report.js';
import { fitPower } from '../../tools/scale/slope-fit.js';

const figures = (nodes: number): PhaseFigures => ({
  seconds: 20,
  runningNodes: nodes,
  cpuPercent: 0.1,
  sentBytesPerSecond: nodes,
  receivedBytesPerSecond: nodes,
  maxBytesPerSecond: 500,
  sentMessagesPerSecond: 4,
  receivedMessagesPerSecond: 4,
  meanLinks: 8,
  maxLinks: 18,
  electorBytesPerSecond: 300,
  realElector: { cpuPercent: 1.7, residentMiB: 60 + nodes / 100 },
  realOther: { cpuPercent: 0.4, residentMiB: 50 },
  hollowResidentMiB: 2,
  loopDelayP99Ms: 12,
  loopDelayMaxMs: 20,
  loadAverage: 3,
  platformReadsPerSecond: 17,
  peakReaders: 3,
  readersRefused: 0,
  sentBytesPerSecondByType: { heartbeat: 80 },
  counterRises: {},
});

const phase = (name: PhaseReport['name'], nodes: number): PhaseReport => ({
  name,
  figures: figures(nodes),
  convergence: { samples: 10, missing: 0, p50Ms: 50, p99Ms: 100, maxMs: 10 * nodes },
  recoveryMs: 300,
  events: 10,
});

const report = (nodes: number): ScaleReport => ({
  commit: 'abc1234',
  isModified: false,
  startedAt: '2026-01-01T00:00:00.000Z',
  nodeVersion: 'v20.0.0',
  processors: 12,
  nodes,
  sharesDocuments: false,
  hollowNodes: nodes - 5,
  realNodes: 5,
  processes: 13,
  services: 9,
  resources: 136,
  documentBytes: 27_814,
  compression: { changes: 50, restarts: 500 },
  phases: PHASE_NAMES.map((name) => phase(name, nodes)),
  liveMiBPerNode: 0.4,
  emptyProcessMiB: 80,
  peakResidentMiB: 700,
  calls: { started: 10, served: 10, dropped: 0, callsPerSecond: 30 },
  realNodesHoldNewest: true,
  realReaders: 2,
  seconds: 190,
  machineLimits: [],
});

const lineOf = (page: string, start: string): string =>
  page.split('\n').find((line) => line.startsWith(`| ${start}`)) ?? '';

describe('capacity page', () => {
  const page = capacityPage([report(400), report(100), report(200)], '', undefined);
  const lines: readonly [start: string, expected: RegExp][] = [
    ['Processor, whole process in quiet, elector', /1\.70 % of a core \| \*\*missed\*\*/],
    ['Processor, whole process in quiet, any', /\| met \|/],
    ['Memory, resident', /\| 78 MiB \| met \| line/],
    [
      'Control bytes of an ordinary day',
      /\| 3,600 bytes\/s \| \*\*missed\*\* \| power fit up to 400/,
    ],
    ['Change in force everywhere, last', /\| 18,000 ms \| 18,000 ms \|/],
    ['Added to a call over two nodes', /not measured \| open/],
    ['Control bytes, quiet', /\| 200 \| 400 \| 800 \| 1\.00 \| 1\.00 \|/],
    ['400', /`abc1234`/],
  ];
  for (const [start, expected] of lines) {
    it(`has the line ${start}`, () => {
      expect(lineOf(page, start)).to.match(expected);
    });
  }

  it('takes a run at the target’s size before a fit', () => {
    const measured = capacityPage([report(100), report(1_800)], '', undefined);
    expect(lineOf(measured, 'Control bytes of an ordinary day')).to.match(/the run at this size/);
    expect(lineOf(measured, 'Change in force everywhere, last')).to.match(/18,000 ms \| met \|/);
  });

  it('takes what was measured at a size although the fit says otherwise', () => {
    const values = [1, 5, 3].map((value, index) => ({
      nodes: [100, 200, 1_800][index] ?? 0,
      value,
    }));
    const measure = { name: 'any', kind: 'fleet' as const, unit: '', of: () => undefined };
    const slope = { measure, values, fit: fitPower(values) };
    expect(estimateAt(slope, 1_800)).to.deep.equal({ value: 3, isMeasured: true, largest: 1_800 });
    expect(estimateAt(slope, 400)?.isMeasured).to.equal(false);
  });

  it('takes times from runs that share documents, and what a node costs from the others', () => {
    const shared = { ...report(800), sharesDocuments: true, liveMiBPerNode: 0.01 };
    const spoiled = { ...report(800), liveMiBPerNode: 0.9, phases: [] };
    const mixed = capacityPage([report(100), spoiled, shared], '', undefined);
    expect(lineOf(mixed, 'Change in force, last')).to.match(/\| 1,000 \| 8,000 \|/);
    expect(lineOf(mixed, 'Live memory of a hollow node')).to.match(/\| 0.400 \| 0.900 \|/);
  });

  it('names what grows, with its exponent, and not what does not', () => {
    expect(page).to.match(/Grows with the fleet.*Control bytes, quiet \(N\^1\.00\)/);
    expect(page).to.not.match(/Grows with the fleet.*Links/);
  });

  it('keeps sections that others wrote, and only those', () => {
    const name = 'distribution-compared';
    const kept = `${beginMarker(name)}\n\nA table of mine.\n\n${endMarker(name)}`;
    const again = capacityPage([report(100)], `Old words.\n\n${kept}\n\nMore.`, undefined);
    expect(again).to.include(kept).and.not.include('Old words.');
    expect(capacityPage([report(100)], again, undefined)).to.equal(again);
    expect(keptSection(`${endMarker(name)}${beginMarker(name)}`, name, 'none')).to.include('none');
  });

  it('writes three digits, and whole numbers as they are', () => {
    expect([0, 7, 0.01234, 1.234, 12.34, 123.4, 86_000].map(figure)).to.deep.equal([
      '0',
      '7',
      '0.012',
      '1.23',
      '12.3',
      '123',
      '86,000',
    ]);
  });
});
