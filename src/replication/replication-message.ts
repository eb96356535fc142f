/**
 * Messages among voters, and between a node that takes an operator's write and the primary. They
 * follow Viewstamped Replication Revisited (Liskov and Cowling 2012), with two differences: the log
 * holds at most one operation that is not committed, and a process that restarted does not recover
 * its old place but joins under its new incarnation through a logged reconfiguration.
 */
import type { DocumentEntry } from '../model/document.js';
import type { OperatorWrite, WriteOutcome } from './operator-write.js';

/** Views are numbered within an epoch; a later epoch outranks every view of an earlier one. */
export interface Ballot {
  readonly epoch: number;
  readonly view: number;
}

/** One operation of the log: what it changes in the operators' document. */
export interface LogOperation {
  /** Place in the log, and the revision of the document that it makes. */
  readonly number: number;
  readonly requestId: string;
  readonly upserts: readonly { readonly key: string; readonly json: string }[];
  readonly removals: readonly string[];
}

/** A replicated state as it is sent; see `replicated-state.ts`. */
export interface StateTransfer {
  readonly number: number;
  readonly entries: readonly DocumentEntry[];
  readonly requests: readonly { readonly requestId: string; readonly number: number }[];
  /** Every request that was executed after this operation is among `requests`. */
  readonly requestsFrom: number;
}

/** The primary asks the voters to hold an operation. */
export interface PrepareMessage {
  readonly type: 'prepare';
  readonly ballot: Ballot;
  /** Operations up to this number are committed. */
  readonly commitNumber: number;
  readonly operation: LogOperation;
}

/** The sender's log in this view holds every operation up to `number`; also answers `commit`. */
export interface PrepareOkMessage {
  readonly type: 'prepare-ok';
  readonly ballot: Ballot;
  readonly number: number;
}

/** Heartbeat of the primary, and the news that an operation is committed. */
export interface CommitMessage {
  readonly type: 'commit';
  readonly ballot: Ballot;
  readonly commitNumber: number;
}

/** The sender has left all earlier views and asks the others to do so. */
export interface StartViewChangeMessage {
  readonly type: 'start-view-change';
  readonly ballot: Ballot;
}

/** The sender's log, for the primary of the new view. */
export interface DoViewChangeMessage {
  readonly type: 'do-view-change';
  readonly ballot: Ballot;
  /** Latest view in which the sender's status was normal. */
  readonly lastNormalView: number;
  readonly commitNumber: number;
  readonly pending?: LogOperation | undefined;
}

/** The new primary's log, with which the view starts. */
export interface StartViewMessage {
  readonly type: 'start-view';
  readonly ballot: Ballot;
  readonly commitNumber: number;
  readonly pending?: LogOperation | undefined;
}

/** Asks for the receiver's state. */
export interface GetStateMessage {
  readonly type: 'get-state';
}

/** The sender's committed state, and where `normal` its whole log in its view. */
export interface NewStateMessage {
  readonly type: 'new-state';
  readonly ballot: Ballot;
  readonly normal: boolean;
  readonly state: StateTransfer;
  readonly pending?: LogOperation | undefined;
}

/** Asks a participant whether, and where `binding` that, a new group may be formed. */
export interface FormationRequestMessage {
  readonly type: 'formation-request';
  /** Epoch of the group to be formed. */
  readonly epoch: number;
  readonly round: number;
  readonly binding: boolean;
  /** Revision of the newest operators' document that the sender holds. */
  readonly number: number;
}

/** Answers `formation-request`. */
export interface FormationAnswerMessage {
  readonly type: 'formation-answer';
  readonly epoch: number;
  readonly round: number;
  readonly binding: boolean;
  /** Whether the sender agrees; a binding yes is a promise to join no older formation. */
  readonly willing: boolean;
  /** Latest round that the sender has promised. */
  readonly promisedRound: number;
  /** The sender is a voter of the epoch before and remembers its votes. */
  readonly remembers: boolean;
  readonly lastNormalView: number;
  readonly pending?: LogOperation | undefined;
}

/** An operator's write on its way to the primary. */
export interface WriteMessage {
  readonly type: 'write';
  /** The same for every attempt; unique among all writes of the fleet. */
  readonly requestId: string;
  /** Counts the attempts of one request. */
  readonly attempt: number;
  /** Operators' revision that the sender held when the write was submitted. */
  readonly baseRevision: number;
  readonly write: OperatorWrite;
}

/** The receiver is not the primary and did not, and will not, propose this attempt. */
export interface NotPrimaryOutcome {
  readonly outcome: 'not-primary';
  /** Machine whose process the receiver takes for the primary. */
  readonly primaryId?: string | undefined;
}

/** Answers one attempt of `write`. */
export interface WriteAnswerMessage {
  readonly type: 'write-answer';
  readonly requestId: string;
  readonly attempt: number;
  readonly result: WriteOutcome | NotPrimaryOutcome;
}

/** Messages that belong to one view of one epoch; only voters of the epoch are listened to. */
export type BallotMessage =
  | PrepareMessage
  | PrepareOkMessage
  | CommitMessage
  | StartViewChangeMessage
  | DoViewChangeMessage
  | StartViewMessage;

/** Every message of the replication. */
export type ReplicationMessage =
  | BallotMessage
  | GetStateMessage
  | NewStateMessage
  | FormationRequestMessage
  | FormationAnswerMessage
  | WriteMessage
  | WriteAnswerMessage;
