/**
 * Operators' writes of a fuzzing script: each puts a value of its own, or deletes, one of a few
 * resources. What was accepted must stand in every operators' document of its revision.
 */
import type { VersionedDocument } from '../../src/model/document.js';
import { DELETED_JSON } from '../../src/model/merge.js';
import type { OperatorWrite, WriteOutcome } from '../../src/replication/operator-write.js';
import { configurationOf } from '../../src/replication/voter-configuration.js';
import type { FuzzAction } from './fuzz-command.js';

type WriteAction = Extract<FuzzAction, { type: 'operator-write' }>;

/** A write that its writer was told is accepted. */
interface AcceptedWrite {
  readonly key: string;
  /** The value that it put; undefined for a deletion. */
  readonly value: number | undefined;
}

/** What the oracle knows of the processes that run. */
export interface ProcessCensus {
  /** Whether a process that runs holds the operators' document. */
  isHeld(document: VersionedDocument): boolean;
  /** Of the machines named, those whose process has run since `sinceMs` without a restart. */
  survivors(machineIds: readonly string[], sinceMs: number): number;
  readonly nowMs: number;
}

interface KnownDocument {
  readonly document: VersionedDocument;
  readonly firstSeenMs: number;
}

/**
 * Finds writes that were accepted and do not stand. Replication promises to survive any minority of
 * its voters: a document that no process holds any more may be forgotten once a majority of the
 * voters that it names has died.
 */
export class OperatorWrites {
  accepted = 0;
  private submitted = 0;
  private readonly acceptedByRevision = new Map<number, AcceptedWrite>();
  private readonly documents = new Map<number, KnownDocument>();

  /** `onFault` is told of an accepted write that does not stand, and of two documents of one revision. */
  constructor(
    private readonly census: ProcessCensus,
    private readonly onFault: (detail: string) => void,
  ) {}

  /** The write of an action, and the listener for its outcome. */
  submit(action: WriteAction): {
    write: OperatorWrite;
    onOutcome: (outcome: WriteOutcome) => void;
  } {
    this.submitted += 1;
    const value = this.submitted;
    const name = `operator-${action.resource}`;
    const key = `service/${name}`;
    const resource = { kind: 'service', name, spec: { requestTimeoutMs: value } };
    const json = action.isDeletion ? null : JSON.stringify(resource);
    const precondition = action.precondition === 'none' ? undefined : { type: action.precondition };
    const accepted = { key, value: action.isDeletion ? undefined : value };
    return {
      write: { changes: [{ key, json, precondition }] },
      onOutcome: (outcome) => this.noteOutcome(accepted, outcome),
    };
  }

  /** A node holds the document. */
  seen(document: VersionedDocument): void {
    const { number, digest } = document.version;
    const known = this.documents.get(number);
    if (known?.document.version.digest === digest) {
      return;
    }
    if (known !== undefined) {
      this.forgetLost(known);
    }
    this.documents.set(number, { document, firstSeenMs: this.census.nowMs });
    this.check(number);
  }

  private forgetLost({ document, firstSeenMs }: KnownDocument): void {
    const { number } = document.version;
    const voterIds = (configurationOf(document)?.voters ?? []).map(({ id }) => id);
    const survivors = this.census.survivors(voterIds, firstSeenMs);
    if (this.census.isHeld(document) || 2 * survivors > voterIds.length) {
      this.onFault(`two operators' documents of revision ${number}`);
    }
    deleteFrom(this.acceptedByRevision, number);
    deleteFrom(this.documents, number);
  }

  private noteOutcome(write: AcceptedWrite, outcome: WriteOutcome): void {
    if (outcome.outcome === 'accepted') {
      this.accepted += 1;
      this.acceptedByRevision.set(outcome.revision, write);
      this.check(outcome.revision);
    }
  }

  private check(revision: number): void {
    const write = this.acceptedByRevision.get(revision);
    const document = this.documents.get(revision)?.document;
    if (write === undefined || document === undefined) {
      return;
    }
    const json = document.entries.get(write.key)?.json;
    if (valueOf(json) !== write.value) {
      this.onFault(`accepted write of ${write.key} is not in revision ${revision}`);
    }
  }
}

function deleteFrom(byRevision: Map<number, unknown>, first: number): void {
  for (const revision of [...byRevision.keys()]) {
    if (revision >= first) {
      byRevision.delete(revision);
    }
  }
}

function valueOf(json: string | undefined): number | undefined {
  if (json === undefined || json === DELETED_JSON) {
    return undefined;
  }
  const resource = JSON.parse(json) as { spec: { requestTimeoutMs: number } };
  return resource.spec.requestTimeoutMs;
}
