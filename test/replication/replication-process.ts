/** One run of a node's process in the emulated network: a replica and the document that it holds. */
import type { ControlEvent } from '../../src/control/control-event.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { VersionedDocument } from '../../src/model/document.js';
import { mergeDocuments } from '../../src/model/merge.js';
import type { Service } from '../../src/model/resource.js';
import { isNewer } from '../../src/model/version.js';
import { Replica } from '../../src/replication/replica.js';
import type { ReplicationFleet } from '../../src/replication/replica-options.js';

const WRITE_TIMEOUT_MS = 10_000;

/** Called whenever a replica says that a revision is accepted. */
export type OnCommitted = (document: VersionedDocument) => void;

/** What surrounds a process. */
export interface Surroundings extends ReplicationFleet {
  readonly initialVoterIds: readonly string[];
  readonly targetVoterCount: number;
  readonly source: VersionedDocument;
  readonly onCommitted: OnCommitted;
}

/** See the module's comment. */
export interface Process {
  readonly identity: PeerIdentity;
  readonly replica: Replica;
  operator: VersionedDocument;
  isAlive: boolean;
  pausedUntilMs: number;
  wakeAtMs: number;
  readonly links: Set<string>;
  /** Events not handled yet, because the process is paused. */
  readonly backlog: ControlEvent[];
}

/** Starts a process that holds nothing. */
export function createProcess(identity: PeerIdentity, surroundings: Surroundings): Process {
  const process: Process = {
    identity,
    operator: VersionedDocument.empty(),
    isAlive: true,
    pausedUntilMs: 0,
    wakeAtMs: Infinity,
    links: new Set(),
    backlog: [],
    replica: new Replica({
      self: identity,
      initialVoterIds: surroundings.initialVoterIds,
      targetVoterCount: surroundings.targetVoterCount,
      writeTimeoutMs: WRITE_TIMEOUT_MS,
      counters: { add: () => undefined },
      fleet: surroundings,
      documents: {
        sourceDocument: () => surroundings.source,
        operatorDocument: () => process.operator,
        merge: mergeDocuments,
        versionOf: (resource) => String((resource as Service).spec.requestTimeoutMs),
        offerOperator: (document) => {
          surroundings.onCommitted(document);
          adoptDocument(process, document);
          return [];
        },
      },
    }),
  };
  return process;
}

/** A held document only rises. */
export function adoptDocument(process: Process, document: VersionedDocument): void {
  if (isNewer(document.version, process.operator.version)) {
    process.operator = document;
  }
}
