/** Admission to one endpoint. Executes the effects of {@link EndpointAdmission}. */
import type { ArrivalEvidence } from '../admission/arrival-window.js';
import { ColdStartLimiter } from '../admission/cold-start-limiter.js';
import {
  EndpointAdmission,
  type AdmissionEffect,
  type BodyArrival,
  type ClosedReason,
  type Refusal,
} from '../admission/endpoint-admission.js';
import type { SlownessReport } from '../admission/reported-slowness.js';
import { NO_CONTAINMENT, type CallContainment } from '../containment/containment.js';
import { SuspectLane } from '../containment/suspect-lane.js';
import type { CounterSink } from '../control/control-event.js';
import { incarnationOf, startedBefore } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { EndpointStatement } from '../routing/endpoint-statement.js';
import { EndpointStatements } from '../routing/endpoint-statements.js';
import { FailureShare } from '../routing/failure-share.js';
import type { AnswerStatement } from './answer-statement.js';
import { admissionError, containedError } from './attempt-errors.js';
import type { Attempt, AttemptObserver, Call, LoadReport } from './call.js';
import type { EndpointConnector } from './endpoint-client.js';
import {
  closedReasonOf,
  coldStateUpdatesOf,
  type ColdStateUpdate,
  type EndpointGateConfig,
} from './endpoint-gate-config.js';
import { GateHeadroom } from './gate-headroom.js';
import { failureEntry, refusalEntry, type GateLogState, type RecordedRefusal } from './gate-log.js';
import { GateStatements, type RateLimitUse } from './gate-statements.js';
import { GatedCall, type CallGate, type CancelLead } from './gated-call.js';
import { ProcessExitDetector } from './loss-judge.js';
import type { RequestError } from './request-error.js';
import type { RequestLog } from './request-log.js';
import {
  SlotAnnouncements,
  type AnnouncementReceiver,
  type SlotAnnouncementOptions,
} from './slot-announcements.js';
import type { CancelTimer, Scheduler } from './scheduler.js';
import type { SlotListener } from './waiting/slot-offer.js';
import { SlotOffers } from './waiting/slot-offers.js';

/** Reported slowness from which a report is counted as slow, in percent of usual. */
const SLOW_PERCENT = 150;

/** Options shared by all gates of a node. */
export interface GateOptions {
  readonly client: EndpointConnector;
  readonly counters: CounterSink;
  readonly scheduler: Scheduler;
  /** Tracks requests that are suspected of crashing endpoints; none are tracked when absent. */
  readonly containment?: CallContainment;
  /** Maximum number of requests that are queued for one endpoint. */
  readonly maxQueuedPerEndpoint: number;
  /** Maximum number of queued requests per slot of the endpoint; the default of admission when absent. */
  readonly maxQueuedPerSlot?: number;
  /** Whether long work leaves slots free for more urgent work; it does when absent. */
  readonly keepsHeadroom?: boolean;
  readonly cancelLead: CancelLead;
  /** Longest recent delay of the timers of this node, in milliseconds; 0 when absent. */
  readonly eventLoopLagMs?: () => number;
  /** What endpoints have stated about themselves; empty when absent. */
  readonly statements?: EndpointStatements;
  readonly requestLog?: RequestLog;
  /** Announces free slots to senders; not announced when absent. */
  readonly announcements?: SlotAnnouncementOptions;
  /** Called with the service time of each complete answer, in milliseconds. */
  readonly onEndpointMs?: (ms: number) => void;
  /** Called with the time from the dispatch of each request until it was written, in milliseconds. */
  readonly onSendDelayMs?: (ms: number) => void;
  /** Whether the node is in a planned stop, so that it offers no slots; never if absent. */
  readonly isStopping?: () => boolean;
  /** Logs a change of state. */
  readonly logStateChange: (what: string, detail: string) => void;
}

/** The slots of one incarnation of an endpoint and the requests that are queued for or occupy them. */
export class EndpointGate implements CallGate {
  private readonly admission: EndpointAdmission;
  private readonly coldStartLimiter: ColdStartLimiter;
  private readonly statement: EndpointStatement;
  private readonly statements: GateStatements;
  private readonly headroom: GateHeadroom;
  private readonly announcements: SlotAnnouncements | undefined;
  private cancelResume: CancelTimer | undefined;
  /** The endpoint as last configured. */
  private lastConfigured: Endpoint | undefined;
  private readonly calls = new Map<string, GatedCall>();
  private readonly failureShare = new FailureShare();
  private readonly containment: CallContainment;
  private readonly exitDetector: ProcessExitDetector<GatedCall>;
  private readonly suspectLimiter = new SuspectLane();
  private readonly slotOffers: SlotOffers;
  /** Suspected requests that wait until other suspected requests have ended. */
  private readonly deferredSuspects = new Set<GatedCall>();
  private isProbing = false;
  private lastReleaseAtMs: number;
  private isDrainedByEndpoint = false;
  private closedByConfiguration: ClosedReason | undefined;

  /** `startedAtMs` is when this node started. */
  constructor(
    readonly endpoint: Endpoint,
    private slots: number,
    private readonly options: GateOptions,
    startedAtMs = -Infinity,
  ) {
    const { maxQueuedPerEndpoint, maxQueuedPerSlot, keepsHeadroom } = options;
    this.lastReleaseAtMs = options.scheduler.now();
    this.coldStartLimiter = new ColdStartLimiter(startedAtMs);
    this.statement = (options.statements ?? new EndpointStatements()).of(endpoint);
    this.admission = new EndpointAdmission(
      slots,
      maxQueuedPerEndpoint,
      maxQueuedPerSlot,
      this.coldStartLimiter,
      this.statement.bucket,
      keepsHeadroom,
    );
    this.announcements =
      options.announcements && new SlotAnnouncements(endpoint, options.announcements);
    this.statements = new GateStatements({
      endpointName: endpoint.name,
      statement: this.statement,
      counters: options.counters,
      nowMs: () => options.scheduler.now(),
      logStateChange: options.logStateChange,
      onRateLimit: () => this.execute(this.admission.rateLimitChanged(options.scheduler.now())),
      onLeaving: () => this.updateClosed(),
    });
    this.headroom = new GateHeadroom({ ...options, endpointName: endpoint.name });
    this.slotOffers = new SlotOffers({
      endpoint,
      scheduler: options.scheduler,
      counters: options.counters,
      freeSlots: () => this.unusedSlots,
    });
    this.containment = options.containment ?? NO_CONTAINMENT;
    this.exitDetector = new ProcessExitDetector({
      inProgress: () => [...this.calls.values()].filter((gated) => gated.isInProgress()).reverse(),
      probeListening: (report) => options.client.probeListening(endpoint, report),
      schedule: (delayMs, action) => options.scheduler.schedule(delayMs, action),
      onExit: (requests) => this.handleProcessExit(requests),
    });
  }

  /** Whether no request is queued or running. */
  get isIdle(): boolean {
    return this.calls.size === 0;
  }

  /**
   * Whether the gate can be dropped without losing state: requests that have ended count towards the limit of a cold
   * endpoint for a while.
   */
  get isDroppable(): boolean {
    return this.isIdle && !this.coldStartLimiter.hasRecentRequests(this.options.scheduler.now());
  }

  /** The number of requests that wait for a slot. */
  get waitingCount(): number {
    return this.admission.waitingCount + this.deferredSuspects.size;
  }

  /** The number of requests that are queued or running. */
  get inFlight(): number {
    return this.admission.runningCount + this.waitingCount;
  }

  /** Slots that long work leaves free for more urgent work. */
  get headroomSlots(): number {
    return this.admission.headroomSlots(this.options.scheduler.now());
  }

  get rateLimitUse(): RateLimitUse {
    return this.statements.rateLimitUse;
  }

  load(workClass: string): LoadReport {
    return {
      inFlight: this.inFlight,
      slots: this.slots,
      draining: this.admission.closedReason === 'draining',
      failureShare: this.failureShare.at(this.options.scheduler.now()),
      serviceMs: this.admission.serviceMs(workClass),
      maxRatePerS: this.statement.maxRatePerS,
      slowness: this.admission.slownessAt(this.options.scheduler.now()),
      leavingIncarnation: this.statement.isLeaving ? incarnationOf(this.endpoint) : undefined,
    };
  }

  eventLoopLagMs(): number {
    return this.options.eventLoopLagMs?.() ?? 0;
  }

  submit(call: Call, observer: AttemptObserver): Attempt {
    const { client, scheduler, cancelLead } = this.options;
    const gated = new GatedCall(this, client, this.endpoint, call, observer, scheduler, cancelLead);
    this.admit(gated);
    return gated;
  }

  /** Reserves capacity for a call whose body has yet to arrive; without capacity, logs and returns the refusal. */
  reserve(call: Call, arrival: BodyArrival): RequestError | undefined {
    const refusal =
      this.refusalInFavourOfWaiters(call) ??
      this.admission.reserve(call, arrival, this.options.scheduler.now());
    if (refusal === undefined) {
      return undefined;
    }
    this.options.counters.add('ferryspool_endpoint_refusals_total');
    this.recordRefusal(refusal, call);
    return this.refusalError(refusal, call);
  }

  unreserve(call: Call): void {
    this.admission.unreserve(call.requestId);
    this.offerFreeSlots();
  }

  /** Offers free slots to nodes whose requests wait; to be called periodically, since limits rise with time. */
  offerFreeSlots(): void {
    this.slotOffers.offerFreeSlots();
  }

  slotDeclined(offerId: number, listener: SlotListener): void {
    this.slotOffers.declined(offerId, listener);
  }

  /** The connection to a node whose requests may wait has ended. */
  removeListener(listener: SlotListener): void {
    this.slotOffers.removeListener(listener);
  }

  /** Records a request that arrived from the receiver of announcements. */
  senderSeen(sender: AnnouncementReceiver): void {
    this.announcements?.senderSeen(sender, this.options.scheduler.now());
  }

  /** Announces free slots, if it is time to. */
  announceFreeSlots(): void {
    const nowMs = this.options.scheduler.now();
    this.announcements?.announce(
      this.admission.freeSlotsAt(nowMs),
      this.admission.slownessAt(nowMs),
      this.failureShare.at(nowMs),
      nowMs,
    );
  }

  withdraw(call: Call): boolean {
    const gated = this.calls.get(call.requestId);
    const wasWaiting = gated !== undefined && this.removeWaiting(gated);
    if (wasWaiting) {
      this.releaseSuspect(call.requestId);
    }
    return wasWaiting;
  }

  recordExpiry(call: Call, retryAfterMs: number): number | undefined {
    const { requestId } = call;
    const refusal = { requestId, reason: 'cannot-finish-in-time', retryAfterMs } as const;
    this.recordRefusal(refusal, call);
    const { retryAfterMs: waitMs } = this.admission.refuseInFavourOfOthers(
      call,
      this.options.scheduler.now(),
    );
    return this.registerRefused(call, { ...refusal, retryAfterMs: waitMs });
  }

  release(call: Call, serviceMs: number | undefined): void {
    this.calls.delete(call.requestId);
    this.lastReleaseAtMs = this.options.scheduler.now();
    if (serviceMs !== undefined) {
      this.options.onEndpointMs?.(serviceMs);
    }
    this.execute(this.admission.release(call.requestId, this.options.scheduler.now(), serviceMs));
    this.releaseSuspect(call.requestId);
    this.announceFreeSlots();
  }

  recordArrival({ requestId }: Call, evidence: ArrivalEvidence): void {
    this.coldStartLimiter.recordArrival(requestId, evidence, this.options.scheduler.now());
  }

  recordSent(delayMs: number): void {
    this.options.onSendDelayMs?.(delayMs);
  }

  recordUnfinished({ workClass }: Call, elapsedMs: number): void {
    this.admission.recordUnfinished(workClass, elapsedMs, this.options.scheduler.now());
  }

  classifyLoss(gated: GatedCall, report: (hasExited: boolean) => void): void {
    this.exitDetector.connectionLost(gated, report);
  }

  /** An error answer clears no suspicion: a request may fail on one endpoint and crash another. */
  answerCompleted(gated: GatedCall, isSuccess: boolean): void {
    this.exitDetector.answered(gated);
    if (isSuccess) {
      this.containment.answered(gated.call);
    }
  }

  applyStatement(statement: AnswerStatement, sentAtMs: number): void {
    this.statements.applyAnswer(statement, sentAtMs);
  }

  /** Applies the rate limit that a caller's node knows. */
  applyReportedRateLimit(maxRatePerS: number): void {
    this.statements.applyReport(maxRatePerS);
  }

  applyLoadReport(load: LoadReport | undefined): void {
    if (load !== undefined && load.slots > 0) {
      this.admission.endpointReported(load.inFlight, this.options.scheduler.now());
    }
    if (load?.slowness !== undefined) {
      this.applySlowness(load.slowness);
    }
    if (load?.draining === true && !this.isDrainedByEndpoint) {
      this.isDrainedByEndpoint = true;
      this.updateClosed();
    }
  }

  private applySlowness(report: SlownessReport): void {
    this.options.counters.add('ferryspool_endpoint_speed_reports_total');
    if (report.percent >= SLOW_PERCENT) {
      this.options.counters.add('ferryspool_endpoint_slow_reports_total');
    }
    this.admission.slownessReported(report, this.options.scheduler.now());
  }

  recordOutcome(hasFailed: boolean): void {
    this.failureShare.record(hasFailed, this.options.scheduler.now());
  }

  applyRefusal(load: LoadReport | undefined): void {
    this.applyLoadReport(load);
    this.admission.endpointRefused();
  }

  /** Applies the configuration; a removed endpoint is drained. */
  configure({ endpoint, slots, coldStart, coldShare, rateShare }: EndpointGateConfig): void {
    this.coldStartLimiter.configure(coldStart, coldShare);
    this.statement.setRateShare(rateShare, this.options.scheduler.now());
    if (endpoint !== this.lastConfigured) {
      coldStateUpdatesOf(endpoint, this.lastConfigured).forEach((update) => {
        this.applyColdStateUpdate(update);
      });
      this.lastConfigured = endpoint;
    }
    this.closedByConfiguration = closedReasonOf(endpoint);
    this.updateClosed();
    if (slots !== this.slots) {
      this.slots = slots;
      this.execute(this.admission.setSlots(slots, this.options.scheduler.now()));
    }
  }

  /** Whether the endpoint is cold, to the knowledge of this node. */
  get isCold(): boolean {
    return this.options.scheduler.now() < this.coldStartLimiter.coldUntil;
  }

  /**
   * Moves the queued requests, which have not run, to the gate of the new incarnation after the endpoint has
   * restarted. Running requests stay, since their connections close with the process that they were sent to.
   */
  handOver(next: EndpointGate): void {
    this.slotOffers.clear();
    const waiting = [...this.calls.values()].filter((gated) => this.removeWaiting(gated));
    this.admission.transferReservations(next.admission);
    if (startedBefore(this.endpoint, next.endpoint)) {
      this.exitDetector.endpointRestarted();
    }
    for (const gated of waiting) {
      this.suspectLimiter.leave(gated.call.requestId);
      gated.moveTo(next, next.endpoint);
      next.admit(gated);
    }
  }

  /** Asks an endpoint that reported draining whether it still is. */
  probeDraining(): void {
    if (!this.isDrainedByEndpoint || this.isProbing) {
      return;
    }
    this.isProbing = true;
    this.options.client.probeDraining(this.endpoint, (isDraining) => {
      this.isProbing = false;
      if (isDraining === false) {
        this.isDrainedByEndpoint = false;
        this.updateClosed();
      }
    });
  }

  private get unusedSlots(): number {
    const isStopping = this.options.isStopping?.() === true;
    return isStopping ? 0 : this.admission.freeSlotsAt(this.options.scheduler.now());
  }

  /** Refuses late work while requests wait that were refused before it. One with a reservation has been decided on. */
  private refusalInFavourOfWaiters(call: Call): Refusal | undefined {
    if (this.admission.hasReservation(call.requestId)) {
      return undefined;
    }
    this.slotOffers.requestArrived(call);
    return this.slotOffers.yieldsToWaiters(call)
      ? this.admission.refuseInFavourOfOthers(call, this.options.scheduler.now())
      : undefined;
  }

  /** The error for a refusal; registers the request if its sender waits for a slot. */
  private refusalError(refusal: Refusal, call: Call | undefined): RequestError {
    const slotWaitMs = this.registerRefused(call, refusal);
    return admissionError(refusal.reason, refusal.retryAfterMs, slotWaitMs);
  }

  /** Returns the time in which a slot is expected to be offered: no less than that since one was last released. */
  private registerRefused(call: Call | undefined, refusal: Refusal): number | undefined {
    const sinceReleaseMs = this.options.scheduler.now() - this.lastReleaseAtMs;
    const waitMs = Math.max(refusal.retryAfterMs, sinceReleaseMs);
    return this.slotOffers.register(call, { ...refusal, retryAfterMs: waitMs });
  }

  private admit(gated: GatedCall): void {
    const { call } = gated;
    this.calls.set(call.requestId, gated);
    const refusal = this.refusalInFavourOfWaiters(call);
    if (refusal !== undefined) {
      this.execute([{ type: 'refuse', ...refusal }]);
      return;
    }
    this.offer(gated);
    gated.scheduleExpiry(this.admission.latestStartAtMs(call, this.options.scheduler.now()));
  }

  /** Removes the request if it is queued; returns whether it was. */
  private removeWaiting(gated: GatedCall): boolean {
    const { requestId, callerNode } = gated.call;
    const wasWaiting =
      this.deferredSuspects.delete(gated) || this.admission.withdraw(requestId, callerNode);
    if (wasWaiting) {
      this.calls.delete(requestId);
    }
    return wasWaiting;
  }

  /** The exit of a draining endpoint is expected, so no request is suspected of causing it. */
  private handleProcessExit(requests: readonly GatedCall[]): void {
    if (this.admission.closedReason !== 'draining') {
      const calls = requests.map(({ call }) => call);
      this.containment.endpointEnded(this.endpoint.name, calls);
    }
  }

  /** Admits a request, defers it while other suspected requests are running, or refuses it. */
  private offer(gated: GatedCall): void {
    const { call } = gated;
    const { containment } = this;
    const standing = containment.standingOf(call);
    if (standing === 'contained') {
      this.refuseContained(gated);
      return;
    }
    const fingerprint = standing === 'clear' ? '' : containment.fingerprintOf(call);
    const request = { standing, fingerprint };
    if (this.suspectLimiter.admits(request, this.slots)) {
      this.suspectLimiter.enter(call.requestId, request);
      this.execute(this.admission.offer(call, this.options.scheduler.now()));
    } else {
      this.deferredSuspects.add(gated);
    }
  }

  /** Retries admission of the deferred requests once a suspected request has ended. */
  private releaseSuspect(requestId: string): void {
    if (this.suspectLimiter.leave(requestId)) {
      const waiting = [...this.deferredSuspects];
      this.deferredSuspects.clear();
      waiting.forEach((gated) => this.offer(gated));
    }
  }

  private refuseContained(gated: GatedCall): void {
    const { call } = gated;
    const retryAfterMs = this.containment.containedForMs(call);
    this.options.counters.add('ferryspool_contained_refusals_total');
    this.recordRefusal({ requestId: call.requestId, reason: 'contained', retryAfterMs }, call);
    this.calls.delete(call.requestId);
    this.releaseSuspect(call.requestId);
    gated.refuse(containedError(retryAfterMs));
  }

  private updateClosed(): void {
    const isDrained = this.isDrainedByEndpoint || this.statement.isLeaving;
    const reason = isDrained ? 'draining' : this.closedByConfiguration;
    if (reason !== this.admission.closedReason) {
      this.options.logStateChange('endpoint', `${this.endpoint.name} ${reason ?? 'open'}`);
      this.slotOffers.clear();
      this.execute(this.admission.close(reason, this.options.scheduler.now()));
    }
  }

  private applyColdStateUpdate(update: ColdStateUpdate): void {
    const nowMs = this.options.scheduler.now();
    const wasCold = this.isCold;
    if (update.kind === 'told') {
      this.coldStartLimiter.updateColdPeriod(update.coldForMs, nowMs);
    } else {
      this.coldStartLimiter.assumeCold(nowMs);
    }
    this.logColdState(wasCold, update.kind);
  }

  /** Logs for how long the endpoint is cold and how that is known, unless it was and is warm. */
  private logColdState(wasCold: boolean, source: ColdStateUpdate['kind']): void {
    if (wasCold || this.isCold) {
      const coldForMs = Math.max(0, this.coldStartLimiter.coldUntil - this.options.scheduler.now());
      const detail = `${this.endpoint.name} cold for ${Math.round(coldForMs)} ms, ${source}`;
      this.options.logStateChange('endpoint', detail);
    }
  }

  /** Schedules the dispatch of requests that are queued because of a rate limit or headroom. */
  private scheduleResume(): void {
    this.cancelResume?.();
    const { scheduler } = this.options;
    const delayMs = this.admission.resumeDelayMs(scheduler.now());
    this.cancelResume =
      delayMs === undefined
        ? undefined
        : scheduler.schedule(delayMs, () => {
            this.execute(this.admission.resume(scheduler.now()));
          });
  }

  private recordRefusal(refusal: RecordedRefusal, call: Call | undefined): void {
    const nowMs = this.options.scheduler.now();
    if (refusal.reason === 'rate-limited') {
      this.statements.recordRefusal();
    }
    const refused = call && {
      call,
      latestStartAtMs: this.admission.latestStartAtMs(call, nowMs),
      fingerprintOf: () => this.containment.fingerprintOf(call),
    };
    this.options.requestLog?.record(
      refusalEntry(refusal, refused, this.statement, this.logState, nowMs),
    );
  }

  recordFailure(call: Call, code: string, elapsedMs: number, detail: string): void {
    const { requestId } = call;
    const fingerprintOf = (): string => this.containment.fingerprintOf(call);
    this.options.requestLog?.record(
      failureEntry({ requestId, code, elapsedMs, detail, fingerprintOf }, this.logState),
    );
  }

  private get logState(): GateLogState {
    return {
      endpoint: this.endpoint.name,
      running: this.admission.runningCount,
      waiting: this.admission.waitingCount,
      slots: this.slots,
    };
  }

  private execute(effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      const gated = this.calls.get(effect.requestId);
      if (effect.type === 'dispatch') {
        if (gated !== undefined && this.containment.standingOf(gated.call) === 'contained') {
          this.refuseContained(gated);
          this.recordArrival(gated.call, 'never-sent');
          this.execute(this.admission.release(effect.requestId, this.options.scheduler.now()));
          continue;
        }
        this.options.counters.add('ferryspool_endpoint_dispatches_total');
        this.statements.recordSent();
        gated?.dispatch();
      } else {
        this.options.counters.add('ferryspool_endpoint_refusals_total');
        this.recordRefusal(effect, gated?.call);
        this.calls.delete(effect.requestId);
        gated?.refuse(this.refusalError(effect, gated.call));
        this.releaseSuspect(effect.requestId);
      }
    }
    this.updateHeadroom();
    if (this.needsResume || this.cancelResume !== undefined) {
      this.scheduleResume();
    }
    this.offerFreeSlots();
  }

  private updateHeadroom(): void {
    const { headroomSlots, slots } = this;
    const delayedCount = this.admission.delayedByHeadroomCount;
    this.headroom.update({ headroomSlots, slots, delayedCount }, this.options.scheduler.now());
  }

  /** Whether a request waits because of a rate limit or headroom. */
  private get needsResume(): boolean {
    return this.admission.resumeDelayMs(this.options.scheduler.now()) !== undefined;
  }
}
