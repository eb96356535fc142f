/** Normal operation: the primary proposes one operation at a time, a majority holds it, it commits. */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { ReplicaCore } from './replica-core.js';
import type {
  CommitMessage,
  LogOperation,
  PrepareMessage,
  PrepareOkMessage,
} from './replication-message.js';
import { newStateMessage, requestState } from './state-transfer.js';
import { majorityOf } from './voter-configuration.js';

/** Primary: puts `operation` into the log and asks the voters to hold it. */
export function propose(core: ReplicaCore, operation: LogOperation): void {
  core.pending = operation;
  core.broadcast(prepareMessage(core, operation));
  commitIfHeld(core);
}

/** Primary: sends heartbeats, with the pending operation again where there is one. */
export function sendHeartbeat(core: ReplicaCore): void {
  if (core.pending === undefined) {
    core.broadcast(commitMessage(core));
  } else {
    core.broadcast(prepareMessage(core, core.pending));
  }
}

/** Backup: takes an operation into its log, if it holds all before it. */
export function onPrepare(core: ReplicaCore, from: PeerIdentity, message: PrepareMessage): void {
  if (!isFromPrimaryOfThisView(core, from, message.ballot.view)) {
    return;
  }
  if (!advanceCommit(core, from, message.commitNumber, message.ballot.epoch)) {
    return;
  }
  const { operation } = message;
  if (operation.number === core.commitNumber + 1) {
    core.pending = operation;
  }
  core.acknowledge(from);
}

/** Backup: learns what is committed, and that the primary lives. */
export function onCommit(core: ReplicaCore, from: PeerIdentity, message: CommitMessage): void {
  if (!isFromPrimaryOfThisView(core, from, message.ballot.view)) {
    return;
  }
  if (advanceCommit(core, from, message.commitNumber, message.ballot.epoch)) {
    core.acknowledge(from);
  }
}

/** Primary: counts who holds the pending operation. */
export function onPrepareOk(
  core: ReplicaCore,
  from: PeerIdentity,
  message: PrepareOkMessage,
): void {
  if (message.ballot.view !== core.view || !core.isPrimary) {
    return;
  }
  const known = core.acknowledged.get(from.id) ?? 0;
  core.acknowledged.set(from.id, Math.max(known, message.number));
  commitIfHeld(core);
}

/** Primary: commits the pending operation once a majority of the voters holds it. */
export function commitIfHeld(core: ReplicaCore): void {
  const { pending, state } = core;
  if (pending === undefined || state === undefined || !core.isPrimary) {
    return;
  }
  const selfId = core.options.self.id;
  const holders = state.configuration.voters.filter(
    (voter) => voter.id === selfId || (core.acknowledged.get(voter.id) ?? 0) >= pending.number,
  );
  if (holders.length < majorityOf(state.configuration)) {
    return;
  }
  const epochBefore = core.epoch;
  core.executePending();
  if (core.epoch === epochBefore) {
    core.broadcast(commitMessage(core));
  } else {
    announceEpoch(core);
  }
}

/** Hands the state of a new epoch to all its voters. */
export function announceEpoch(core: ReplicaCore): void {
  const message = newStateMessage(core);
  if (message !== undefined) {
    core.broadcast(message);
  }
}

/** Whether the sender leads the view that this replica is in; where it should be, it catches up. */
function isFromPrimaryOfThisView(core: ReplicaCore, from: PeerIdentity, view: number): boolean {
  if (view < core.view) {
    core.send(from, { type: 'start-view-change', ballot: core.ballot });
    return false;
  }
  if (view > core.view || core.status !== 'normal') {
    requestState(core, from);
    return false;
  }
  if (core.primary()?.id !== from.id) {
    return false;
  }
  core.extendView();
  return true;
}

/** Executes what is known to be committed; false when this log does not reach that far. */
function advanceCommit(
  core: ReplicaCore,
  from: PeerIdentity,
  commitNumber: number,
  epoch: number,
): boolean {
  if (core.pending !== undefined && core.pending.number <= commitNumber) {
    core.executePending();
  }
  if (core.commitNumber < commitNumber) {
    requestState(core, from);
    return false;
  }
  return core.epoch === epoch;
}

function prepareMessage(core: ReplicaCore, operation: LogOperation): PrepareMessage {
  const { ballot, commitNumber } = core;
  return { type: 'prepare', ballot, commitNumber, operation };
}

function commitMessage(core: ReplicaCore): CommitMessage {
  return { type: 'commit', ballot: core.ballot, commitNumber: core.commitNumber };
}
