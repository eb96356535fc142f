/**
 * Forms a group of voters where there is none: on a cold fleet from the machines that the settings
 * declare, or after a majority of voters lost its memory at once from the machines of the last known
 * configuration. Every participant that has not left the platform's list for good must agree, and
 * these must be a majority, so that one that remembers a group is enough to prevent a second one. Requests are first asked without
 * obligation; a binding yes is a promise to join no formation of an older round.
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

/** Time from a process's start in which it may learn of a group from its peers, in milliseconds. */
export const FORM_FIRST_AFTER_MS = 5_000;
/** Time without a working group before a known one may be formed anew, in milliseconds. */
export const FORM_ANEW_AFTER_MS = 10_000;
/** Time after which an attempt is begun again, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS;
/**
 * A group that is formed anew goes on at the next multiple of this revision: above every revision
 * that the lost group may have accepted without a survivor knowing of it.
 */
export const REVISION_STEP = 1_000_000;

interface ParticipantAnswer {
  readonly from: PeerIdentity;
  readonly answer: FormationAnswerMessage;
}

interface Attempt {
  readonly request: FormationRequestMessage;
  readonly startedMs: number;
  readonly answers: Map<string, ParticipantAnswer>;
}

/** The formation's part of a replica. */
export class Formation {
  private attempt: Attempt | undefined;
  private round = 0;

  constructor(private readonly core: ReplicaCore) {}

  /** To be called at the heartbeat interval: begins, repeats or gives up an attempt. */
  tick(): void {
    const participants = this.participants();
    if (!this.shouldCoordinate(participants)) {
      this.attempt = undefined;
      return;
    }
    const { attempt, core } = this;
    if (attempt === undefined || core.nowMs - attempt.startedMs >= ATTEMPT_TIMEOUT_MS) {
      this.begin(false);
    } else {
      this.ask(attempt);
    }
  }

  /** Participant: says whether a group may be formed. */
  onRequest(from: PeerIdentity, request: FormationRequestMessage): void {
    this.core.send(from, this.answerTo(from, request));
  }

  /** Coordinator: goes on once everybody has agreed. */
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
    this.proceed(attempt);
  }

  /** Machines that must agree; none when too many have left the platform's list for good. */
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
    const isFirst = core.knownConfiguration() === undefined;
    const waitMs = isFirst ? FORM_FIRST_AFTER_MS : FORM_ANEW_AFTER_MS;
    return core.nowMs - core.lastNormalMs >= waitMs;
  }

  private begin(binding: boolean): void {
    const { core } = this;
    this.round = Math.max(this.round, core.promise?.round ?? 0) + 1;
    const request: FormationRequestMessage = {
      type: 'formation-request',
      epoch: this.epochToForm(),
      round: this.round,
      binding,
      number: this.newestDocument().version.number,
    };
    const attempt = { request, startedMs: core.nowMs, answers: new Map() };
    this.attempt = attempt;
    const answer = this.answerTo(core.options.self, request);
    attempt.answers.set(core.options.self.id, { from: core.options.self, answer });
    this.ask(attempt);
    this.proceed(attempt);
  }

  private ask(attempt: Attempt): void {
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
      epoch === this.epochToForm() &&
      number >= this.newestDocument().version.number &&
      this.mayPromise({ epoch, round, coordinator });
    const remembers = this.remembers(epoch - 1);
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

  /** A promise to one coordinator's round rules out older rounds and the same round of another. */
  private mayPromise(wanted: FormationPromise): boolean {
    const { promise } = this.core;
    if (promise?.epoch !== wanted.epoch || wanted.round > promise.round) {
      return true;
    }
    return wanted.round === promise.round && wanted.coordinator === promise.coordinator;
  }

  /** Whether this process voted in `epoch`, and so holds what that group's log held here. */
  private remembers(epoch: number): boolean {
    const { state, options } = this.core;
    return (
      this.core.epoch === epoch && state !== undefined && isVoter(state.configuration, options.self)
    );
  }

  private proceed(attempt: Attempt): void {
    const participants = this.participants();
    const answers = participants.map((id) => attempt.answers.get(id));
    const agreed = answers.filter((one) => one?.answer.willing === true);
    if (participants.length === 0 || agreed.length < participants.length) {
      return;
    }
    const members = agreed.filter((one) => one !== undefined);
    if (attempt.request.binding) {
      this.form(attempt, members);
    } else if (!this.canStillRecover(members)) {
      this.begin(true);
    }
  }

  /** Whether enough voters of the known group remember it for a view change. */
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

  private form(attempt: Attempt, members: readonly ParticipantAnswer[]): void {
    const { core } = this;
    const { epoch, round } = attempt.request;
    const configuration: VoterConfiguration = {
      epoch,
      round,
      voters: members.map((member) => voterOf(member.from)),
    };
    this.attempt = undefined;
    const document = this.firstDocument(configuration, members);
    core.replaceState(ReplicatedState.fromDocument(document), 0);
    core.becomeNormal(0, undefined);
    core.options.counters.add(REPLICATION_COUNTERS.groupsFormed);
    announceEpoch(core);
  }

  /** The newest document, with an operation that the lost group may have accepted. */
  private firstDocument(
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
    const upserts = (pending?.upserts ?? []).filter((one) => one.key !== entry.key);
    const next = (Math.floor(number / REVISION_STEP) + 1) * REVISION_STEP;
    return newest.change(next, [...upserts, entry], pending?.removals ?? []);
  }

  private newestDocument(): VersionedDocument {
    const disseminated = this.core.options.documents.operatorDocument();
    const { state } = this.core;
    const isAhead = state !== undefined && state.number > disseminated.version.number;
    return isAhead ? state.document : disseminated;
  }

  private epochToForm(): number {
    return (this.core.knownConfiguration()?.epoch ?? 0) + 1;
  }
}

/** The operation `number` that stood in the log of the latest view. */
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
