/**
 * Forms a group of voters if none exists: in a new fleet from the machines that the settings
 * declare, or, after a majority of the voters lost its state at once, from the machines of the last
 * known configuration. Every participant that has not permanently left the platform's list must
 * agree, and these must be a majority, so that a single participant that remembers a group prevents
 * a second one. The first request of an attempt is non-binding. Agreeing to a binding request is a
 * promise to join no formation of an older round.
 */
import { REPLICATION_COUNTERS } from './replication-counters.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { VersionedDocument } from '../model/document.js';
import { announceEpoch } from './normal-operation.js';
import { HEARTBEAT_INTERVAL_MS, type FormationPromise, type ReplicaCore } from './replica-core.js';
import { ReplicatedState } from './replicated-state.js';
import type {
  FormationAnswerMessage,
  FormationRequestMessage,
  LogOperation,
} from './replication-message.js';
import {
  configurationEntry,
  isVoter,
  majorityOf,
  MAX_VOTERS,
  voterOf,
  type VoterConfiguration,
} from './voter-configuration.js';

/** Time after its start in which a process may learn of a group from its peers, in milliseconds. */
export const FIRST_FORMATION_DELAY_MS = 5_000;
/** Time without a working group after which a known group may be formed again, in milliseconds. */
export const REFORMATION_DELAY_MS = 10_000;
/** Time after which an attempt is restarted, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS;
/**
 * A group that is formed again continues at the next multiple of this revision, which is above
 * every revision that the lost group may have accepted without a survivor knowing of it.
 */
export const REFORMATION_REVISION_STEP = 1_000_000;

interface ParticipantAnswer {
  readonly from: PeerIdentity;
  readonly answer: FormationAnswerMessage;
}

interface Attempt {
  readonly request: FormationRequestMessage;
  readonly startedMs: number;
  readonly answers: Map<string, ParticipantAnswer>;
}

/** Group formation of one replica, as coordinator and as participant. */
export class Formation {
  private attempt: Attempt | undefined;
  private round = 0;

  constructor(private readonly core: ReplicaCore) {}

  /** Starts, repeats or abandons an attempt. Must be called at the heartbeat interval. */
  tick(): void {
    const participants = this.participants();
    if (!this.shouldCoordinate(participants)) {
      this.attempt = undefined;
      return;
    }
    const { attempt, core } = this;
    if (attempt === undefined || core.nowMs - attempt.startedMs >= ATTEMPT_TIMEOUT_MS) {
      this.startAttempt(false);
    } else {
      this.sendRequests(attempt);
    }
  }

  /** Participant: answers whether a group may be formed. */
  onRequest(from: PeerIdentity, request: FormationRequestMessage): void {
    this.core.send(from, this.answerTo(from, request));
  }

  /** Coordinator: advances the attempt once all participants have agreed. */
  onAnswer(from: PeerIdentity, answer: FormationAnswerMessage): void {
    const { attempt } = this;
    this.round = Math.max(this.round, answer.promisedRound);
    if (
      attempt === undefined ||
      answer.epoch !== attempt.request.epoch ||
      answer.round !== attempt.request.round ||
      answer.binding !== attempt.request.binding
    ) {
      return;
    }
    attempt.answers.set(from.id, { from, answer });
    this.advanceAttempt(attempt);
  }

  /** Machines that must agree; empty if too many have permanently left the platform's list. */
  private participants(): readonly string[] {
    const known = this.core.knownConfiguration();
    const ids = known?.voters.map((voter) => voter.id) ?? this.core.options.initialVoterIds;
    const all = ids.slice(0, MAX_VOTERS);
    const present = all.filter((id) => !this.core.options.fleet.isGone(id));
    return present.length * 2 > all.length ? present : [];
  }

  private shouldCoordinate(participants: readonly string[]): boolean {
    const { core } = this;
    if (core.status === 'normal' || participants[0] !== core.options.self.id) {
      return false;
    }
    const isFirstFormation = core.knownConfiguration() === undefined;
    const delayMs = isFirstFormation ? FIRST_FORMATION_DELAY_MS : REFORMATION_DELAY_MS;
    return core.nowMs - core.lastNormalMs >= delayMs;
  }

  private startAttempt(binding: boolean): void {
    const { core } = this;
    this.round = Math.max(this.round, core.promise?.round ?? 0) + 1;
    const request: FormationRequestMessage = {
      type: 'formation-request',
      epoch: this.nextEpoch(),
      round: this.round,
      binding,
      number: this.newestDocument().version.number,
    };
    const attempt = { request, startedMs: core.nowMs, answers: new Map() };
    this.attempt = attempt;
    const answer = this.answerTo(core.options.self, request);
    attempt.answers.set(core.options.self.id, { from: core.options.self, answer });
    this.sendRequests(attempt);
    this.advanceAttempt(attempt);
  }

  private sendRequests(attempt: Attempt): void {
    const { core } = this;
    for (const id of this.participants()) {
      const link = core.links.get(id);
      if (attempt.answers.has(id)) {
        continue;
      }
      if (link !== undefined) {
        core.send(link, attempt.request);
        continue;
      }
      const address = core.options.fleet.addressOf(id);
      if (address !== undefined) {
        core.dial(address);
      }
    }
  }

  private answerTo(from: PeerIdentity, request: FormationRequestMessage): FormationAnswerMessage {
    const { core } = this;
    const coordinator = `${from.id}/${from.incarnation}`;
    const { epoch, round, binding, number } = request;
    const promisedRound = core.promise?.epoch === epoch ? core.promise.round : 0;
    const willing =
      core.status !== 'normal' &&
      epoch === this.nextEpoch() &&
      number >= this.newestDocument().version.number &&
      this.mayPromise({ epoch, round, coordinator });
    const remembers = this.remembersEpoch(epoch - 1);
    if (willing && binding) {
      core.promise = { epoch, round, coordinator };
    }
    return {
      type: 'formation-answer',
      epoch,
      round,
      binding,
      willing,
      promisedRound: willing && binding ? round : promisedRound,
      remembers,
      lastNormalView: core.lastNormalView,
      pending: remembers ? core.pending : undefined,
    };
  }

  /**
   * A promise to a coordinator's round excludes older rounds and the same round of other
   * coordinators.
   */
  private mayPromise(wanted: FormationPromise): boolean {
    const { promise } = this.core;
    if (promise?.epoch !== wanted.epoch || wanted.round > promise.round) {
      return true;
    }
    return wanted.round === promise.round && wanted.coordinator === promise.coordinator;
  }

  /** Whether this process was a voter in `epoch`, and so has its part of that group's log. */
  private remembersEpoch(epoch: number): boolean {
    const { state, options } = this.core;
    return (
      this.core.epoch === epoch && state !== undefined && isVoter(state.configuration, options.self)
    );
  }

  private advanceAttempt(attempt: Attempt): void {
    const participants = this.participants();
    const answers = participants.map((id) => attempt.answers.get(id));
    const agreed = answers.filter((participant) => participant?.answer.willing === true);
    if (participants.length === 0 || agreed.length < participants.length) {
      return;
    }
    const members = agreed.filter((answer) => answer !== undefined);
    if (attempt.request.binding) {
      this.formGroup(attempt, members);
    } else if (!this.canStillRecover(members)) {
      this.startAttempt(true);
    }
  }

  /** Whether enough voters of the known group remember it to complete a view change. */
  private canStillRecover(members: readonly ParticipantAnswer[]): boolean {
    const known = this.core.knownConfiguration();
    if (known === undefined) {
      return false;
    }
    const remembering = members.filter(
      (member) => member.answer.remembers && isVoter(known, member.from),
    );
    return remembering.length >= majorityOf(known);
  }

  private formGroup(attempt: Attempt, members: readonly ParticipantAnswer[]): void {
    const { core } = this;
    const { epoch, round } = attempt.request;
    const configuration: VoterConfiguration = {
      epoch,
      round,
      voters: members.map((member) => voterOf(member.from)),
    };
    this.attempt = undefined;
    const document = this.initialDocument(configuration, members);
    core.replaceState(ReplicatedState.fromDocument(document), 0);
    core.becomeNormal(0, undefined);
    core.options.counters.add(REPLICATION_COUNTERS.groupsFormed);
    announceEpoch(core);
  }

  /** The newest document, with the pending operation that the lost group may have accepted. */
  private initialDocument(
    configuration: VoterConfiguration,
    members: readonly ParticipantAnswer[],
  ): VersionedDocument {
    const newest = this.newestDocument();
    const { number } = newest.version;
    const entry = configurationEntry(configuration);
    if (number === 0) {
      return VersionedDocument.empty().change(1, [entry], []);
    }
    const pending = latestPending(members, number + 1);
    const upserts = (pending?.upserts ?? []).filter((upsert) => upsert.key !== entry.key);
    const next = (Math.floor(number / REFORMATION_REVISION_STEP) + 1) * REFORMATION_REVISION_STEP;
    return newest.change(next, [...upserts, entry], pending?.removals ?? []);
  }

  private newestDocument(): VersionedDocument {
    const disseminated = this.core.options.documents.operatorDocument();
    const { state } = this.core;
    const isAhead = state !== undefined && state.number > disseminated.version.number;
    return isAhead ? state.document : disseminated;
  }

  private nextEpoch(): number {
    return (this.core.knownConfiguration()?.epoch ?? 0) + 1;
  }
}

/** The pending operation `number` from the log with the latest view. */
function latestPending(
  members: readonly ParticipantAnswer[],
  number: number,
): LogOperation | undefined {
  let latest: FormationAnswerMessage | undefined;
  for (const { answer } of members) {
    const isCandidate = answer.pending?.number === number;
    if (isCandidate && answer.lastNormalView >= (latest?.lastNormalView ?? 0)) {
      latest = answer;
    }
  }
  return latest?.pending;
}
