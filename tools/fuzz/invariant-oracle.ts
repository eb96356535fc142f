/**
 * The oracle: what must hold on every node after every event, told from what a component holds and
 * from what was published, with no knowledge of how the component works.
 */
import type { ControlEffect } from '../../src/control/control-event.js';
import { VersionedDocument } from '../../src/model/document.js';
import type { ResourceKey } from '../../src/model/resource.js';
import { findDanglingReferences, type Snapshot } from '../../src/model/snapshot.js';
import { canonicalJson } from '../../src/model/canonical-json.js';
import { compareVersions, type DocumentVersion } from '../../src/model/version.js';
import { DOCUMENT_NAMES, type DocumentName } from '../../src/wire/message.js';
import type { EmulatedProcess, HeldDocuments } from '../emulator/emulated-process.js';
import type { Emulator } from '../emulator/emulator.js';
import { OperatorWrites, type ProcessCensus } from './operator-writes.js';

/** What must always hold; the last two are judged after healing. */
export const INVARIANTS = [
  'version-fell',
  'dangling-reference',
  'partial-version',
  'reader-bound',
  'accepted-undone',
  'not-converged',
] as const;
export type Invariant = (typeof INVARIANTS)[number];

/** A break of an invariant. */
export interface Violation {
  readonly invariant: Invariant;
  readonly atMs: number;
  readonly detail: string;
}

/** Thrown at the first violation, so that a script stops there. */
export class InvariantViolationError extends Error {
  override readonly name = 'InvariantViolationError';

  constructor(readonly violation: Violation) {
    super(`${violation.invariant} at ${violation.atMs} ms: ${violation.detail}`);
  }
}

/** Versions that every node must have reached. */
export interface ExpectedVersions {
  readonly source: DocumentVersion;
  readonly operator: DocumentVersion;
}

interface Seen {
  readonly held: HeldDocuments;
  readonly snapshot: Snapshot | undefined;
}

/** Watches one emulated fleet. */
export class InvariantOracle {
  /** Events that were checked. */
  eventsChecked = 0;
  readonly writes: OperatorWrites;
  private readonly seen = new Map<EmulatedProcess, Seen>();

  constructor(private readonly emulator: Emulator) {
    const census: ProcessCensus = {
      isHeld: ({ version }) =>
        this.heldVersions('operator').some(({ digest }) => digest === version.digest),
      survivors: (machineIds, sinceMs) =>
        emulator.liveProcesses().filter(({ identity, startedAtMs }) => {
          return startedAtMs <= sinceMs && machineIds.includes(identity.id);
        }).length,
      get nowMs() {
        return emulator.nowMs;
      },
    };
    this.writes = new OperatorWrites(census, (detail) => this.fail('accepted-undone', detail));
  }

  /** Checks a process after an event. Throws {@link InvariantViolationError}. */
  afterEvent(process: EmulatedProcess, effects: readonly ControlEffect[]): void {
    this.eventsChecked += 1;
    const before = this.seen.get(process);
    const held = process.component.heldDocuments();
    for (const name of DOCUMENT_NAMES) {
      if (held[name] !== before?.held[name]) {
        this.checkDocument(process, name, before?.held[name], held[name]);
      }
    }
    let snapshot = before?.snapshot;
    for (const effect of effects) {
      if (effect.type === 'snapshot-changed') {
        this.checkSnapshot(process, snapshot, effect.snapshot, held);
        snapshot = effect.snapshot;
      }
    }
    this.seen.set(process, { held, snapshot });
  }

  /** Checks the platform's count of readers. Throws {@link InvariantViolationError}. */
  checkReaders(): void {
    const { platform } = this.emulator;
    if (platform.peakReaders > platform.options.readerBound) {
      this.fail('reader-bound', `${platform.peakReaders} readers at once`);
    }
  }

  /** The newest version of a document that a live process holds. */
  newestHeld(name: DocumentName): DocumentVersion {
    return this.heldVersions(name).reduce(
      (newest, version) => (compareVersions(version, newest) > 0 ? version : newest),
      VersionedDocument.empty().version,
    );
  }

  /** Why the fleet has not settled at `expected` or newer; undefined when it has. */
  findDivergence(expected: ExpectedVersions): Violation | undefined {
    return (
      this.findOlder('source', expected.source) ??
      this.findOlder('operator', expected.operator) ??
      this.findDifference('source') ??
      this.findDifference('operator') ??
      this.findDifference('machines')
    );
  }

  fail(invariant: Invariant, detail: string): never {
    throw new InvariantViolationError({ invariant, atMs: this.emulator.nowMs, detail });
  }

  private findOlder(name: DocumentName, expected: DocumentVersion): Violation | undefined {
    const older = this.heldVersions(name).find((version) => compareVersions(version, expected) < 0);
    if (older === undefined) {
      return undefined;
    }
    const detail = `${name}: a node holds ${describe(older)}, ${describe(expected)} was held`;
    return { invariant: 'accepted-undone', atMs: this.emulator.nowMs, detail };
  }

  private findDifference(name: DocumentName): Violation | undefined {
    const versions = this.heldVersions(name);
    const [first] = versions;
    const other = versions.find(
      ({ number, digest }) => number !== first?.number || digest !== first.digest,
    );
    if (other === undefined || first === undefined) {
      return undefined;
    }
    const detail = `${name}: nodes hold ${describe(first)} and ${describe(other)}`;
    return { invariant: 'not-converged', atMs: this.emulator.nowMs, detail };
  }

  private heldVersions(name: DocumentName): DocumentVersion[] {
    return this.emulator
      .liveProcesses()
      .map((process) => process.component.heldDocuments()[name].version);
  }

  private checkDocument(
    process: EmulatedProcess,
    name: DocumentName,
    before: VersionedDocument | undefined,
    after: VersionedDocument,
  ): void {
    const where = `${process.identity.id} ${name}`;
    if (before !== undefined && compareVersions(after.version, before.version) < 0) {
      const detail = `${where}: ${describe(before.version)} to ${describe(after.version)}`;
      this.fail('version-fell', detail);
    }
    const { number, digest } = after.version;
    if (number === 0) {
      return;
    }
    const content = new Map([...after.entries.values()].map((entry) => [entry.key, entry.json]));
    const recomputed = VersionedDocument.fromValues(number, content).version.digest;
    const published =
      name === 'operator' || this.emulator.platform.publishedDigests.has(`${number}:${digest}`);
    if (recomputed !== digest || !published) {
      this.fail('partial-version', `${where}: ${describe(after.version)} was never published`);
    }
    if (name === 'operator') {
      this.writes.seen(after);
    }
  }

  private checkSnapshot(
    process: EmulatedProcess,
    before: Snapshot | undefined,
    after: Snapshot,
    held: HeldDocuments,
  ): void {
    const { id } = process.identity;
    for (const name of ['source', 'operator'] as const) {
      const earlier = before?.version[name];
      if (earlier !== undefined && compareVersions(after.version[name], earlier) < 0) {
        this.fail('version-fell', `${id}: ${name} of the snapshot in force fell`);
      }
    }
    const [fault] = findDanglingReferences(after.resources);
    if (fault !== undefined) {
      this.fail('dangling-reference', `${id}: ${fault.path} ${fault.reason}`);
    }
    this.checkWhole(id, after, held);
  }

  /** Every resource is the operators' or the source's, and none of the source is left out. */
  private checkWhole(id: string, snapshot: Snapshot, { source, operator }: HeldDocuments): void {
    const isForeign = [...snapshot.resources].some(([key, resource]) => {
      const json = canonicalJson(resource);
      return operator.entries.get(key)?.json !== json && source.entries.get(key)?.json !== json;
    });
    const isLacking = [...source.entries.keys()].some(
      (key) => !snapshot.resources.has(key as ResourceKey) && !operator.entries.has(key),
    );
    if (isForeign || isLacking) {
      this.fail('partial-version', `${id}: the snapshot is not the documents it names`);
    }
  }
}

function describe(version: DocumentVersion): string {
  return `${version.number}:${version.digest.slice(0, 8)}`;
}
