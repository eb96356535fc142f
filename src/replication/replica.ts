/**
 * A node's part in operators' writes: a replica of the voters' log where the node is a voter, and
 * always the client that carries writes to the primary.
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

/** Where a replica stands. */
export interface ReplicaStanding {
  readonly status: ReplicaStatus;
  readonly ballot: Ballot;
  /** Number of the last operation known to be committed. */
  readonly commitNumber: number;
  readonly isPrimary: boolean;
  /** Machine that leads the current view; undefined while no group is known. */
  readonly primaryId: string | undefined;
}

/** See the module's comment. */
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

  /** Handles one event; see {@link ControlComponent}. */
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
    return this.settle();
  }

  /** Time of the next wake; Infinity on a node that is neither voter nor participant. */
  nextWakeAt(): number {
    const viewAtMs = this.core.mayVote ? this.core.viewDeadlineMs : Infinity;
    const heartbeatAtMs = this.takesPart() ? this.heartbeatAtMs : Infinity;
    return Math.min(heartbeatAtMs, viewAtMs, this.client.nextWakeAt());
  }

  /** Where this replica stands, for status and metrics. */
  standing(): ReplicaStanding {
    const { status, ballot, commitNumber, isPrimary } = this.core;
    return { status, ballot, commitNumber, isPrimary, primaryId: this.core.primary()?.id };
  }

  private onPeerDown(peer: PeerIdentity): void {
    const { core } = this;
    if (core.links.get(peer.id)?.incarnation === peer.incarnation) {
      core.links.delete(peer.id);
    }
    if (core.status === 'normal' && core.primary()?.id === peer.id) {
      core.hurryWithoutPrimary();
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

  /** Only voters of the same epoch, in the incarnation that the configuration names, are heard. */
  private onBallotMessage(from: PeerIdentity, message: BallotMessage): void {
    const { core } = this;
    const { epoch } = message.ballot;
    if (core.state === undefined || epoch > core.epoch) {
      requestState(core, from);
    } else if (epoch < core.epoch) {
      sendState(core, from);
    } else if (core.mayVote && isVoter(core.state.configuration, from)) {
      core.noteHeard(from.id);
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

  /** What follows from time and from the state after each event. */
  private settle(): ControlEffect[] {
    const { core } = this;
    this.checkView();
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
    if (this.takesPart()) {
      core.adoptDocument();
    }
    if (core.isPrimary) {
      this.writes.requestReconfiguration();
      sendHeartbeat(core);
    } else if (core.status === 'view-change' && core.mayVote) {
      announceViewChange(core);
    }
    if (this.takesPart()) {
      this.formation.tick();
    }
  }

  /** Gives the view up when its primary, or for the primary its majority, was silent too long. */
  private checkView(): void {
    const { core } = this;
    if (!core.mayVote || core.nowMs < core.viewDeadlineMs) {
      return;
    }
    if (core.isPrimary && core.hearsMajority()) {
      core.extendView();
    } else {
      startViewChange(core, core.view + 1);
    }
  }

  /** Whether this node is, or may become, a voter. */
  private takesPart(): boolean {
    const { core } = this;
    const known = core.knownConfiguration();
    const ids = known?.voters.map((voter) => voter.id) ?? core.options.initialVoterIds;
    return core.mayVote || ids.includes(core.options.self.id);
  }
}
