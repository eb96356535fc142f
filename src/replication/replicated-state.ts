/**
 * What the log's operations build: the operators' document and the recent requests, so that a request
 * that is sent again is not executed again. Immutable; every operation makes a new one.
 */
import { VersionedDocument, type DocumentEntry } from '../model/document.js';
import type { LogOperation, StateTransfer } from './replication-message.js';
import { configurationOf, type VoterConfiguration } from './voter-configuration.js';

/** Operations whose request identities are remembered. */
export const REQUEST_WINDOW_OPERATIONS = 512;

/** Thrown for a document that is no state of the log: it carries no voter configuration. */
export class MissingConfigurationError extends Error {
  override readonly name = 'MissingConfigurationError';
  readonly code = 'MISSING_VOTER_CONFIGURATION';
}

/** The result of all operations up to one number. */
export class ReplicatedState {
  readonly configuration: VoterConfiguration;

  constructor(
    readonly document: VersionedDocument,
    /** Request identities to the numbers of the operations that they became, oldest first. */
    readonly requests: ReadonlyMap<string, number>,
    /** Every request that was executed after this operation is among `requests`. */
    readonly requestsFrom: number,
  ) {
    const configuration = configurationOf(document);
    if (configuration === undefined) {
      throw new MissingConfigurationError(`revision ${document.version.number}`);
    }
    this.configuration = configuration;
  }

  /** Number of the last operation; the operators' revision. */
  get number(): number {
    return this.document.version.number;
  }

  /** The state after `operation`, whose number must be the next one. */
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

  /** The state in the form in which it is sent. */
  toTransfer(): StateTransfer {
    const entries: DocumentEntry[] = [...this.document.entries.values()];
    const requests = [...this.requests].map(([requestId, number]) => ({ requestId, number }));
    return { number: this.number, entries, requests, requestsFrom: this.requestsFrom };
  }

  /** The state of a document whose requests are not known. */
  static fromDocument(document: VersionedDocument): ReplicatedState {
    return new ReplicatedState(document, new Map(), document.version.number);
  }

  /** The state that was sent; undefined when it carries no voter configuration. */
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
