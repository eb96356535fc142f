import { expect } from 'chai';
import type { CallRecord } from '../../tools/shared/call-record.js';
import { sumCounters } from '../../tools/demo/metrics-text.js';
import { findBrokenInvariants, formatTable } from '../../tools/demo/report.js';
import type { ScenarioResult } from '../../tools/demo/scenario.js';
import { VersionLog } from '../../tools/demo/version-log.js';

const CLEAN: ScenarioResult = {
  title: 'Parkhaven',
  audit: {
    calls: 10,
    served: 8,
    refused: 1,
    failed: 1,
    failedRepeatable: 0,
    doubled: [],
    falseNotRun: [],
    unbacked: [],
    truncated: [],
    crossed: [],
    wrongRequestBody: [],
  },
  dropped: 0,
  retried: 2,
  cutByPlannedStops: [],
  coldStartMs: 900,
  convergenceMs: [400, 500],
  withoutNewRoute: [],
  lastWorkAfterDrainMs: 30,
  backendExit: { code: 0, signal: null },
  nodeExit: { code: 0, signal: null },
  falls: [],
  peakReaders: 3,
  readerBound: 3,
  readersRefused: 0,
  controlBytes: 10_000,
  controlBytesPerNodeSecond: 300,
};

const CUT: CallRecord = {
  callId: 'cut-call',
  service: 'yard',
  repeatable: true,
  node: 'edge-zone-a',
  startedAt: 0,
  latencyMs: 1,
  end: { type: 'broken' },
};

describe('demo report', () => {
  it('finds nothing broken in a clean result', () => {
    expect(findBrokenInvariants(CLEAN)).to.deep.equal([]);
  });

  const broken: Record<string, Partial<ScenarioResult>> = {
    'doubled: x': { audit: { ...CLEAN.audit, doubled: ['x'] } },
    'falseNotRun: x': { audit: { ...CLEAN.audit, falseNotRun: ['x'] } },
    'unbacked: x': { audit: { ...CLEAN.audit, unbacked: ['x'] } },
    'truncated: x': { audit: { ...CLEAN.audit, truncated: ['x'] } },
    'crossed: x': { audit: { ...CLEAN.audit, crossed: ['x'] } },
    'wrongRequestBody: x': { audit: { ...CLEAN.audit, wrongRequestBody: ['x'] } },
    'no call was served': { audit: { ...CLEAN.audit, served: 0 } },
    'planned stops cut cut-call': { cutByPlannedStops: [CUT] },
    'versions fell on yard-1': { falls: [{ node: 'yard-1', from: 2, to: 1 }] },
    'the fleet did not start in time': { coldStartMs: undefined },
    'a change did not converge in time': { convergenceMs: [400, undefined] },
    'the new route is not served by e': { withoutNewRoute: ['e'] },
    'a leaving back end got a request 2001 ms after its drain': { lastWorkAfterDrainMs: 2_001 },
    'the stopped back end did not end cleanly': { backendExit: undefined },
    'the stopped node did not end cleanly': { nodeExit: { code: null, signal: 'SIGKILL' } },
    'more readers came to the platform than it bears': { readersRefused: 1 },
  };
  for (const [text, change] of Object.entries(broken)) {
    it(`finds: ${text}`, () => {
      expect(findBrokenInvariants({ ...CLEAN, ...change })).to.deep.equal([text]);
    });
  }

  it('lists five names at most', () => {
    const doubled = ['1', '2', '3', '4', '5', '6', '7'];
    expect(findBrokenInvariants({ ...CLEAN, audit: { ...CLEAN.audit, doubled } })).to.deep.equal([
      'doubled: 1, 2, 3, 4, 5 and 2 more',
    ]);
  });

  it('prints one column for each deployment', () => {
    const lines = formatTable([CLEAN, { ...CLEAN, title: 'Solano Vargas' }]).split('\n');
    expect(lines[0]).to.match(/Parkhaven +Solano Vargas$/);
    expect(new Set(lines.map((line) => line.length)).size).to.equal(1);
  });
});

describe('version log', () => {
  it('tells when the last node reached a version, also when it skipped it', () => {
    const log = new VersionLog();
    log.observe('a', 1, 10);
    expect(log.allReachedAtMs(['a', 'b'], 1)).to.equal(undefined);
    log.observe('b', 3, 30);
    log.observe('a', 2, 40);
    expect(log.allReachedAtMs(['a', 'b'], 1)).to.equal(30);
    expect(log.allReachedAtMs(['a', 'b'], 2)).to.equal(40);
    expect(log.falls).to.deep.equal([]);
  });

  it('notes a fall', () => {
    const log = new VersionLog();
    log.observe('a', 2, 10);
    log.observe('a', 1, 20);
    expect(log.falls).to.deep.equal([{ node: 'a', from: 2, to: 1 }]);
  });

  it('begins anew with each incarnation, and judges falls within it', () => {
    const log = new VersionLog();
    log.observe('a', 2, 10, 1);
    log.observe('a', 1, 20, 2);
    expect(log.falls).to.deep.equal([]);
    expect(log.allReachedAtMs(['a'], 2)).to.equal(undefined);
    log.observe('a', 2, 30, 1);
    expect(log.heldBy('a')).to.equal(1);
    log.observe('a', 0, 40, 2);
    expect(log.falls).to.deep.equal([{ node: 'a', from: 1, to: 0 }]);
  });
});

describe('metrics text', () => {
  it('sums the samples whose names match', () => {
    const text = '# HELP a_total a\na_total 3\na_total{x="1"} 4\nab_total 5\nbytes 1.5e3\n';
    expect(sumCounters(text, /^a_total$/)).to.equal(7);
    expect(sumCounters(text, /^bytes$/)).to.equal(1_500);
    expect(sumCounters(text, /^none$/)).to.equal(0);
  });
});
