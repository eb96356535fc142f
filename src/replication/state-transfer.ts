/** State transfer: a replica that lacks operations adopts another's committed state and log. */
import { REPLICATION_COUNTERS } from './replication-counters.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { ReplicaCore } from './replica-core.js';
import { ReplicatedState } from './replicated-state.js';
import type { NewStateMessage } from './replication-message.js';

/** Requests the state of `from`. */
export function requestState(core: ReplicaCore, from: PeerIdentity): void {
  core.send(from, { type: 'get-state' });
}

/** The message that transfers this replica's state; undefined while it has none. */
export function newStateMessage(core: ReplicaCore): NewStateMessage | undefined {
  if (core.state === undefined) {
    return undefined;
  }
  const normal = core.status === 'normal' && core.mayVote;
  return {
    type: 'new-state',
    ballot: core.ballot,
    normal,
    state: core.state.toTransfer(),
    pending: normal ? core.pending : undefined,
  };
}

/** Answers `get-state`. */
export function sendState(core: ReplicaCore, to: PeerIdentity): void {
  const message = newStateMessage(core);
  if (message !== undefined) {
    core.send(to, message);
  }
}

/** Adopts the sender's committed state if it is newer, then the log of the sender's view. */
export function onNewState(core: ReplicaCore, from: PeerIdentity, message: NewStateMessage): void {
  const state = ReplicatedState.fromTransfer(message.state);
  if (state === undefined) {
    core.options.counters.add(REPLICATION_COUNTERS.malformedStates);
    return;
  }
  const { epoch } = state.configuration;
  if (epoch < core.epoch || !core.mayJoin(state.configuration)) {
    return;
  }
  if (epoch > core.epoch || state.number > core.commitNumber) {
    core.replaceState(state, message.ballot.view);
  }
  if (core.mayVote && core.epoch === message.ballot.epoch) {
    adoptLog(core, from, message);
  }
}

function adoptLog(core: ReplicaCore, from: PeerIdentity, message: NewStateMessage): void {
  const { view } = message.ballot;
  if (view < core.view) {
    return;
  }
  if (message.normal && (view > core.view || core.status !== 'normal')) {
    core.becomeNormal(view, message.pending);
  } else if (view > core.view) {
    core.enterViewChange(view);
  } else if (message.pending?.number === core.commitNumber + 1) {
    core.pending ??= message.pending;
  }
  if (core.status === 'normal' && core.primary()?.id === from.id) {
    core.extendViewDeadline();
    core.acknowledge(from);
  }
}
