/**
 * View change: a majority leaves a view, and the next primary starts the new view from their logs.
 */
import { REPLICATION_COUNTERS } from './replication-counters.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { commitIfAcknowledged } from './normal-operation.js';
import type { ReplicaCore } from './replica-core.js';
import type {
  DoViewChangeMessage,
  StartViewChangeMessage,
  StartViewMessage,
} from './replication-message.js';
import { requestState, sendState } from './state-transfer.js';
import { majorityOf } from './voter-configuration.js';

/** Leaves the current view for `view` and notifies the other voters. */
export function startViewChange(core: ReplicaCore, view: number): void {
  core.enterViewChange(view);
  core.options.counters.add(REPLICATION_COUNTERS.viewChanges);
  announceViewChange(core);
  completeViewChange(core);
}

/** Announces the view change; repeated at each heartbeat in case an announcement was lost. */
export function announceViewChange(core: ReplicaCore): void {
  core.broadcast({ type: 'start-view-change', ballot: core.ballot });
  const primary = core.primary();
  if (primary !== undefined) {
    core.send(primary, localLog(core));
  }
}

/** Joins another voter's view change if its view is later. */
export function onStartViewChange(
  core: ReplicaCore,
  from: PeerIdentity,
  message: StartViewChangeMessage,
): void {
  const { view } = message.ballot;
  if (view > core.view) {
    startViewChange(core, view);
  } else if (core.status === 'normal') {
    sendState(core, from);
  }
}

/** Next primary: collects the logs of a majority. */
export function onDoViewChange(
  core: ReplicaCore,
  from: PeerIdentity,
  message: DoViewChangeMessage,
): void {
  const { view } = message.ballot;
  if (view < core.view) {
    return;
  }
  if (view > core.view) {
    startViewChange(core, view);
  }
  if (core.status === 'normal') {
    sendState(core, from);
    return;
  }
  core.collectedLogs.set(from.id, message);
  completeViewChange(core);
}

/** Backup: enters the view with the new primary's log. */
export function onStartView(
  core: ReplicaCore,
  from: PeerIdentity,
  message: StartViewMessage,
): void {
  const { view } = message.ballot;
  if (view < core.view || (view === core.view && core.status === 'normal')) {
    return;
  }
  if (core.commitNumber < message.commitNumber) {
    requestState(core, from);
    return;
  }
  core.becomeNormal(view, message.pending);
  core.acknowledge(from);
}

/**
 * Next primary: starts the view once a majority has sent its log. The longest log among those with
 * the latest normal view contains every operation that may have been committed.
 */
export function completeViewChange(core: ReplicaCore): void {
  const { state } = core;
  if (core.status !== 'view-change' || core.primary()?.id !== core.options.self.id) {
    return;
  }
  const logs = [localLog(core), ...core.collectedLogs.values()];
  if (state === undefined || logs.length < majorityOf(state.configuration)) {
    return;
  }
  if (requestMissingState(core)) {
    return;
  }
  const latest = logs.reduce((left, right) => (isLaterLog(right, left) ? right : left));
  core.becomeNormal(core.view, latest.pending);
  const { ballot, commitNumber, pending } = core;
  core.report('replication-view', `primary of view ${ballot.view} in epoch ${ballot.epoch}`);
  core.broadcast({ type: 'start-view', ballot, commitNumber, pending });
  commitIfAcknowledged(core);
}

/** Whether another log has more committed operations; if so, requests the sender's state. */
function requestMissingState(core: ReplicaCore): boolean {
  for (const [id, log] of core.collectedLogs) {
    const link = core.links.get(id);
    if (log.commitNumber > core.commitNumber) {
      if (link !== undefined) {
        requestState(core, link);
      }
      return true;
    }
  }
  return false;
}

function isLaterLog(left: DoViewChangeMessage, right: DoViewChangeMessage): boolean {
  if (left.lastNormalView !== right.lastNormalView) {
    return left.lastNormalView > right.lastNormalView;
  }
  return operationNumberOf(left) > operationNumberOf(right);
}

function operationNumberOf(log: DoViewChangeMessage): number {
  return log.pending?.number ?? log.commitNumber;
}

function localLog(core: ReplicaCore): DoViewChangeMessage {
  const { ballot, lastNormalView, commitNumber, pending } = core;
  return { type: 'do-view-change', ballot, lastNormalView, commitNumber, pending };
}
