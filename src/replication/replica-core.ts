/**
 * What one replica holds, and the few ways in which it changes. The protocol itself stands in
 * `normal-operation.ts`, `view-change.ts`, `state-transfer.ts` and `formation.ts`.
 */
import { REPLICATION_COUNTERS } from './replication-counters.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { PeerMessenger } from './peer-messenger.js';
import type { ReplicaOptions } from './replica-options.js';
import { ReplicatedState } from './replicated-state.js';
import type {
  Ballot,
  DoViewChangeMessage,
  LogOperation,
  ReplicationMessage,
} from './replication-message.js';
import {
  configurationOf,
  isSameConfiguration,
  isVoter,
  majorityOf,
  primaryOfView,
  type Voter,
  type VoterConfiguration,
} from './voter-configuration.js';

/** Interval of the primary's heartbeats and of every retry, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Silence of a primary, or of a majority, after which a view is given up, in milliseconds. */
export const VIEW_TIMEOUT_MS = 4_000;
/** How much later each further voter gives a view up, in milliseconds. */
export const VIEW_TIMEOUT_STAGGER_MS = 500;
/** As {@link VIEW_TIMEOUT_MS}, once the link to the primary has closed, in milliseconds. */
export const LOST_LINK_TIMEOUT_MS = 500;

/**
 * - `observer`: not a voter, or one that has not joined its group yet;
 * - `normal`: in a view whose log it holds;
 * - `view-change`: has left its view and waits for the next one to start.
 */
export type ReplicaStatus = 'observer' | 'normal' | 'view-change';

/** A formation that this process has promised to, and will join no older one of the same epoch. */
export interface FormationPromise {
  readonly epoch: number;
  readonly round: number;
  /** Machine and incarnation of the process that was promised to. */
  readonly coordinator: string;
}

/** The replica's state. */
export class ReplicaCore extends PeerMessenger {
  status: ReplicaStatus = 'observer';
  view = 0;
  lastNormalView = 0;
  /** Result of the committed operations; undefined until a state was received or formed. */
  state: ReplicatedState | undefined;
  /** The one operation after the committed ones, held in the current log. */
  pending: LogOperation | undefined;
  promise: FormationPromise | undefined;
  nowMs = 0;
  /** When the view is given up, unless the primary is heard before. */
  viewDeadlineMs = Infinity;
  /** When this replica was last in normal status, or started. */
  lastNormalMs = 0;
  /** When a voter was last heard in the current epoch, by machine. */
  readonly lastHeardMs = new Map<string, number>();
  /** Primary only: highest operation that each voter holds in the current view. */
  readonly acknowledged = new Map<string, number>();
  /** Next primary only: logs of the voters that have left for the current view, by machine. */
  readonly collectedLogs = new Map<string, DoViewChangeMessage>();
  /** Told of each operation that is executed in sequence, after it took effect. */
  onExecuted: (operation: LogOperation) => void = () => undefined;
  /** Told when the replica may have ceased to be, or become, the primary. */
  onRoleChange: () => void = () => undefined;

  constructor(readonly options: ReplicaOptions) {
    super(options.self.id);
  }

  get epoch(): number {
    return this.state?.configuration.epoch ?? 0;
  }

  get ballot(): Ballot {
    return { epoch: this.epoch, view: this.view };
  }

  /** Number of the last committed operation; 0 for none. */
  get commitNumber(): number {
    return this.state?.number ?? 0;
  }

  /** Number of the last operation in the log. */
  get operationNumber(): number {
    return this.pending?.number ?? this.commitNumber;
  }

  /** Whether this process may take part in the current epoch. */
  get mayVote(): boolean {
    const promisedAway = this.promise !== undefined && this.promise.epoch > this.epoch;
    return (
      this.state !== undefined &&
      isVoter(this.state.configuration, this.options.self) &&
      !promisedAway
    );
  }

  /** Whether this process leads the current view. */
  get isPrimary(): boolean {
    return this.status === 'normal' && this.mayVote && this.primary()?.id === this.options.self.id;
  }

  /** The primary of the current view; undefined without a configuration. */
  primary(): Voter | undefined {
    const configuration = this.state?.configuration;
    return configuration === undefined ? undefined : primaryOfView(configuration, this.view);
  }

  /** The newest configuration that this node knows, as a voter or from the operators' document. */
  knownConfiguration(): VoterConfiguration | undefined {
    const disseminated = this.options.documents.operatorDocument();
    if (disseminated.version.number > this.commitNumber) {
      return configurationOf(disseminated) ?? this.state?.configuration;
    }
    return this.state?.configuration;
  }

  /** Whether a majority of the voters, this one included, was heard within the view timeout. */
  hearsMajority(): boolean {
    const configuration = this.state?.configuration;
    if (configuration === undefined) {
      return false;
    }
    const heard = configuration.voters.filter((voter) => this.heardRecently(voter.id));
    return heard.length >= majorityOf(configuration);
  }

  /** Enters normal status in `view`, with the log that ends in `pending`. */
  becomeNormal(view: number, pending: LogOperation | undefined): void {
    this.status = 'normal';
    this.view = view;
    this.lastNormalView = view;
    this.pending = pending?.number === this.commitNumber + 1 ? pending : undefined;
    this.resetVoters();
    this.extendView();
    this.onRoleChange();
  }

  /** Leaves the current view for `view`, which has not started yet. */
  leaveFor(view: number): void {
    this.status = 'view-change';
    this.view = view;
    this.collectedLogs.clear();
    this.resetVoters();
    this.extendView();
    this.hurryWithoutPrimary();
    this.onRoleChange();
  }

  /** Executes the pending operation: it is committed. */
  executePending(): void {
    const operation = this.pending;
    if (this.state === undefined || operation?.number !== this.commitNumber + 1) {
      return;
    }
    const epochBefore = this.epoch;
    this.state = this.state.execute(operation);
    this.pending = undefined;
    this.offerDocument();
    if (this.epoch !== epochBefore) {
      this.enterEpoch(0, true);
    }
    this.options.counters.add(REPLICATION_COUNTERS.operationsExecuted);
    this.onExecuted(operation);
  }

  /** Takes a committed state that is ahead of this one; `view` is that of its sender. */
  replaceState(state: ReplicatedState, view: number): void {
    const before = this.state?.configuration;
    this.state = state;
    if ((this.pending?.number ?? Infinity) <= state.number) {
      this.pending = undefined;
    }
    this.offerDocument();
    if (before === undefined || !isSameConfiguration(before, state.configuration)) {
      this.enterEpoch(view, false);
    } else if (!this.mayVote) {
      this.view = Math.max(this.view, view);
    }
  }

  /** Brings the time forward at which the view is given up, when there is no link to its primary. */
  hurryWithoutPrimary(): void {
    const primary = this.primary();
    if (primary === undefined || primary.id === this.options.self.id) {
      return;
    }
    if (this.links.get(primary.id)?.incarnation !== primary.incarnation) {
      const soonMs = this.nowMs + LOST_LINK_TIMEOUT_MS + this.viewStaggerMs();
      this.viewDeadlineMs = Math.min(this.viewDeadlineMs, soonMs);
    }
  }

  /**
   * Takes the operators' document as the state where it names later voters. The document holds only
   * what is committed; what it lacks are the requests, which the state therefore starts anew.
   */
  adoptDocument(): void {
    const { documents } = this.options;
    const document = documents.operatorDocument();
    const configuration = configurationOf(document);
    if (configuration === undefined || !this.mayJoin(configuration)) {
      return;
    }
    const held = this.state?.configuration;
    const isOther = held === undefined || !isSameConfiguration(configuration, held);
    const isAhead = document.version.number > this.commitNumber;
    if (isOther && isAhead && configuration.epoch >= this.epoch) {
      this.replaceState(ReplicatedState.fromDocument(document), 0);
    }
  }

  /** A process that promised a formation joins no group of an older round under the same epoch. */
  mayJoin(configuration: VoterConfiguration): boolean {
    const { promise } = this;
    return promise?.epoch !== configuration.epoch || configuration.round >= promise.round;
  }

  /** Puts off the time at which the view is given up. */
  extendView(): void {
    this.viewDeadlineMs = this.nowMs + VIEW_TIMEOUT_MS + this.viewStaggerMs();
  }

  /** Notes that a voter was heard. */
  noteHeard(id: string): void {
    this.lastHeardMs.set(id, this.nowMs);
  }

  /** Sends to every other voter of the current epoch. */
  broadcast(body: ReplicationMessage): void {
    for (const voter of this.state?.configuration.voters ?? []) {
      this.send(voter, body);
    }
  }

  /** Tells the primary of the current view how far this log reaches. */
  acknowledge(primary: PeerIdentity): void {
    this.send(primary, { type: 'prepare-ok', ballot: this.ballot, number: this.operationNumber });
  }

  private viewStaggerMs(): number {
    const voters = this.state?.configuration.voters ?? [];
    const position = voters.findIndex((voter) => voter.id === this.options.self.id);
    return Math.max(0, position) * VIEW_TIMEOUT_STAGGER_MS;
  }

  private enterEpoch(view: number, hasWholeLog: boolean): void {
    this.view = view;
    this.lastNormalView = 0;
    this.pending = undefined;
    this.collectedLogs.clear();
    const inEpoch = hasWholeLog ? 'normal' : 'view-change';
    this.status = this.mayVote ? inEpoch : 'observer';
    this.resetVoters();
    this.extendView();
    this.report('replication-epoch', `epoch ${this.epoch}, ${this.status}`);
    this.onRoleChange();
  }

  private offerDocument(): void {
    if (this.state !== undefined) {
      const { documents } = this.options;
      this.addEffects(documents.offerOperator(this.state.document, this.nowMs));
    }
  }

  private resetVoters(): void {
    this.acknowledged.clear();
    this.lastHeardMs.clear();
    for (const voter of this.state?.configuration.voters ?? []) {
      this.lastHeardMs.set(voter.id, this.nowMs);
    }
  }

  private heardRecently(id: string): boolean {
    const heardMs = id === this.options.self.id ? this.nowMs : this.lastHeardMs.get(id);
    return heardMs !== undefined && this.nowMs - heardMs < VIEW_TIMEOUT_MS;
  }
}
