/**
 * Result of executing the log: the operators' document, and the recent requests, so that a repeated
 * request is not executed again. Immutable; every operation creates a new state.
 */
import { VersionedDocument, type DocumentEntry } from '../model/document.js';
import type { LogOperation, StateTransfer } from './replication-message.js';
import { configurationOf, type VoterConfiguration } from './voter-configuration.js';

/** Number of recent operations whose request identities are kept. */
export const REQUEST_WINDOW_OPERATIONS = 512;

/** Thrown for a document without a voter configuration, which can not be a state of the log. */
export class MissingConfigurationError extends Error {
  override readonly name = 'MissingConfigurationError';
  readonly code = 'MISSING_VOTER_CONFIGURATION';
}

/** The result of all operations up to one number. */
export class ReplicatedState {
  readonly configuration: VoterConfiguration;

  constructor(
    readonly document: VersionedDocument,
    /** Operation numbers keyed by request identity, oldest first. */
    readonly requests: ReadonlyMap<string, number>,
    /** `requests` contains every request that was executed after this operation. */
    readonly requestsFrom: number,
  ) {
    const configuration = configurationOf(document);
    if (configuration === undefined) {
      throw new MissingConfigurationError(
        `operators' document at revision ${document.version.number} has no valid voter configuration`,
      );
    }
    this.configuration = configuration;
  }

  /** Number of the last operation, which is the operators' revision. */
  get number(): number {
    return this.document.version.number;
  }

  /** Returns the state after `operation`, whose number must be the next one. */
  execute(operation: LogOperation): ReplicatedState {
    const document = this.document.change(operation.number, operation.upserts, operation.removals);
    const requests = new Map(this.requests);
    const windowFrom = operation.number - REQUEST_WINDOW_OPERATIONS;
    requests.set(operation.requestId, operation.number);
    for (const [requestId, number] of requests) {
      if (number > windowFrom) {
        break;
      }
      requests.delete(requestId);
    }
    return new ReplicatedState(document, requests, Math.max(this.requestsFrom, windowFrom));
  }

  /** Serializable form of the state for a state transfer. */
  toTransfer(): StateTransfer {
    const entries: DocumentEntry[] = [...this.document.entries.values()];
    const requests = [...this.requests].map(([requestId, number]) => ({ requestId, number }));
    return { number: this.number, entries, requests, requestsFrom: this.requestsFrom };
  }

  /** Creates a state from a document whose requests are not known. */
  static fromDocument(document: VersionedDocument): ReplicatedState {
    return new ReplicatedState(document, new Map(), document.version.number);
  }

  /** Creates a state from a state transfer; undefined if it has no voter configuration. */
  static fromTransfer(transfer: StateTransfer): ReplicatedState | undefined {
    const document = VersionedDocument.fromEntries(transfer.number, transfer.entries);
    if (configurationOf(document) === undefined) {
      return undefined;
    }
    const requests = new Map(
      transfer.requests.map(({ requestId, number }) => [requestId, number] as const),
    );
    return new ReplicatedState(document, requests, transfer.requestsFrom);
  }
}
