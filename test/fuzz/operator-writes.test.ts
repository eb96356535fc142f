import { expect } from 'chai';
import { VersionedDocument } from '../../src/model/document.js';
import { controlPlaneTarget } from '../../tools/fuzz/control-plane-target.js';
import { fuzz } from '../../tools/fuzz/fuzz-run.js';
import { OperatorWrites } from '../../tools/fuzz/operator-writes.js';
import { VOTERS_KEY } from '../../src/replication/voter-configuration.js';

const KEY = 'service/operator-0';
const VOTERS = ['a', 'b', 'c'].map((id) => {
  return { id, incarnation: 1, address: '10.0.0.1', controlPort: 7400, zone: 'zone-0' };
});

function documentOf(revision: number, value: number | undefined): VersionedDocument {
  const entries = new Map([[VOTERS_KEY, JSON.stringify({ epoch: 1, round: 1, voters: VOTERS })]]);
  if (value !== undefined) {
    entries.set(KEY, JSON.stringify({ spec: { requestTimeoutMs: value } }));
  }
  return VersionedDocument.fromValues(revision, entries);
}

/** The first write, accepted as revision 1 and held there; then another document of revision 1. */
const SECOND_DOCUMENTS: readonly {
  what: string;
  isHeld: boolean;
  survivors: number;
  faults: number;
}[] = [
  { what: 'still held', isHeld: true, survivors: 0, faults: 1 },
  { what: 'lost with a minority of its voters', isHeld: false, survivors: 2, faults: 1 },
  { what: 'lost with a majority of its voters', isHeld: false, survivors: 1, faults: 0 },
];

describe("operators' writes under fuzzing", () => {
  const action = {
    type: 'operator-write',
    machine: 0,
    resource: 0,
    isDeletion: false,
    precondition: 'none',
  } as const;

  SECOND_DOCUMENTS.forEach(({ what, isHeld, survivors, faults }) => {
    it(`counts ${faults} faults when a second document takes the place of one ${what}`, () => {
      const found: string[] = [];
      const census = { isHeld: () => isHeld, survivors: () => survivors, nowMs: 0 };
      const writes = new OperatorWrites(census, (detail) => found.push(detail));
      writes.submit(action).onOutcome({ outcome: 'accepted', revision: 1 });
      writes.seen(documentOf(1, 1));
      expect(found).to.deep.equal([]);
      writes.seen(documentOf(1, undefined));
      expect(found).to.have.length(faults);
    });
  });

  it('finds an accepted write that is not in its revision', () => {
    const found: string[] = [];
    const census = { isHeld: () => true, survivors: () => 3, nowMs: 0 };
    const writes = new OperatorWrites(census, (detail) => found.push(detail));
    writes.seen(documentOf(1, undefined));
    writes.submit(action).onOutcome({ outcome: 'accepted', revision: 1 });
    expect(found).to.have.length(1);
  });

  it('holds every invariant with replication and operators that write', () => {
    const options = { seed: 21, runs: 30, maxCommands: 40 };
    const report = fuzz(controlPlaneTarget('leased', true), options);
    expect(report.failure, JSON.stringify(report.failure)).to.equal(undefined);
    expect(report.acceptedWrites).to.be.greaterThan(0);
  }).timeout(60_000);
});
