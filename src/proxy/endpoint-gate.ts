/** Admission to one endpoint. Executes the effects of {@link EndpointAdmission}. */
import { ColdStartLimiter } from '../admission/cold-start-limiter.js';
import {
  EndpointAdmission,
  type AdmissionEffect,
  type BodyArrival,
  type ClosedReason,
  type Refusal,
} from '../admission/endpoint-admission.js';
import { NO_CONTAINMENT, type CallContainment } from '../containment/containment.js';
import { SuspectLane } from '../containment/suspect-lane.js';
import type { CounterSink } from '../control/control-event.js';
import { startedBefore } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import { FailureShare } from '../routing/failure-share.js';
import { admissionError, containedError } from './attempt-errors.js';
import type { Attempt, AttemptObserver, Call, LoadReport } from './call.js';
import type { EndpointPort } from './endpoint-client.js';
import { closedReasonOf, coldNewsOf, type EndpointTerms } from './endpoint-terms.js';
import { GatedCall, type CallGate, type CancelLead } from './gated-call.js';
import { ProcessExitDetector } from './loss-judge.js';
import type { RequestError } from './request-error.js';
import { fingerprintField, type RequestLog } from './request-log.js';
import type { CancelTimer, Scheduler } from './scheduler.js';

/** What gates share. */
export interface GateOptions {
  readonly client: EndpointPort;
  readonly counters: CounterSink;
  readonly scheduler: Scheduler;
  /** What is known of requests under which endpoints ended; nothing is learnt of them when absent. */
  readonly containment?: CallContainment;
  /** Requests that wait for one endpoint at most. */
  readonly maxQueuedPerEndpoint: number;
  /** The same, for each slot of the endpoint; the default of admission when absent. */
  readonly maxQueuedPerSlot?: number;
  readonly cancelLead: CancelLead;
  readonly requestLog?: RequestLog;
  /** Gets the time that an endpoint took for each whole answer, in milliseconds. */
  readonly onEndpointMs?: (ms: number) => void;
  /** Writes one line on a change of state. */
  readonly logStateChange: (what: string, detail: string) => void;
}

/** A refusal as the log has it. */
type RecordedRefusal = Omit<Refusal, 'reason'> & {
  readonly reason: Refusal['reason'] | 'contained';
};

/** The slots of one incarnation of an endpoint and the requests for them. */
export class EndpointGate implements CallGate {
  private readonly admission: EndpointAdmission;
  private readonly meter: ColdStartLimiter;
  private cancelResume: CancelTimer | undefined;
  /** The endpoint as the configuration had it last. */
  private configured: Endpoint | undefined;
  private readonly calls = new Map<string, GatedCall>();
  private readonly failures = new FailureShare();
  private readonly containment: CallContainment;
  private readonly losses: ProcessExitDetector<GatedCall>;
  private readonly lane = new SuspectLane();
  /** Requests under suspicion that wait until others of them are over. */
  private readonly heldBack = new Set<GatedCall>();
  private isProbing = false;
  private isDrainedByEndpoint = false;
  private closedByConfiguration: ClosedReason | undefined;

  /** `startedAtMs` is when this node began. */
  constructor(
    readonly endpoint: Endpoint,
    private slots: number,
    private readonly options: GateOptions,
    startedAtMs = -Infinity,
  ) {
    const { maxQueuedPerEndpoint, maxQueuedPerSlot } = options;
    this.meter = new ColdStartLimiter(startedAtMs);
    this.admission = new EndpointAdmission(
      slots,
      maxQueuedPerEndpoint,
      maxQueuedPerSlot,
      this.meter,
    );
    this.containment = options.containment ?? NO_CONTAINMENT;
    this.losses = new ProcessExitDetector({
      inProgress: () => [...this.calls.values()].filter((one) => one.isInProgress()).reverse(),
      probeListening: (report) => options.client.probeListening(endpoint, report),
      schedule: (delayMs, action) => options.scheduler.schedule(delayMs, action),
      onExit: (work) => this.takeEnd(work),
    });
  }

  /** Whether no request waits or runs. */
  get isIdle(): boolean {
    return this.calls.size === 0;
  }

  /** Requests that wait for a slot. */
  get waitingCount(): number {
    return this.admission.waitingCount + this.heldBack.size;
  }

  /** Requests that wait or run. */
  get inFlight(): number {
    return this.admission.runningCount + this.waitingCount;
  }

  load(workClass: string): LoadReport {
    return {
      inFlight: this.inFlight,
      slots: this.slots,
      draining: this.admission.closedReason === 'draining',
      failureShare: this.failures.at(this.options.scheduler.now()),
      serviceMs: this.admission.serviceMs(workClass),
    };
  }

  submit(call: Call, observer: AttemptObserver): Attempt {
    const { client, scheduler, cancelLead } = this.options;
    const gated = new GatedCall(this, client, this.endpoint, call, observer, scheduler, cancelLead);
    this.admit(gated);
    return gated;
  }

  /** Keeps a place for a call whose body is to come; the error, and a line in the log, when it has none. */
  reserve(call: Call, arrival: BodyArrival): RequestError | undefined {
    const refusal = this.admission.reserve(call, arrival, this.options.scheduler.now());
    if (refusal === undefined) {
      return undefined;
    }
    this.options.counters.add('ferryspool_endpoint_refusals_total');
    this.recordRefusal(refusal, call);
    return admissionError(refusal.reason, refusal.retryAfterMs);
  }

  unreserve(call: Call): void {
    this.admission.unreserve(call.requestId);
  }

  withdraw(call: Call): boolean {
    const gated = this.calls.get(call.requestId);
    const wasWaiting = gated !== undefined && this.takeOut(gated);
    if (wasWaiting) {
      this.leaveLane(call.requestId);
    }
    return wasWaiting;
  }

  recordExpiry(call: Call, retryAfterMs: number): void {
    const { requestId } = call;
    this.recordRefusal({ requestId, reason: 'cannot-finish-in-time', retryAfterMs }, call);
  }

  release(call: Call, serviceMs: number | undefined): void {
    this.calls.delete(call.requestId);
    if (serviceMs !== undefined) {
      this.options.onEndpointMs?.(serviceMs);
    }
    this.execute(this.admission.release(call.requestId, this.options.scheduler.now(), serviceMs));
    this.leaveLane(call.requestId);
  }

  recordUnfinished({ workClass }: Call, elapsedMs: number): void {
    this.admission.recordUnfinished(workClass, elapsedMs);
  }

  classifyLoss(gated: GatedCall, report: (hasEnded: boolean) => void): void {
    this.losses.connectionLost(gated, report);
  }

  /** A fault clears nobody: a request may fail in one place and end the process in another. */
  answerCompleted(gated: GatedCall, isSuccess: boolean): void {
    this.losses.answered(gated);
    if (isSuccess) {
      this.containment.answered(gated.call);
    }
  }

  applyLoadReport(load: LoadReport | undefined): void {
    if (load !== undefined && load.slots > 0) {
      this.admission.endpointReported(load.inFlight, this.options.scheduler.now());
    }
    if (load?.draining === true && !this.isDrainedByEndpoint) {
      this.isDrainedByEndpoint = true;
      this.updateClosed();
    }
  }

  recordOutcome(hasFailed: boolean): void {
    this.failures.record(hasFailed, this.options.scheduler.now());
  }

  applyRefusal(load: LoadReport | undefined): void {
    this.applyLoadReport(load);
    this.admission.endpointRefused();
  }

  /** Takes what the configuration says; an endpoint that is gone from it drains. */
  configure({ endpoint, slots, coldStart, coldShare }: EndpointTerms): void {
    this.meter.configure(coldStart, coldShare);
    if (endpoint !== this.configured) {
      this.takeColdNews(endpoint);
      this.configured = endpoint;
    }
    this.closedByConfiguration = closedReasonOf(endpoint);
    this.updateClosed();
    if (slots !== this.slots) {
      this.slots = slots;
      this.execute(this.admission.setSlots(slots, this.options.scheduler.now()));
    }
  }

  /** Whether the endpoint is cold, as far as this node knows. */
  get isCold(): boolean {
    return this.options.scheduler.now() < this.meter.coldUntil;
  }

  /**
   * The endpoint has started again: what waits here has not run, and waits at the gate of the new incarnation
   * from now on. What runs is left alone: the process that it was sent to takes its connections with it.
   */
  handOver(next: EndpointGate): void {
    const waiting = [...this.calls.values()].filter((gated) => this.takeOut(gated));
    this.admission.transferReservations(next.admission);
    if (startedBefore(this.endpoint, next.endpoint)) {
      this.losses.endpointRestarted();
    }
    for (const gated of waiting) {
      this.lane.leave(gated.call.requestId);
      gated.moveTo(next, next.endpoint);
      next.admit(gated);
    }
  }

  /** Asks an endpoint that said that it drains whether it still does. */
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

  private admit(gated: GatedCall): void {
    const { call } = gated;
    this.calls.set(call.requestId, gated);
    this.offer(gated);
    gated.scheduleExpiry(this.admission.latestStartAtMs(call, this.options.scheduler.now()));
  }

  /** Whether the request waited here; it does no more. */
  private takeOut(gated: GatedCall): boolean {
    const { requestId, callerNode } = gated.call;
    const wasWaiting =
      this.heldBack.delete(gated) || this.admission.withdraw(requestId, callerNode);
    if (wasWaiting) {
      this.calls.delete(requestId);
    }
    return wasWaiting;
  }

  /** A draining endpoint is expected to end: nothing is learnt from that. */
  private takeEnd(work: readonly GatedCall[]): void {
    if (this.admission.closedReason !== 'draining') {
      const calls = work.map(({ call }) => call);
      this.containment.endpointEnded(this.endpoint.name, calls);
    }
  }

  /** Admits a request, holds it back while others under suspicion are at work, or refuses it. */
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
    if (this.lane.admits(request, this.slots)) {
      this.lane.enter(call.requestId, request);
      this.execute(this.admission.offer(call, this.options.scheduler.now()));
    } else {
      this.heldBack.add(gated);
    }
  }

  /** Looks again at what is held back once a request under suspicion is over. */
  private leaveLane(requestId: string): void {
    if (this.lane.leave(requestId)) {
      const waiting = [...this.heldBack];
      this.heldBack.clear();
      waiting.forEach((gated) => this.offer(gated));
    }
  }

  private refuseContained(gated: GatedCall): void {
    const { call } = gated;
    const retryAfterMs = this.containment.containedForMs(call);
    this.options.counters.add('ferryspool_contained_refusals_total');
    this.recordRefusal({ requestId: call.requestId, reason: 'contained', retryAfterMs }, call);
    this.calls.delete(call.requestId);
    this.leaveLane(call.requestId);
    gated.refuse(containedError(retryAfterMs));
  }

  private updateClosed(): void {
    const reason = this.isDrainedByEndpoint ? 'draining' : this.closedByConfiguration;
    if (reason !== this.admission.closedReason) {
      this.options.logStateChange('endpoint', `${this.endpoint.name} ${reason ?? 'open'}`);
      this.execute(this.admission.close(reason, this.options.scheduler.now()));
    }
  }

  private takeColdNews(endpoint: Endpoint | undefined): void {
    const news = coldNewsOf(endpoint, this.configured);
    const nowMs = this.options.scheduler.now();
    if (news?.kind === 'told') {
      this.meter.updateColdPeriod(news.coldForMs, nowMs);
    } else if (news !== undefined) {
      this.meter.assumeCold(nowMs);
    }
  }

  /** What waits for the sake of a cold endpoint is sent as soon as that bears it. */
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

  private recordRefusal(
    { requestId, reason, retryAfterMs }: RecordedRefusal,
    call: Call | undefined,
  ): void {
    const nowMs = this.options.scheduler.now();
    this.options.requestLog?.record({
      event: 'attempt-refused',
      request: requestId,
      endpoint: this.endpoint.name,
      code: reason,
      retryAfterMs: Math.round(retryAfterMs),
      ...(call && {
        deadlineLeftMs: Math.round(call.deadlineAtMs - nowMs),
        startLeftMs: Math.round(this.admission.latestStartAtMs(call, nowMs) - nowMs),
        travelLostMs: Math.round(call.travelLostMs ?? 0),
        ...fingerprintField(reason, () => this.containment.fingerprintOf(call)),
      }),
      running: this.admission.runningCount,
      waiting: this.admission.waitingCount,
      slots: this.slots,
    });
  }

  recordFailure(call: Call, code: string, elapsedMs: number, detail: string): void {
    this.options.requestLog?.record({
      event: 'endpoint-failed',
      request: call.requestId,
      endpoint: this.endpoint.name,
      code,
      ...fingerprintField(code, () => this.containment.fingerprintOf(call)),
      elapsedMs: Math.round(elapsedMs),
      detail,
      running: this.admission.runningCount,
      waiting: this.admission.waitingCount,
      slots: this.slots,
    });
  }

  private execute(effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      const gated = this.calls.get(effect.requestId);
      if (effect.type === 'dispatch') {
        if (gated !== undefined && this.containment.standingOf(gated.call) === 'contained') {
          this.refuseContained(gated);
          this.execute(this.admission.release(effect.requestId, this.options.scheduler.now()));
          continue;
        }
        this.options.counters.add('ferryspool_endpoint_dispatches_total');
        gated?.dispatch();
      } else {
        this.options.counters.add('ferryspool_endpoint_refusals_total');
        this.recordRefusal(effect, gated?.call);
        this.calls.delete(effect.requestId);
        gated?.refuse(admissionError(effect.reason, effect.retryAfterMs));
        this.leaveLane(effect.requestId);
      }
    }
    if (this.isHeldForCold || this.cancelResume !== undefined) {
      this.scheduleResume();
    }
  }

  private get isHeldForCold(): boolean {
    return this.admission.resumeDelayMs(this.options.scheduler.now()) !== undefined;
  }
}
