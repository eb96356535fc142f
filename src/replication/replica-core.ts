/**
 * State of one replica and its transitions. The protocol is implemented in `normal-operation.ts`,
 * `view-change.ts`, `state-transfer.ts` and `formation.ts`.
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
/**
 * Time without messages from the primary, or from a majority, that ends a view, in milliseconds.
 */
export const VIEW_TIMEOUT_MS = 4_000;
/** Additional view timeout for each position in the list of voters, in milliseconds. */
export const VIEW_TIMEOUT_STAGGER_MS = 500;
/** View timeout while there is no link to the primary, in milliseconds. */
export const CLOSED_LINK_TIMEOUT_MS = 500;

/**
 * - `observer`: not a voter, or one that has not joined its group yet;
 * - `normal`: in a view whose log it has;
 * - `view-change`: has left its view and waits for the next one to start.
 */
export type ReplicaStatus = 'observer' | 'normal' | 'view-change';

/** Promise to a formation, which excludes joining older formations of the same epoch. */
export interface FormationPromise {
  readonly epoch: number;
  readonly round: number;
  /** Machine and incarnation of the process to which the promise was made. */
  readonly coordinator: string;
}

/** State of one replica. */
export class ReplicaCore extends PeerMessenger {
  status: ReplicaStatus = 'observer';
  view = 0;
  lastNormalView = 0;
  /** Result of the committed operations; undefined until a state has been received or formed. */
  state: ReplicatedState | undefined;
  /** The only operation in the log that is not committed. */
  pending: LogOperation | undefined;
  promise: FormationPromise | undefined;
  nowMs = 0;
  /** Time at which this replica leaves the view unless the primary sends a message before. */
  viewDeadlineMs = Infinity;
  /** Time at which this replica was last in normal status, or started. */
  lastNormalMs = 0;
  /** Time of the last message from each voter in the current epoch, keyed by machine. */
  readonly lastReceivedMs = new Map<string, number>();
  /** Primary only: highest operation that each voter has acknowledged in the current view. */
  readonly acknowledged = new Map<string, number>();
  /** Next primary only: logs of the voters that have joined the view change, keyed by machine. */
  readonly collectedLogs = new Map<string, DoViewChangeMessage>();
  /** Called after an operation has been executed; not called for operations in a state transfer. */
  onExecuted: (operation: LogOperation) => void = () => undefined;
  /** Called when the replica may have become the primary or ceased to be it. */
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

  /** Number of the last committed operation; 0 if there is none. */
  get commitNumber(): number {
    return this.state?.number ?? 0;
  }

  /** Number of the last operation in the log. */
  get operationNumber(): number {
    return this.pending?.number ?? this.commitNumber;
  }

  /** Whether this process may take part in the current epoch. */
  get mayVote(): boolean {
    const hasPromisedLaterEpoch = this.promise !== undefined && this.promise.epoch > this.epoch;
    return (
      this.state !== undefined &&
      isVoter(this.state.configuration, this.options.self) &&
      !hasPromisedLaterEpoch
    );
  }

  /** Whether this process is the primary of the current view. */
  get isPrimary(): boolean {
    return this.status === 'normal' && this.mayVote && this.primary()?.id === this.options.self.id;
  }

  /** The primary of the current view; undefined without a configuration. */
  primary(): Voter | undefined {
    const configuration = this.state?.configuration;
    return configuration === undefined ? undefined : primaryOfView(configuration, this.view);
  }

  /** The newest configuration known to this node, as a voter or from the operators' document. */
  knownConfiguration(): VoterConfiguration | undefined {
    const disseminated = this.options.documents.operatorDocument();
    if (disseminated.version.number > this.commitNumber) {
      return configurationOf(disseminated) ?? this.state?.configuration;
    }
    return this.state?.configuration;
  }

  /**
   * Whether a majority of the voters, including this one, has sent a message within the view
   * timeout.
   */
  hasActiveMajority(): boolean {
    const configuration = this.state?.configuration;
    if (configuration === undefined) {
      return false;
    }
    const active = configuration.voters.filter((voter) => this.isActive(voter.id));
    return active.length >= majorityOf(configuration);
  }

  /** Enters normal status in `view` with a log that ends with `pending`. */
  becomeNormal(view: number, pending: LogOperation | undefined): void {
    this.status = 'normal';
    this.view = view;
    this.lastNormalView = view;
    this.pending = pending?.number === this.commitNumber + 1 ? pending : undefined;
    this.resetVoterTracking();
    this.extendViewDeadline();
    this.onRoleChange();
  }

  /** Leaves the current view and starts waiting for `view` to start. */
  enterViewChange(view: number): void {
    this.status = 'view-change';
    this.view = view;
    this.collectedLogs.clear();
    this.resetVoterTracking();
    this.extendViewDeadline();
    this.shortenViewDeadline();
    this.onRoleChange();
  }

  /** Executes the pending operation, which is now committed. */
  executePending(): void {
    const operation = this.pending;
    if (this.state === undefined || operation?.number !== this.commitNumber + 1) {
      return;
    }
    const epochBefore = this.epoch;
    this.state = this.state.execute(operation);
    this.pending = undefined;
    this.publishDocument();
    if (this.epoch !== epochBefore) {
      this.enterEpoch(0, true);
    }
    this.options.counters.add(REPLICATION_COUNTERS.operationsExecuted);
    this.onExecuted(operation);
  }

  /** Replaces the state by a newer committed one; `view` is the view of its sender. */
  replaceState(state: ReplicatedState, view: number): void {
    const before = this.state?.configuration;
    this.state = state;
    if ((this.pending?.number ?? Infinity) <= state.number) {
      this.pending = undefined;
    }
    this.publishDocument();
    if (before === undefined || !isSameConfiguration(before, state.configuration)) {
      this.enterEpoch(view, false);
    } else if (!this.mayVote) {
      this.view = Math.max(this.view, view);
    }
  }

  /** Shortens the view deadline if there is no link to the primary. */
  shortenViewDeadline(): void {
    const primary = this.primary();
    if (primary === undefined || primary.id === this.options.self.id) {
      return;
    }
    if (this.links.get(primary.id)?.incarnation !== primary.incarnation) {
      const deadlineMs = this.nowMs + CLOSED_LINK_TIMEOUT_MS + this.viewStaggerMs();
      this.viewDeadlineMs = Math.min(this.viewDeadlineMs, deadlineMs);
    }
  }

  /**
   * Adopts the operators' document as the state if it has a later voter configuration. The document
   * contains only committed operations. It does not contain the recent requests, so the adopted
   * state starts without them.
   */
  adoptDocument(): void {
    const { documents } = this.options;
    const document = documents.operatorDocument();
    const configuration = configurationOf(document);
    if (configuration === undefined || !this.mayJoin(configuration)) {
      return;
    }
    const held = this.state?.configuration;
    const isDifferent = held === undefined || !isSameConfiguration(configuration, held);
    const isAhead = document.version.number > this.commitNumber;
    if (isDifferent && isAhead && configuration.epoch >= this.epoch) {
      this.replaceState(ReplicatedState.fromDocument(document), 0);
    }
  }

  /** A process that promised a formation joins no group of an older round of the same epoch. */
  mayJoin(configuration: VoterConfiguration): boolean {
    const { promise } = this;
    return promise?.epoch !== configuration.epoch || configuration.round >= promise.round;
  }

  extendViewDeadline(): void {
    this.viewDeadlineMs = this.nowMs + VIEW_TIMEOUT_MS + this.viewStaggerMs();
  }

  recordReceived(id: string): void {
    this.lastReceivedMs.set(id, this.nowMs);
  }

  /** Sends to every other voter of the current epoch. */
  broadcast(body: ReplicationMessage): void {
    for (const voter of this.state?.configuration.voters ?? []) {
      this.send(voter, body);
    }
  }

  /** Sends the number of the last operation in this log to the primary. */
  acknowledge(primary: PeerIdentity): void {
    this.send(primary, { type: 'prepare-ok', ballot: this.ballot, number: this.operationNumber });
  }

  private viewStaggerMs(): number {
    const voters = this.state?.configuration.voters ?? [];
    const position = voters.findIndex((voter) => voter.id === this.options.self.id);
    return Math.max(0, position) * VIEW_TIMEOUT_STAGGER_MS;
  }

  private enterEpoch(view: number, hasCompleteLog: boolean): void {
    this.view = view;
    this.lastNormalView = 0;
    this.pending = undefined;
    this.collectedLogs.clear();
    const voterStatus = hasCompleteLog ? 'normal' : 'view-change';
    this.status = this.mayVote ? voterStatus : 'observer';
    this.resetVoterTracking();
    this.extendViewDeadline();
    this.report('replication-epoch', `epoch ${this.epoch}, ${this.status}`);
    this.onRoleChange();
  }

  private publishDocument(): void {
    if (this.state !== undefined) {
      const { documents } = this.options;
      this.addEffects(documents.offerOperator(this.state.document, this.nowMs));
    }
  }

  private resetVoterTracking(): void {
    this.acknowledged.clear();
    this.lastReceivedMs.clear();
    for (const voter of this.state?.configuration.voters ?? []) {
      this.lastReceivedMs.set(voter.id, this.nowMs);
    }
  }

  private isActive(id: string): boolean {
    const receivedMs = id === this.options.self.id ? this.nowMs : this.lastReceivedMs.get(id);
    return receivedMs !== undefined && this.nowMs - receivedMs < VIEW_TIMEOUT_MS;
  }
}
