/**
 * Claims on idempotency keys: this node as a holder, and as the node of requests that claim. Pure
 * decision logic; a part of the control plane.
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
import { CLAIM_ROUND_MS, MAX_OPEN_CLAIMS } from './claim-terms.js';
import { HolderGroups, type Holder } from './holder-set.js';

/** Names of the counters of claims. */
export const CLAIM_COUNTERS = {
  won: 'ferryspool_claims_won_total',
  taken: 'ferryspool_claims_taken_total',
  unavailable: 'ferryspool_claims_unavailable_total',
  messages: 'ferryspool_claim_messages_total',
} as const;

/** What claims need from their surroundings. */
export interface ClaimOptions {
  readonly fleet: OldestMachinesView;
  readonly counters: CounterSink;
  /** See {@link ClaimHolder}. */
  readonly opensWhenAllAreNew: boolean;
  /**
   * Groups that machines and keys are divided into by hash, so that claims of a large fleet are
   * spread over it; the same on every node. Default 1: the five oldest machines hold all claims.
   */
  readonly groups?: number;
  /** Claims kept at most; default `MAX_CLAIMS`. */
  readonly maxClaims?: number;
  /** A clock that the wall clock never advances; see `SourceReaderOptions.steadyNow`. */
  readonly steadyNow?: (() => number) | undefined;
}

interface OpenClaim {
  readonly claim: string;
  readonly round: ClaimRound;
  readonly onOutcome: (outcome: ClaimOutcome) => void;
}

/** Holder and claimant of one node. */
export class ClaimComponent implements ControlComponent {
  readonly holder: ClaimHolder;
  private readonly groups: HolderGroups;
  private readonly links = new TargetLinks();
  /** By attempt, in the order in which the rounds end. */
  private readonly open = new Map<string, OpenClaim>();
  private clockLeadMs: number | undefined;
  private isStopped = false;

  constructor(private readonly options: ClaimOptions) {
    this.holder = new ClaimHolder(options.opensWhenAllAreNew, options.maxClaims);
    this.groups = new HolderGroups(options.fleet, options.groups ?? 1);
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    this.followClock(nowMs);
    if (this.groups.own.refresh()) {
      this.holder.setMember(this.groups.own.isMember() && !this.isStopped, nowMs);
    }
    this.endRounds(nowMs, effects);
    this.dispatch(event, nowMs, effects);
    this.askOthers(nowMs, effects);
    return effects;
  }

  nextWakeAt(): number {
    const [first] = this.open.values();
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
        this.obey(event.command, nowMs, effects);
        break;
      case 'stop':
        this.isStopped = true;
        this.holder.setMember(false, nowMs);
        break;
      default:
        break;
    }
  }

  private obey(command: ClaimCommand, nowMs: number, effects: ControlEffect[]): void {
    const { claim, attempt } = command;
    if (command.kind !== 'open') {
      this.tellHolders(command.kind, claim, attempt, nowMs, effects);
      return;
    }
    const { holders } = this.groups.of(claim);
    if (holders.length === 0 || this.open.size >= MAX_OPEN_CLAIMS || this.open.has(attempt)) {
      this.options.counters.add(CLAIM_COUNTERS.unavailable);
      command.onOutcome({ outcome: 'unavailable' });
      return;
    }
    const ids = holders.map((holder) => holder.id);
    const round = new ClaimRound(ids, nowMs + CLAIM_ROUND_MS);
    this.open.set(attempt, { claim, round, onOutcome: command.onOutcome });
    this.tellHolders('request', claim, attempt, nowMs, effects);
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
        for (const part of this.holder.syncAnswer(message.round, nowMs)) {
          effects.push({ type: 'send', to: from.id, message: part });
        }
        break;
      case 'claim-sync':
        if (this.groups.own.others().some((holder) => holder.id === from.id)) {
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
    const open = this.open.get(message.attempt);
    if (isAnswer(message)) {
      if (open?.claim === message.claim) {
        this.take(message.attempt, open, from.id, message, nowMs, effects);
      }
      return;
    }
    const step = this.holderStep(message, nowMs);
    if (step !== undefined) {
      effects.push({ type: 'send', to: from.id, message: { ...message, step } });
    }
  }

  private take(
    attempt: string,
    open: OpenClaim,
    holder: string,
    answer: ClaimMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const outcome = open.round.record(holder, answer.step);
    if (outcome !== undefined) {
      this.settle(attempt, open, outcome, nowMs, effects);
    }
  }

  private settle(
    attempt: string,
    open: OpenClaim,
    outcome: ClaimOutcome,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.open.delete(attempt);
    this.options.counters.add(CLAIM_COUNTERS[outcome.outcome]);
    if (outcome.outcome !== 'won') {
      this.tellHolders('release', open.claim, attempt, nowMs, effects);
    }
    open.onOutcome(outcome);
  }

  /** Sends a step to every holder, this node among them where it is one. */
  private tellHolders(
    step: 'request' | 'finish' | 'release',
    claim: string,
    attempt: string,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const message: ClaimMessage = { type: 'claim', step, claim, attempt };
    const wait = { key: `${step} ${attempt}`, untilMs: nowMs + CLAIM_ROUND_MS };
    const set = this.groups.of(claim);
    for (const holder of set.holders) {
      if (set.isSelf(holder)) {
        this.tellSelf(holder, message, nowMs, effects);
      } else {
        this.options.counters.add(CLAIM_COUNTERS.messages);
        effects.push(...this.links.send(holder, message, wait));
      }
    }
  }

  private tellSelf(
    self: Holder,
    message: ClaimMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const step = this.holderStep(message, nowMs);
    const open = this.open.get(message.attempt);
    if (step !== undefined && open !== undefined) {
      this.take(message.attempt, open, self.id, { ...message, step }, nowMs, effects);
    }
  }

  /** Ends rounds whose time is over, before anything that came late is counted. */
  private endRounds(nowMs: number, effects: ControlEffect[]): void {
    for (const [attempt, open] of this.open) {
      if (nowMs < open.round.endsAtMs) {
        return;
      }
      const silent = new Set(open.round.unanswered());
      this.settle(attempt, open, open.round.withoutMajority(), nowMs, effects);
      this.groups
        .of(open.claim)
        .holders.filter((holder) => silent.has(holder.id))
        .forEach((holder) => this.links.unanswered(holder));
    }
  }

  /** Asks the other holders for their claims while this one is new. */
  private askOthers(nowMs: number, effects: ControlEffect[]): void {
    const round = this.holder.syncDue(this.groups.own.holders.length, nowMs);
    if (round === undefined) {
      return;
    }
    const wait = { key: 'claim-sync-request', untilMs: nowMs + CLAIM_ROUND_MS };
    for (const holder of this.groups.own.others()) {
      effects.push(...this.links.send(holder, { type: 'claim-sync-request', round }, wait));
    }
  }

  /** A claim of another group was sent by a node with another number of groups: never granted. */
  private holderStep(message: ClaimMessage, nowMs: number): ClaimStep | undefined {
    if (!this.groups.isOwn(message.claim)) {
      return message.step === 'request' ? 'unready' : undefined;
    }
    return this.holder.handle(message, nowMs);
  }

  private followClock(nowMs: number): void {
    const leadMs = nowMs - (this.options.steadyNow?.() ?? nowMs);
    const advancedMs = leadMs - (this.clockLeadMs ?? leadMs);
    if (advancedMs > 0) {
      this.holder.postpone(advancedMs);
    }
    this.clockLeadMs = Math.max(this.clockLeadMs ?? leadMs, leadMs);
  }
}

/** Whether the step is a holder's answer. */
function isAnswer({ step }: ClaimMessage): boolean {
  return step === 'granted' || step === 'claimed' || step === 'finished' || step === 'unready';
}
