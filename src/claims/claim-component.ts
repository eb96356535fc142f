/**
 * Claims on idempotency keys, for a node that holds claims and for a node whose requests open them.
 * A component of the control plane without I/O of its own.
 */
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
  CounterSink,
} from '../control/control-event.js';
import type { OldestMachinesView } from '../control/control-ports.js';
import { TargetLinks } from '../control/target-links.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { ClaimMessage, ClaimStep, PeerMessage } from '../wire/message.js';
import type { ClaimCommand, ClaimOutcome } from './claim-command.js';
import { ClaimHolder } from './claim-holder.js';
import { ClaimRound } from './claim-round.js';
import { CLAIM_ROUND_TIMEOUT_MS, MAX_OPEN_CLAIMS } from './claim-terms.js';
import { HolderGroups, type Holder } from './holder-set.js';

export const CLAIM_COUNTERS = {
  won: 'ferryspool_claims_won_total',
  taken: 'ferryspool_claims_taken_total',
  unavailable: 'ferryspool_claims_unavailable_total',
  messages: 'ferryspool_claim_messages_total',
} as const;

/** Dependencies and settings of a {@link ClaimComponent}. */
export interface ClaimOptions {
  readonly fleet: OldestMachinesView;
  readonly counters: CounterSink;
  /** See {@link ClaimHolder}. */
  readonly opensWhenAllAreNew: boolean;
  /**
   * Number of groups into which machines and keys are partitioned by hash, which spreads the claims
   * of a large fleet. Must be the same on every node. Default 1: the five oldest machines hold all
   * claims.
   */
  readonly groups?: number;
  /** Maximum number of stored claims; default `MAX_CLAIMS`. */
  readonly maxClaims?: number;
  /** Clock that steps of the wall clock do not affect; see `SourceReaderOptions.steadyNow`. */
  readonly steadyNow?: (() => number) | undefined;
}

interface OpenClaim {
  readonly claim: string;
  readonly round: ClaimRound;
  readonly onOutcome: (outcome: ClaimOutcome) => void;
}

/** Holds claims for other nodes, and opens claims for the requests of this node. */
export class ClaimComponent implements ControlComponent {
  readonly holder: ClaimHolder;
  private readonly groups: HolderGroups;
  private readonly links = new TargetLinks();
  /** Keyed by attempt, in the order in which the rounds end. */
  private readonly openClaims = new Map<string, OpenClaim>();
  private clockOffsetMs: number | undefined;
  private isStopped = false;

  constructor(private readonly options: ClaimOptions) {
    this.holder = new ClaimHolder(options.opensWhenAllAreNew, options.maxClaims);
    this.groups = new HolderGroups(options.fleet, options.groups ?? 1);
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    this.compensateClockStep(nowMs);
    if (this.groups.own.refresh()) {
      this.holder.setMember(this.groups.own.isMember() && !this.isStopped, nowMs);
    }
    this.endRounds(nowMs, effects);
    this.dispatch(event, nowMs, effects);
    this.requestSync(nowMs, effects);
    return effects;
  }

  nextWakeAt(): number {
    const [first] = this.openClaims.values();
    return Math.min(this.holder.nextWakeAt(), first?.round.endsAtMs ?? Infinity);
  }

  private dispatch(event: ControlEvent, nowMs: number, effects: ControlEffect[]): void {
    switch (event.type) {
      case 'peer-up':
        effects.push(...this.links.peerUp(event.peer, nowMs));
        break;
      case 'peer-down':
        this.links.peerDown(event.peer);
        break;
      case 'dial-failed':
        this.links.dialFailed(event.target);
        break;
      case 'message':
        this.handleMessage(event.from, event.message, nowMs, effects);
        break;
      case 'claim':
        this.handleCommand(event.command, nowMs, effects);
        break;
      case 'stop':
        this.isStopped = true;
        this.holder.setMember(false, nowMs);
        break;
      default:
        break;
    }
  }

  private handleCommand(command: ClaimCommand, nowMs: number, effects: ControlEffect[]): void {
    const { claim, attempt } = command;
    if (command.kind !== 'open') {
      this.sendToHolders(command.kind, claim, attempt, nowMs, effects);
      return;
    }
    const { holders } = this.groups.of(claim);
    if (
      holders.length === 0 ||
      this.openClaims.size >= MAX_OPEN_CLAIMS ||
      this.openClaims.has(attempt)
    ) {
      this.options.counters.add(CLAIM_COUNTERS.unavailable);
      command.onOutcome({ outcome: 'unavailable' });
      return;
    }
    const ids = holders.map((holder) => holder.id);
    const round = new ClaimRound(ids, nowMs + CLAIM_ROUND_TIMEOUT_MS);
    this.openClaims.set(attempt, { claim, round, onOutcome: command.onOutcome });
    this.sendToHolders('request', claim, attempt, nowMs, effects);
  }

  private handleMessage(
    from: PeerIdentity,
    message: PeerMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    switch (message.type) {
      case 'claim':
        this.handleClaim(from, message, nowMs, effects);
        break;
      case 'claim-sync-request':
        for (const part of this.holder.syncMessages(message.round, nowMs)) {
          effects.push({ type: 'send', to: from.id, message: part });
        }
        break;
      case 'claim-sync':
        if (this.groups.own.otherHolders().some((holder) => holder.id === from.id)) {
          this.holder.takeSync(from.id, message, this.groups.own.holders.length, nowMs);
        }
        break;
      default:
        break;
    }
  }

  private handleClaim(
    from: PeerIdentity,
    message: ClaimMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const open = this.openClaims.get(message.attempt);
    if (isAnswer(message)) {
      if (open?.claim === message.claim) {
        this.recordAnswer(message.attempt, open, from.id, message, nowMs, effects);
      }
      return;
    }
    const step = this.answerAsHolder(message, nowMs);
    if (step !== undefined) {
      effects.push({ type: 'send', to: from.id, message: { ...message, step } });
    }
  }

  private recordAnswer(
    attempt: string,
    open: OpenClaim,
    holder: string,
    answer: ClaimMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const outcome = open.round.record(holder, answer.step);
    if (outcome !== undefined) {
      this.finishRound(attempt, open, outcome, nowMs, effects);
    }
  }

  private finishRound(
    attempt: string,
    open: OpenClaim,
    outcome: ClaimOutcome,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.openClaims.delete(attempt);
    this.options.counters.add(CLAIM_COUNTERS[outcome.outcome]);
    if (outcome.outcome !== 'won') {
      this.sendToHolders('release', open.claim, attempt, nowMs, effects);
    }
    open.onOutcome(outcome);
  }

  /** Sends a step to every holder of the claim, which may include this node. */
  private sendToHolders(
    step: 'request' | 'finish' | 'release',
    claim: string,
    attempt: string,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const message: ClaimMessage = { type: 'claim', step, claim, attempt };
    const wait = { key: `${step} ${attempt}`, untilMs: nowMs + CLAIM_ROUND_TIMEOUT_MS };
    const set = this.groups.of(claim);
    for (const holder of set.holders) {
      if (set.isSelf(holder)) {
        this.handleAsSelf(holder, message, nowMs, effects);
      } else {
        this.options.counters.add(CLAIM_COUNTERS.messages);
        effects.push(...this.links.send(holder, message, wait));
      }
    }
  }

  private handleAsSelf(
    self: Holder,
    message: ClaimMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const step = this.answerAsHolder(message, nowMs);
    const open = this.openClaims.get(message.attempt);
    if (step !== undefined && open !== undefined) {
      this.recordAnswer(message.attempt, open, self.id, { ...message, step }, nowMs, effects);
    }
  }

  /** Ends rounds that have timed out, before late answers could be counted. */
  private endRounds(nowMs: number, effects: ControlEffect[]): void {
    for (const [attempt, open] of this.openClaims) {
      if (nowMs < open.round.endsAtMs) {
        return;
      }
      const silent = new Set(open.round.unanswered());
      this.finishRound(attempt, open, open.round.outcomeWithoutMajority(), nowMs, effects);
      this.groups
        .of(open.claim)
        .holders.filter((holder) => silent.has(holder.id))
        .forEach((holder) => this.links.unanswered(holder));
    }
  }

  /** While this holder is new, requests the claims of the other holders. */
  private requestSync(nowMs: number, effects: ControlEffect[]): void {
    const round = this.holder.startSyncIfDue(this.groups.own.holders.length, nowMs);
    if (round === undefined) {
      return;
    }
    const wait = { key: 'claim-sync-request', untilMs: nowMs + CLAIM_ROUND_TIMEOUT_MS };
    for (const holder of this.groups.own.otherHolders()) {
      effects.push(...this.links.send(holder, { type: 'claim-sync-request', round }, wait));
    }
  }

  /**
   * Answers a step as a holder. A claim of another group comes from a node that is configured with
   * a different number of groups, and is never granted.
   */
  private answerAsHolder(message: ClaimMessage, nowMs: number): ClaimStep | undefined {
    if (!this.groups.isOwn(message.claim)) {
      return message.step === 'request' ? 'unready' : undefined;
    }
    return this.holder.handle(message, nowMs);
  }

  private compensateClockStep(nowMs: number): void {
    const offsetMs = nowMs - (this.options.steadyNow?.() ?? nowMs);
    const advancedMs = offsetMs - (this.clockOffsetMs ?? offsetMs);
    if (advancedMs > 0) {
      this.holder.extendDeadlines(advancedMs);
    }
    this.clockOffsetMs = Math.max(this.clockOffsetMs ?? offsetMs, offsetMs);
  }
}

/** Whether the message is a holder's answer. */
function isAnswer({ step }: ClaimMessage): boolean {
  return step === 'granted' || step === 'claimed' || step === 'finished' || step === 'unready';
}
