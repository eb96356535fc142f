/** Scripts with which the fuzzer found real faults, shrunk; each failed before its fault was mended. */
import { expect } from 'chai';
import { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { VersionedDocument } from '../../src/model/document.js';
import { controlPlaneTarget } from '../../tools/fuzz/control-plane-target.js';
import type { FuzzCommand } from '../../tools/fuzz/fuzz-command.js';
import { runScript } from '../../tools/fuzz/script-runner.js';

const FOUND_FAULTS: readonly {
  fault: string;
  worldSeed: number;
  script: readonly FuzzCommand[];
}[] = [
  {
    fault: 'a delta from nothing was applied to a held document of another history',
    worldSeed: -172090002,
    script: [
      { afterMs: 0, action: { type: 'publish', publication: 'next', content: 0 } },
      {
        afterMs: 0,
        action: { type: 'kill', group: { by: 'region', index: 0 }, machineGone: false },
      },
      { afterMs: 30, action: { type: 'source-from-zero', content: 0 } },
      { afterMs: 0, action: { type: 'publish', publication: 'same-number', content: 1 } },
    ],
  },
];

describe('faults found by fuzzing', () => {
  FOUND_FAULTS.forEach(({ fault, worldSeed, script }) => {
    it(`stays mended: ${fault}`, () => {
      runScript(controlPlaneTarget('fixed'), worldSeed, script);
    });
  });

  it('applies a delta from nothing to nothing, whatever is held', () => {
    const newer = VersionedDocument.empty().next(2, new Map([['service/tiles', '{}']]));
    const other = VersionedDocument.fromValues(1, new Map([['service/parcels', '{}']]));
    const delta = newer.deltaFrom(VersionedDocument.empty().version);
    if (delta === undefined) {
      throw new Error('history reaches back to nothing');
    }
    expect(new DocumentMemo().apply('source', other, delta).version).to.deep.equal(newer.version);
  });
});
