/**
 * Oracle of operators' writes. From every revision that a replica reported as committed, and from
 * the outcomes that writers received, it checks that the history is a linear sequence of atomic
 * writes.
 */
import { VersionedDocument } from '../../src/model/document.js';
import { compareVersions } from '../../src/model/version.js';
import type { OperatorWrite, WriteOutcome } from '../../src/replication/operator-write.js';
import { VOTERS_KEY } from '../../src/replication/voter-configuration.js';

/**
 * Resource that every deleting write also puts, so that the write can be identified by its value.
 */
export const MARKER_KEY = 'service/marker';

/** A violation of the guarantees of the replication. */
export class OracleViolation extends Error {
  override readonly name = 'OracleViolation';
}

interface SubmittedWrite {
  readonly write: OperatorWrite;
  readonly outcomes: WriteOutcome[];
  /** Revisions in which the write took effect. */
  readonly revisions: number[];
  /** A writer that has died receives no outcome, which is treated as `unknown`. */
  readonly isWriterAlive: () => boolean;
}

/** JSON of a service that is put only by the write with this value. */
export function serviceJson(key: string, value: number): string {
  const name = key.slice('service/'.length);
  return JSON.stringify({ kind: 'service', name, spec: { requestTimeoutMs: value } });
}

/** Records revisions and outcomes, and checks them. */
export class WriteOracle {
  readonly documents = new Map<number, VersionedDocument>();
  newest = VersionedDocument.empty();
  private readonly writes = new Map<number, SubmittedWrite>();

  /** Records a committed document. A revision must have the same content at every replica. */
  onCommitted(document: VersionedDocument): void {
    const { number } = document.version;
    const known = this.documents.get(number);
    if (known !== undefined && compareVersions(known.version, document.version) !== 0) {
      throw new OracleViolation(`two different documents at revision ${number}`);
    }
    this.documents.set(number, known ?? document);
    if (number > this.newest.version.number) {
      this.newest = document;
    }
  }

  /** Records a write that puts `value`, and returns the listener for its outcome. */
  submit(
    value: number,
    write: OperatorWrite,
    isWriterAlive: () => boolean,
  ): (outcome: WriteOutcome) => void {
    const submitted: SubmittedWrite = {
      write,
      outcomes: [],
      revisions: [],
      isWriterAlive,
    };
    this.writes.set(value, submitted);
    return (outcome) => submitted.outcomes.push(outcome);
  }

  /** Outcomes reported so far. */
  outcomes(): WriteOutcome[] {
    return [...this.writes.values()].flatMap(({ outcomes }) => outcomes);
  }

  /** Checks the history; throws {@link OracleViolation}. */
  check(): void {
    let previous = VersionedDocument.empty();
    const documents = [...this.documents.values()].sort((left, right) =>
      compareVersions(left.version, right.version),
    );
    for (const document of documents) {
      this.checkRevision(previous, document);
      previous = document;
    }
    for (const [value, submitted] of this.writes) {
      checkOutcome(value, submitted);
    }
  }

  private checkRevision(before: VersionedDocument, after: VersionedDocument): void {
    const { number } = after.version;
    const isFormation = number % 1_000_000 === 0 && number > 0;
    if (number !== before.version.number + 1 && !isFormation) {
      throw new OracleViolation(`gap between revisions ${before.version.number} and ${number}`);
    }
    const values = [...after.entries.values()]
      .filter((entry) => entry.changedAt === number && entry.key !== VOTERS_KEY)
      .map((entry) => valueOf(entry.json));
    const [value] = values;
    const submitted = value === undefined ? undefined : this.writes.get(value);
    if (new Set(values).size > 1 || (value !== undefined && submitted === undefined)) {
      throw new OracleViolation(`revision ${number} does not match exactly one submitted write`);
    }
    if (submitted !== undefined) {
      submitted.revisions.push(number);
      checkPreconditions(submitted.write, before, number);
    }
    checkContent(submitted?.write, before, after);
  }
}

function valueOf(json: string): number {
  return (JSON.parse(json) as { spec: { requestTimeoutMs: number } }).spec.requestTimeoutMs;
}

function checkPreconditions(write: OperatorWrite, before: VersionedDocument, number: number): void {
  for (const { key, precondition } of write.changes) {
    const held = versionIn(before, key);
    const expected = precondition?.type === 'version' ? precondition.version : undefined;
    if (precondition !== undefined && held !== expected) {
      throw new OracleViolation(
        `revision ${number}: ${key} had version ${held}, expected ${expected}`,
      );
    }
  }
}

/** Version of a resource in these tests: the value of the write that put it. */
export function versionIn(document: VersionedDocument, key: string): string | undefined {
  const entry = document.entries.get(key);
  return entry === undefined ? undefined : String(valueOf(entry.json));
}

/**
 * Checks that the revision differs from the previous one by exactly this write, ignoring the
 * voters.
 */
function checkContent(
  write: OperatorWrite | undefined,
  before: VersionedDocument,
  after: VersionedDocument,
): void {
  const expected = contentOf(before);
  for (const { key, json } of write?.changes ?? []) {
    if (json === null) {
      expected.delete(key);
    } else {
      expected.set(key, valueOf(json));
    }
  }
  const actual = contentOf(after);
  const isEqual =
    actual.size === expected.size &&
    [...actual].every(([key, value]) => expected.get(key) === value);
  if (!isEqual) {
    throw new OracleViolation(`revision ${after.version.number} reverts or adds changes`);
  }
}

function contentOf(document: VersionedDocument): Map<string, number> {
  const resources = [...document.entries.values()].filter(({ key }) => key !== VOTERS_KEY);
  return new Map(resources.map(({ key, json }) => [key, valueOf(json)]));
}

function checkOutcome(value: number, submitted: SubmittedWrite): void {
  const { revisions, isWriterAlive } = submitted;
  const lostOutcome: WriteOutcome[] = isWriterAlive() ? [] : [{ outcome: 'unknown' }];
  const outcomes = submitted.outcomes.length > 0 ? submitted.outcomes : lostOutcome;
  const [outcome] = outcomes;
  if (outcome === undefined || outcomes.length > 1) {
    throw new OracleViolation(`write ${value} received ${outcomes.length} outcomes, expected 1`);
  }
  if (revisions.length > 1) {
    throw new OracleViolation(
      `write ${value} took effect more than once, in ${revisions.join(' and ')}`,
    );
  }
  if (outcome.outcome === 'accepted' && revisions[0] !== outcome.revision) {
    throw new OracleViolation(
      `write ${value} was accepted at revision ${outcome.revision}, but found at ${revisions.join()}`,
    );
  }
  if (!['accepted', 'unknown'].includes(outcome.outcome) && revisions.length > 0) {
    throw new OracleViolation(`write ${value} has outcome ${outcome.outcome} but took effect`);
  }
}
