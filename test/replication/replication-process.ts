/** One incarnation of a node's process in the emulated network: a replica and its document. */
import type { ControlEvent } from '../../src/control/control-event.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { VersionedDocument } from '../../src/model/document.js';
import { mergeDocuments } from '../../src/model/merge.js';
import type { Service } from '../../src/model/resource.js';
import { isNewer } from '../../src/model/version.js';
import { Replica } from '../../src/replication/replica.js';
import type { ReplicationFleet } from '../../src/replication/replica-options.js';

const WRITE_TIMEOUT_MS = 10_000;

/** Called whenever a replica reports an accepted revision. */
export type OnCommitted = (document: VersionedDocument) => void;

/** Fleet, documents and settings of a process. */
export interface ProcessEnvironment extends ReplicationFleet {
  readonly initialVoterIds: readonly string[];
  readonly targetVoterCount: number;
  readonly source: VersionedDocument;
  readonly onCommitted: OnCommitted;
}

/** One incarnation of a node's process. */
export interface Process {
  readonly identity: PeerIdentity;
  readonly replica: Replica;
  operator: VersionedDocument;
  isAlive: boolean;
  pausedUntilMs: number;
  wakeAtMs: number;
  readonly links: Set<string>;
  /** Events queued while the process is paused. */
  readonly backlog: ControlEvent[];
}

/** Creates a process with an empty document. */
export function createProcess(identity: PeerIdentity, environment: ProcessEnvironment): Process {
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
      initialVoterIds: environment.initialVoterIds,
      targetVoterCount: environment.targetVoterCount,
      writeTimeoutMs: WRITE_TIMEOUT_MS,
      counters: { add: () => undefined },
      fleet: environment,
      documents: {
        sourceDocument: () => environment.source,
        operatorDocument: () => process.operator,
        merge: mergeDocuments,
        versionOf: (resource) => String((resource as Service).spec.requestTimeoutMs),
        offerOperator: (document) => {
          environment.onCommitted(document);
          adoptDocument(process, document);
          return [];
        },
      },
    }),
  };
  return process;
}

/** Adopts a document if it is newer than the current one. */
export function adoptDocument(process: Process, document: VersionedDocument): void {
  if (isNewer(document.version, process.operator.version)) {
    process.operator = document;
  }
}
