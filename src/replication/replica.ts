/**
 * Replication of operators' writes on one node: a replica of the log if the node is a voter, and on
 * every node the client that sends writes to the primary.
 */
import type { ControlComponent, ControlEffect, ControlEvent } from '../control/control-event.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { Formation } from './formation.js';
import { onCommit, onPrepare, onPrepareOk, sendHeartbeat } from './normal-operation.js';
import type { ReplicaOptions } from './replica-options.js';
import { PrimaryWrites, type AttemptResult } from './primary-writes.js';
import { HEARTBEAT_INTERVAL_MS, ReplicaCore, type ReplicaStatus } from './replica-core.js';
import type {
  Ballot,
  BallotMessage,
  ReplicationMessage,
  WriteMessage,
} from './replication-message.js';
import { onNewState, requestState, sendState } from './state-transfer.js';
import {
  announceViewChange,
  completeViewChange,
  onDoViewChange,
  onStartView,
  onStartViewChange,
  startViewChange,
} from './view-change.js';
import { isVoter } from './voter-configuration.js';
import { isFromSelf, WriteClient } from './write-client.js';

/** Summary of a replica's state. */
export interface ReplicaSummary {
  readonly status: ReplicaStatus;
  readonly ballot: Ballot;
  /** Number of the last operation known to be committed. */
  readonly commitNumber: number;
  readonly isPrimary: boolean;
  /** Machine of the primary of the current view; undefined while no group is known. */
  readonly primaryId: string | undefined;
}

/** Control component that replicates operators' writes. */
export class Replica implements ControlComponent {
  private readonly core: ReplicaCore;
  private readonly formation: Formation;
  private readonly writes: PrimaryWrites;
  private readonly client: WriteClient;
  private heartbeatAtMs = 0;

  constructor(options: ReplicaOptions) {
    const core = new ReplicaCore(options);
    this.core = core;
    this.formation = new Formation(core);
    this.client = new WriteClient(core, (message) => {
      this.writes.onWrite(options.self, message);
    });
    this.writes = new PrimaryWrites(core, (to, message, result) => {
      this.answerWrite(to, message, result);
    });
    core.onRoleChange = () => {
      this.writes.onRoleChange();
    };
    core.onExecuted = (operation) => {
      this.writes.onExecuted(operation);
    };
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    this.core.nowMs = nowMs;
    switch (event.type) {
      case 'start':
        this.core.lastNormalMs = nowMs;
        this.heartbeatAtMs = nowMs;
        break;
      case 'peer-up':
        this.core.links.set(event.peer.id, event.peer);
        break;
      case 'peer-down':
        this.onPeerDown(event.peer);
        break;
      case 'message':
        if (event.message.type === 'replication') {
          this.onMessage(event.from, event.message.body);
        }
        break;
      case 'operator-write':
        this.client.submit(event.write, event.onOutcome);
        break;
      case 'wake':
      case 'dial-failed':
      case 'platform-answer':
      case 'claim':
      case 'suspicions':
      case 'stop':
        break;
    }
    return this.runDueWork();
  }

  /** Time of the next wake; Infinity on a node that is no participant and has no writes in progress. */
  nextWakeAt(): number {
    const viewDeadlineMs = this.core.mayVote ? this.core.viewDeadlineMs : Infinity;
    const heartbeatAtMs = this.isParticipant() ? this.heartbeatAtMs : Infinity;
    return Math.min(heartbeatAtMs, viewDeadlineMs, this.client.nextWakeAt());
  }

  /** Summary for status output and metrics. */
  summary(): ReplicaSummary {
    const { status, ballot, commitNumber, isPrimary } = this.core;
    return { status, ballot, commitNumber, isPrimary, primaryId: this.core.primary()?.id };
  }

  private onPeerDown(peer: PeerIdentity): void {
    const { core } = this;
    if (core.links.get(peer.id)?.incarnation === peer.incarnation) {
      core.links.delete(peer.id);
    }
    if (core.status === 'normal' && core.primary()?.id === peer.id) {
      core.shortenViewDeadline();
    }
  }

  private onMessage(from: PeerIdentity, message: ReplicationMessage): void {
    switch (message.type) {
      case 'get-state':
        sendState(this.core, from);
        break;
      case 'new-state':
        onNewState(this.core, from, message);
        break;
      case 'formation-request':
        this.formation.onRequest(from, message);
        break;
      case 'formation-answer':
        this.formation.onAnswer(from, message);
        break;
      case 'write':
        this.writes.onWrite(from, message);
        break;
      case 'write-answer':
        this.client.onAnswer(message);
        break;
      default:
        this.onBallotMessage(from, message);
    }
  }

  /**
   * Handles messages only from voters of the same epoch, with the incarnation in the configuration.
   * If either side is in an older epoch, transfers the state instead.
   */
  private onBallotMessage(from: PeerIdentity, message: BallotMessage): void {
    const { core } = this;
    const { epoch } = message.ballot;
    if (core.state === undefined || epoch > core.epoch) {
      requestState(core, from);
    } else if (epoch < core.epoch) {
      sendState(core, from);
    } else if (core.mayVote && isVoter(core.state.configuration, from)) {
      core.recordReceived(from.id);
      this.onVoterMessage(from, message);
    }
  }

  private onVoterMessage(from: PeerIdentity, message: BallotMessage): void {
    const { core } = this;
    switch (message.type) {
      case 'prepare':
        onPrepare(core, from, message);
        break;
      case 'prepare-ok':
        onPrepareOk(core, from, message);
        break;
      case 'commit':
        onCommit(core, from, message);
        break;
      case 'start-view-change':
        onStartViewChange(core, from, message);
        break;
      case 'do-view-change':
        onDoViewChange(core, from, message);
        break;
      case 'start-view':
        onStartView(core, from, message);
        break;
    }
  }

  private answerWrite(to: PeerIdentity, message: WriteMessage, result: AttemptResult): void {
    const { requestId, attempt } = message;
    const answer = { type: 'write-answer', requestId, attempt, result } as const;
    if (isFromSelf(this.core, to)) {
      this.client.onAnswer(answer);
    } else {
      this.core.send(to, answer);
    }
  }

  /**
   * Runs the work that is due after each event: deadlines, heartbeats, view changes and proposals.
   */
  private runDueWork(): ControlEffect[] {
    const { core } = this;
    this.checkViewDeadline();
    if (core.nowMs >= this.heartbeatAtMs) {
      this.heartbeatAtMs = core.nowMs + HEARTBEAT_INTERVAL_MS;
      this.onHeartbeat();
    }
    completeViewChange(core);
    this.writes.proposeNext();
    this.client.tick();
    if (core.status === 'normal') {
      core.lastNormalMs = core.nowMs;
    }
    return core.takeEffects();
  }

  private onHeartbeat(): void {
    const { core } = this;
    if (this.isParticipant()) {
      core.adoptDocument();
    }
    if (core.isPrimary) {
      this.writes.requestReconfiguration();
      sendHeartbeat(core);
    } else if (core.status === 'view-change' && core.mayVote) {
      announceViewChange(core);
    }
    if (this.isParticipant()) {
      this.formation.tick();
    }
  }

  /**
   * Starts a view change if the primary, or at the primary a majority, has been unresponsive too
   * long.
   */
  private checkViewDeadline(): void {
    const { core } = this;
    if (!core.mayVote || core.nowMs < core.viewDeadlineMs) {
      return;
    }
    if (core.isPrimary && core.hasActiveMajority()) {
      core.extendViewDeadline();
    } else {
      startViewChange(core, core.view + 1);
    }
  }

  /** Whether this node is a voter or may become one. */
  private isParticipant(): boolean {
    const { core } = this;
    const known = core.knownConfiguration();
    const ids = known?.voters.map((voter) => voter.id) ?? core.options.initialVoterIds;
    return core.mayVote || ids.includes(core.options.self.id);
  }
}
