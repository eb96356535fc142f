/**
 * Reads the platform for the fleet while this node holds a lease, and grants leases to other nodes as an elector.
 * Pure decision logic; a component of the control plane.
 *
 * The clock is checked before every event is handled: a process that was suspended beyond the expiry of its lease
 * closes its connection to the platform before it does anything else.
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

/** Time for which a node that could not reach the platform requests no lease, in milliseconds. */
export const HANDOVER_PAUSE_MS = 5_000;

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
  /** Maximum observed lead of the event clock over the steady clock. */
  private maxClockLeadMs: number | undefined;

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
    this.closeIfLeaseLost(nowMs, effects);
    this.compensateClockAdvance(nowMs);
    this.refreshElectorate(nowMs);
    this.dispatch(event, nowMs, effects);
    if (!this.isStopped && this.poll !== undefined) {
      this.advance(this.zone, nowMs, effects);
      this.advance(this.recovery, nowMs, effects);
      this.closeIfLeaseLost(nowMs, effects);
      this.read(this.poll, nowMs, effects);
    }
    return effects;
  }

  nextWakeAt(): number {
    const leaseEndMs = this.isReading ? this.readableUntilMs() : Infinity;
    const pollAtMs = this.isReading ? (this.poll?.nextWakeAt() ?? Infinity) : Infinity;
    return Math.min(this.zone.nextWakeAt(), this.recovery.nextWakeAt(), leaseEndMs, pollAtMs);
  }

  /** Slots whose leases this node holds at `nowMs`. */
  heldSlots(nowMs: number): string[] {
    const slots = [this.zone.lease.heldSlot(nowMs), this.recovery.lease.heldSlot(nowMs)];
    return slots.filter((slot) => slot !== undefined);
  }

  /** Time before which the platform may be read; -Infinity without a lease. */
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
    this.evidence.recordReader(this.zone.failures, nowMs);
    this.scheduleCandidates(nowMs);
  }

  private stop(nowMs: number, effects: ControlEffect[]): void {
    this.isStopped = true;
    this.exchange.stop();
    this.deliver(this.zone, this.zone.stop(nowMs), nowMs, effects);
    this.deliver(this.recovery, this.recovery.stop(nowMs), nowMs, effects);
  }

  /** Extends grants and guard periods when the event clock moves ahead of the steady clock. */
  private compensateClockAdvance(nowMs: number): void {
    const leadMs = nowMs - (this.options.steadyNow?.() ?? nowMs);
    const advancedMs = leadMs - (this.maxClockLeadMs ?? leadMs);
    if (advancedMs > 0) {
      this.elector.postpone(advancedMs);
      this.electorate.postpone(advancedMs);
    }
    this.maxClockLeadMs = Math.max(this.maxClockLeadMs ?? leadMs, leadMs);
  }

  private refreshElectorate(nowMs: number): void {
    if (this.electorate.refresh(nowMs)) {
      this.evidence.recordReader(this.zone.failures, nowMs);
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
          message: this.exchange.answerRequest(from, message, nowMs),
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
      this.evidence.recordReader(this.zone.failures, nowMs);
    }
  }

  private advance(candidate: LeaseCandidate, nowMs: number, effects: ControlEffect[]): void {
    const unanswered = candidate.unanswered();
    const wasHeld = candidate.lease.heldSlot(nowMs) !== undefined;
    const commands = candidate.advance(nowMs);
    if (commands.length === 0) {
      return;
    }
    const reportUnanswered = (): void =>
      unanswered.forEach((target) => this.exchange.links.unanswered(target));
    if (wasHeld) {
      reportUnanswered();
    }
    this.deliver(candidate, commands, nowMs, effects);
    if (!wasHeld) {
      reportUnanswered();
    }
  }

  /** Sends commands. The connection to the platform is closed before a lease is released. */
  private deliver(
    candidate: LeaseCandidate,
    commands: readonly ElectorCommand[],
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.closeIfLeaseLost(nowMs, effects);
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
    const previousNumber = documents.heldNumber(document);
    effects.push(...documents.offer(document, answer, nowMs));
    this.poll.handleAnswer(answer, documents.heldNumber(document) !== previousNumber, nowMs);
    this.refreshElectorate(nowMs);
    if (answer.outcome === 'unavailable') {
      counters.add(SOURCE_COUNTERS.failedReads);
      this.handOverIfUnreachable(this.poll, nowMs);
    }
  }

  /** Lets other nodes acquire the lease if this one cannot reach the platform, unless it is the only elector. */
  private handOverIfUnreachable(poll: PlatformPoll, nowMs: number): void {
    const electors = [...this.electorate.zoneElectors, ...this.electorate.recoveryElectors];
    const isOnlyElector = electors.every((target) => this.electorate.isSelf(target));
    if (poll.failures >= FAILURES_BEFORE_HANDOVER && !isOnlyElector) {
      this.zonePolicy.pauseUntil(nowMs + HANDOVER_PAUSE_MS);
      this.recoveryPolicy.pauseUntil(nowMs + HANDOVER_PAUSE_MS);
    }
  }

  private read(poll: PlatformPoll, nowMs: number, effects: ControlEffect[]): void {
    const endsAtMs = this.readableUntilMs();
    if (nowMs >= endsAtMs) {
      return;
    }
    if (!this.isReading) {
      this.startReading(poll, nowMs, effects);
    }
    const read = poll.nextRead(
      (document) => this.options.documents.heldNumber(document),
      endsAtMs,
      nowMs,
    );
    if (read !== undefined) {
      this.options.counters.add(SOURCE_COUNTERS.reads);
      effects.push(read);
    }
  }

  private startReading(poll: PlatformPoll, nowMs: number, effects: ControlEffect[]): void {
    this.isReading = true;
    poll.start(nowMs);
    this.evidence.recordReader(this.zone.failures, nowMs);
    this.options.counters.add(SOURCE_COUNTERS.leasesWon);
    const detail = this.heldSlots(nowMs).join(', ');
    effects.push({ type: 'state-change', what: 'reader-lease-won', detail });
  }

  /** Closes the connection to the platform if no lease is in force any more. */
  private closeIfLeaseLost(nowMs: number, effects: ControlEffect[]): void {
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
