/** Normal operation: the primary proposes one operation at a time and commits it at a majority. */
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

/** Primary: appends `operation` to the log and sends it to the voters. */
export function propose(core: ReplicaCore, operation: LogOperation): void {
  core.pending = operation;
  core.broadcast(prepareMessage(core, operation));
  commitIfAcknowledged(core);
}

/** Primary: sends a heartbeat, or sends the pending operation again if there is one. */
export function sendHeartbeat(core: ReplicaCore): void {
  if (core.pending === undefined) {
    core.broadcast(commitMessage(core));
  } else {
    core.broadcast(prepareMessage(core, core.pending));
  }
}

/** Backup: appends an operation to its log if the log contains all earlier ones. */
export function onPrepare(core: ReplicaCore, from: PeerIdentity, message: PrepareMessage): void {
  if (!isFromCurrentPrimary(core, from, message.ballot.view)) {
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

/** Backup: handles a heartbeat and advances the commit number. */
export function onCommit(core: ReplicaCore, from: PeerIdentity, message: CommitMessage): void {
  if (!isFromCurrentPrimary(core, from, message.ballot.view)) {
    return;
  }
  if (advanceCommit(core, from, message.commitNumber, message.ballot.epoch)) {
    core.acknowledge(from);
  }
}

/** Primary: counts the acknowledgements of the pending operation. */
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
  commitIfAcknowledged(core);
}

/** Primary: commits the pending operation once a majority of the voters has acknowledged it. */
export function commitIfAcknowledged(core: ReplicaCore): void {
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

/** Sends the state of a new epoch to all its voters. */
export function announceEpoch(core: ReplicaCore): void {
  const message = newStateMessage(core);
  if (message !== undefined) {
    core.broadcast(message);
  }
}

/**
 * Whether the sender is the primary of this replica's current view. If either side is in an older
 * view, also triggers its catch-up.
 */
function isFromCurrentPrimary(core: ReplicaCore, from: PeerIdentity, view: number): boolean {
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
  core.extendViewDeadline();
  return true;
}

/** Executes operations up to `commitNumber`; false if this log does not contain all of them. */
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
