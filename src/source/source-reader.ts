/**
 * Reads the platform on behalf of the fleet while this node holds a lease, and grants leases to
 * others as an elector. Pure decision logic; a part of the control plane.
 *
 * Every event is preceded by a look at the clock: a process that was stopped past the end of its
 * lease closes its connection to the platform before it does anything else.
 */
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
  PlatformAnswer,
  PlatformDocument,
} from '../control/control-event.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { LeaseAnswerMessage, PeerMessage } from '../wire/message.js';
import { ReaderEvidence, RecoveryPolicy, ZonePolicy } from './candidate-policies.js';
import { Elector } from './elector.js';
import { Electorate } from './electorate.js';
import { LeaseCandidate, type ElectorCommand } from './lease-candidate.js';
import { LeaseExchange } from './lease-exchange.js';
import { RECOVERY_SLOT, ROUND_TIMEOUT_MS } from './lease-terms.js';
import { FAILURES_BEFORE_HANDOVER, PlatformPoll } from './platform-poll.js';
import { SOURCE_COUNTERS } from './source-counters.js';
import type { SourceReaderOptions } from './source-reader-options.js';

/** Time for which a node that could not reach the platform leaves the lease to others. */
export const HANDOVER_REST_MS = 5_000;

/** Elector, candidate and reader of one node. */
export class SourceReader implements ControlComponent {
  private readonly electorate: Electorate;
  private readonly elector: Elector;
  private readonly exchange: LeaseExchange;
  private readonly evidence = new ReaderEvidence();
  private readonly zonePolicy: ZonePolicy;
  private readonly recoveryPolicy: RecoveryPolicy;
  private readonly zone: LeaseCandidate;
  private readonly recovery: LeaseCandidate;
  private readonly poll: PlatformPoll | undefined;
  private isReading = false;
  private isStopped = false;
  /** Most by which the clock of events was ahead of the steady one. */
  private clockLeadMs: number | undefined;

  constructor(private readonly options: SourceReaderOptions) {
    const { random, lease, seeds, readerShares } = options;
    const { durationMs } = lease;
    const view = options.electorate;
    this.electorate = new Electorate({ view, seeds, readerShares, durationMs });
    this.elector = new Elector(durationMs);
    const { electorate, elector, evidence } = this;
    this.exchange = new LeaseExchange(view.identity, electorate, elector, options.counters);
    const context = { electorate, elector, random, durationMs };
    this.zonePolicy = new ZonePolicy(context);
    this.zone = new LeaseCandidate(lease, this.zonePolicy, random);
    this.recoveryPolicy = new RecoveryPolicy(
      context,
      evidence,
      () => this.zone.failures,
      (nowMs) => this.zone.lease.heldSlot(nowMs) !== undefined,
    );
    this.recovery = new LeaseCandidate(lease, this.recoveryPolicy, random);
    this.poll = options.poll === undefined ? undefined : new PlatformPoll(options.poll, random);
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    this.closeWhenLost(nowMs, effects);
    this.followClock(nowMs);
    this.followMachines(nowMs);
    this.dispatch(event, nowMs, effects);
    if (!this.isStopped && this.poll !== undefined) {
      this.advance(this.zone, nowMs, effects);
      this.advance(this.recovery, nowMs, effects);
      this.closeWhenLost(nowMs, effects);
      this.read(this.poll, nowMs, effects);
    }
    return effects;
  }

  nextWakeAt(): number {
    const leaseEndMs = this.isReading ? this.readableUntilMs() : Infinity;
    const pollAtMs = this.isReading ? (this.poll?.nextWakeAt() ?? Infinity) : Infinity;
    return Math.min(this.zone.nextWakeAt(), this.recovery.nextWakeAt(), leaseEndMs, pollAtMs);
  }

  /** Slots whose lease this node holds at `nowMs`. */
  heldSlots(nowMs: number): string[] {
    const slots = [this.zone.lease.heldSlot(nowMs), this.recovery.lease.heldSlot(nowMs)];
    return slots.filter((slot) => slot !== undefined);
  }

  /** The platform may be read before this time; -Infinity without a lease. */
  readableUntilMs(): number {
    return Math.max(this.zone.lease.expiresAtMs(), this.recovery.lease.expiresAtMs());
  }

  private dispatch(event: ControlEvent, nowMs: number, effects: ControlEffect[]): void {
    switch (event.type) {
      case 'start':
        this.start(nowMs);
        break;
      case 'peer-up':
        effects.push(...this.exchange.links.peerUp(event.peer, nowMs));
        break;
      case 'peer-down':
        this.exchange.links.peerDown(event.peer);
        break;
      case 'dial-failed':
        this.exchange.links.dialFailed(event.target);
        break;
      case 'message':
        this.handleMessage(event.from, event.message, nowMs, effects);
        break;
      case 'platform-answer':
        this.handleAnswer(event.document, event.readId, event.answer, nowMs, effects);
        break;
      case 'stop':
        this.stop(nowMs, effects);
        break;
      case 'wake':
      case 'operator-write':
      case 'claim':
      case 'suspicions':
        break;
    }
  }

  private start(nowMs: number): void {
    this.electorate.start(nowMs);
    this.evidence.note(this.zone.failures, nowMs);
    this.scheduleCandidates(nowMs);
  }

  private stop(nowMs: number, effects: ControlEffect[]): void {
    this.isStopped = true;
    this.exchange.stop();
    this.deliver(this.zone, this.zone.stop(nowMs), nowMs, effects);
    this.deliver(this.recovery, this.recovery.stop(nowMs), nowMs, effects);
  }

  /** Grants are held to the steady clock when the clock of events runs ahead of it. */
  private followClock(nowMs: number): void {
    const leadMs = nowMs - (this.options.steadyNow?.() ?? nowMs);
    const advancedMs = leadMs - (this.clockLeadMs ?? leadMs);
    if (advancedMs > 0) {
      this.elector.postpone(advancedMs);
      this.electorate.postpone(advancedMs);
    }
    this.clockLeadMs = Math.max(this.clockLeadMs ?? leadMs, leadMs);
  }

  private followMachines(nowMs: number): void {
    if (this.electorate.refresh(nowMs)) {
      this.evidence.note(this.zone.failures, nowMs);
      this.scheduleCandidates(nowMs);
    }
  }

  private scheduleCandidates(nowMs: number): void {
    if (!this.isStopped && this.poll !== undefined) {
      this.zone.schedule(nowMs);
      this.recovery.schedule(nowMs);
    }
  }

  private handleMessage(
    from: PeerIdentity,
    message: PeerMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    switch (message.type) {
      case 'lease-request':
        effects.push({
          type: 'send',
          to: from.id,
          message: this.exchange.grant(from, message, nowMs),
        });
        break;
      case 'lease-release':
        this.elector.release(from, message, nowMs);
        this.scheduleCandidates(nowMs);
        break;
      case 'lease-answer':
        this.handleLeaseAnswer(from, message, nowMs, effects);
        break;
      default:
        break;
    }
  }

  private handleLeaseAnswer(
    from: PeerIdentity,
    answer: LeaseAnswerMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const candidate = answer.slot === RECOVERY_SLOT ? this.recovery : this.zone;
    this.deliver(candidate, candidate.handleAnswer(from, answer, nowMs), nowMs, effects);
    if (candidate === this.zone && !answer.granted && answer.retryAfterMs > ROUND_TIMEOUT_MS) {
      this.evidence.note(this.zone.failures, nowMs);
    }
  }

  private advance(candidate: LeaseCandidate, nowMs: number, effects: ControlEffect[]): void {
    const silent = candidate.unanswered();
    const wasHeld = candidate.lease.heldSlot(nowMs) !== undefined;
    const commands = candidate.advance(nowMs);
    if (commands.length === 0) {
      return;
    }
    const forgetLinks = (): void =>
      silent.forEach((target) => this.exchange.links.unanswered(target));
    if (wasHeld) {
      forgetLinks();
    }
    this.deliver(candidate, commands, nowMs, effects);
    if (!wasHeld) {
      forgetLinks();
    }
  }

  /** Sends commands. A lease is given back only after the connection is closed. */
  private deliver(
    candidate: LeaseCandidate,
    commands: readonly ElectorCommand[],
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.closeWhenLost(nowMs, effects);
    this.exchange.deliver(candidate, commands, nowMs, effects);
  }

  private handleAnswer(
    document: PlatformDocument,
    readId: number,
    answer: PlatformAnswer,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    if (this.poll === undefined || !this.poll.isPending(document, readId)) {
      return;
    }
    const { documents, counters } = this.options;
    const before = documents.heldNumber(document);
    effects.push(...documents.offer(document, answer, nowMs));
    this.poll.answered(answer, documents.heldNumber(document) !== before, nowMs);
    this.followMachines(nowMs);
    if (answer.outcome === 'unavailable') {
      counters.add(SOURCE_COUNTERS.failedReads);
      this.handOverWhenCutOff(this.poll, nowMs);
    }
  }

  /** A holder that can't reach the platform lets others try, when there are others. */
  private handOverWhenCutOff(poll: PlatformPoll, nowMs: number): void {
    const electors = [...this.electorate.zoneElectors, ...this.electorate.recoveryElectors];
    const isAlone = electors.every((target) => this.electorate.isSelf(target));
    if (poll.failures >= FAILURES_BEFORE_HANDOVER && !isAlone) {
      this.zonePolicy.rest(nowMs + HANDOVER_REST_MS);
      this.recoveryPolicy.rest(nowMs + HANDOVER_REST_MS);
    }
  }

  private read(poll: PlatformPoll, nowMs: number, effects: ControlEffect[]): void {
    const endsAtMs = this.readableUntilMs();
    if (nowMs >= endsAtMs) {
      return;
    }
    if (!this.isReading) {
      this.beginReading(poll, nowMs, effects);
    }
    const read = poll.due(
      (document) => this.options.documents.heldNumber(document),
      endsAtMs,
      nowMs,
    );
    if (read !== undefined) {
      this.options.counters.add(SOURCE_COUNTERS.reads);
      effects.push(read);
    }
  }

  private beginReading(poll: PlatformPoll, nowMs: number, effects: ControlEffect[]): void {
    this.isReading = true;
    poll.start(nowMs);
    this.evidence.note(this.zone.failures, nowMs);
    this.options.counters.add(SOURCE_COUNTERS.leasesWon);
    const detail = this.heldSlots(nowMs).join(', ');
    effects.push({ type: 'state-change', what: 'reader-lease-won', detail });
  }

  /** Closes the connection as soon as no lease is in force. */
  private closeWhenLost(nowMs: number, effects: ControlEffect[]): void {
    if (!this.isReading || nowMs < this.readableUntilMs()) {
      return;
    }
    this.isReading = false;
    this.poll?.stop();
    this.options.counters.add(SOURCE_COUNTERS.leasesLost);
    effects.push({ type: 'close-platform' });
    effects.push({ type: 'state-change', what: 'reader-lease-lost', detail: '' });
  }
}
