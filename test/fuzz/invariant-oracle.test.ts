import { expect } from 'chai';
import type { ComponentContext } from '../../tools/emulator/emulated-process.js';
import { VersionedDocument } from '../../src/model/document.js';
import { fuzz, type FuzzReport } from '../../tools/fuzz/fuzz-run.js';
import type { Invariant } from '../../tools/fuzz/invariant-oracle.js';
import { FloodingComponent } from '../emulator/flooding-component.js';

const RUN = { seed: 1, runs: 60, maxCommands: 12, shrinkLimitMs: 2_000 };

function fuzzToy(factory: (context: ComponentContext) => FloodingComponent): FuzzReport {
  return fuzz({ factory, sizer: () => 100, readerBound: 2 }, RUN);
}

class AcceptsAnything extends FloodingComponent {
  protected override accepts(offered: VersionedDocument): boolean {
    return offered.version.digest !== this.source.version.digest;
  }
}

class DropsAnEntry extends FloodingComponent {
  protected override adopt(offered: VersionedDocument): ReturnType<FloodingComponent['handle']> {
    const values = [...offered.entries.values()].map(({ key, json }) => [key, json] as const);
    const partial = new Map(values.slice(1));
    return super.adopt(VersionedDocument.fromValues(offered.version.number, partial));
  }
}

class PassesNothingOn extends FloodingComponent {
  protected override push(to: string): ReturnType<FloodingComponent['push']> {
    return { type: 'hang-up', peerId: to };
  }
}

const FAULTY_COMPONENTS: readonly {
  fault: string;
  component: typeof FloodingComponent;
  invariants: readonly Invariant[];
}[] = [
  { fault: 'takes older versions', component: AcceptsAnything, invariants: ['version-fell'] },
  { fault: 'holds a part', component: DropsAnEntry, invariants: ['partial-version'] },
  {
    fault: 'passes nothing on',
    component: PassesNothingOn,
    invariants: ['accepted-undone', 'not-converged'],
  },
];

describe('invariant oracle', () => {
  FAULTY_COMPONENTS.forEach(({ fault, component: Component, invariants }) => {
    it(`catches a component that ${fault}, with a short script`, () => {
      const { failure } = fuzzToy((context) => new Component(context));
      expect(invariants).to.include(failure?.violation.invariant);
      expect(failure?.script.length).to.be.at.most(4);
    });
  });
});
