/**
 * Messages among voters, and between a node that receives an operator's write and the primary. They
 * follow Viewstamped Replication Revisited (Liskov and Cowling 2012), with two differences: the log
 * contains at most one uncommitted operation, and a restarted process does not recover its former
 * role but joins with its new incarnation through a logged reconfiguration.
 */
import type { DocumentEntry } from '../model/document.js';
import type { OperatorWrite, WriteOutcome } from './operator-write.js';

/** Views are numbered within an epoch; a later epoch supersedes every view of an earlier one. */
export interface Ballot {
  readonly epoch: number;
  readonly view: number;
}

/** One operation of the log: its changes to the operators' document. */
export interface LogOperation {
  /** Position in the log, and the revision of the resulting document. */
  readonly number: number;
  readonly requestId: string;
  readonly upserts: readonly { readonly key: string; readonly json: string }[];
  readonly removals: readonly string[];
}

/** Serialized replicated state; see `replicated-state.ts`. */
export interface StateTransfer {
  readonly number: number;
  readonly entries: readonly DocumentEntry[];
  readonly requests: readonly { readonly requestId: string; readonly number: number }[];
  /** `requests` contains every request that was executed after this operation. */
  readonly requestsFrom: number;
}

/** Sent by the primary to have the voters append an operation. */
export interface PrepareMessage {
  readonly type: 'prepare';
  readonly ballot: Ballot;
  /** Operations up to this number are committed. */
  readonly commitNumber: number;
  readonly operation: LogOperation;
}

/** The sender's log in this view contains all operations up to `number`; also answers `commit`. */
export interface PrepareOkMessage {
  readonly type: 'prepare-ok';
  readonly ballot: Ballot;
  readonly number: number;
}

/** Heartbeat of the primary, which also announces the latest committed operation. */
export interface CommitMessage {
  readonly type: 'commit';
  readonly ballot: Ballot;
  readonly commitNumber: number;
}

/** The sender has left all earlier views and asks the other voters to do the same. */
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

/** The new primary's log at the start of the view. */
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

/** The sender's committed state and, if `normal`, its complete log in its view. */
export interface NewStateMessage {
  readonly type: 'new-state';
  readonly ballot: Ballot;
  readonly normal: boolean;
  readonly state: StateTransfer;
  readonly pending?: LogOperation | undefined;
}

/** Asks a participant whether a new group may be formed; if `binding`, asks for a promise. */
export interface FormationRequestMessage {
  readonly type: 'formation-request';
  /** Epoch of the group to be formed. */
  readonly epoch: number;
  readonly round: number;
  readonly binding: boolean;
  /** Revision of the sender's newest operators' document. */
  readonly number: number;
}

/** Answers `formation-request`. */
export interface FormationAnswerMessage {
  readonly type: 'formation-answer';
  readonly epoch: number;
  readonly round: number;
  readonly binding: boolean;
  /** Whether the sender agrees; in a binding answer, a promise to join no older formation. */
  readonly willing: boolean;
  /** Latest round that the sender has promised. */
  readonly promisedRound: number;
  /** Whether the sender is a voter of the previous epoch and still has its state. */
  readonly remembers: boolean;
  readonly lastNormalView: number;
  readonly pending?: LogOperation | undefined;
}

/** Sends an operator's write to the primary. */
export interface WriteMessage {
  readonly type: 'write';
  /** The same for every attempt of a write; unique in the fleet. */
  readonly requestId: string;
  /** Sequence number of the attempt within its request. */
  readonly attempt: number;
  /** Operators' revision of the sender when the write was submitted. */
  readonly baseRevision: number;
  readonly write: OperatorWrite;
}

/** The receiver is not the primary and did not, and will not, propose this attempt. */
export interface NotPrimaryOutcome {
  readonly outcome: 'not-primary';
  /** Machine that the receiver considers the primary. */
  readonly primaryId?: string | undefined;
}

/** Answers one attempt of `write`. */
export interface WriteAnswerMessage {
  readonly type: 'write-answer';
  readonly requestId: string;
  readonly attempt: number;
  readonly result: WriteOutcome | NotPrimaryOutcome;
}

/** Messages that belong to one view of one epoch; accepted only from voters of that epoch. */
export type BallotMessage =
  | PrepareMessage
  | PrepareOkMessage
  | CommitMessage
  | StartViewChangeMessage
  | DoViewChangeMessage
  | StartViewMessage;

/** Any replication message. */
export type ReplicationMessage =
  | BallotMessage
  | GetStateMessage
  | NewStateMessage
  | FormationRequestMessage
  | FormationAnswerMessage
  | WriteMessage
  | WriteAnswerMessage;
