/** Admits callers' requests to the node and prepares them up to their first attempt. */
import type { Snapshot } from '../model/snapshot.js';
import { RouteTableCache, type RouteMatch } from '../routing/route-table.js';
import { MAX_CLAIMED_REQUEST_MS } from '../claims/claim-terms.js';
import { BodyBufferBudget, receiveBody } from './body-receiver.js';
import type { CallMeter } from './call-meter.js';
import type { CallerRequest, CallerResponse } from './caller-server.js';
import { ClaimGate } from './claim-gate.js';
import type { ClaimedAttempt, IdempotencyClaims } from './idempotency-claims.js';
import type { PlannedStop } from './planned-stop.js';
import type { ProxyLimits } from './proxy-limits.js';
import type { CallerReply } from './request-context.js';
import {
  DeadlinePassedError,
  InternalError,
  NodeStoppingError,
  NotConfiguredError,
  OverloadedError,
  RequestError,
  RouteNotFoundError,
} from './request-error.js';
import { ATTEMPT_SEPARATOR, NO_REQUEST_LOG } from './request-log.js';
import type { RequestProxyOptions } from './request-path.js';
import { RequestRunner } from './request-runner.js';
import type { RequestServices } from './request-services.js';
import { withCredential } from './route-credential.js';
import { MACHINE_TIME } from './scheduler.js';

/** Retry delay for callers of a node that has no configuration yet, in milliseconds. */
const NOT_CONFIGURED_RETRY_MS = 1_000;
/** Retry delay for callers of a node that is about to stop, in milliseconds; by then they are sent to another one. */
const STOPPING_RETRY_MS = 50;

/** Dependencies of {@link RequestIntake}. */
export interface RequestIntakeOptions {
  readonly node: RequestProxyOptions;
  readonly limits: ProxyLimits;
  readonly services: RequestServices;
  /** Counts the requests in flight, including those relayed from other nodes. */
  readonly meter: CallMeter;
  readonly stop: PlannedStop;
}

/** A request whose route has been found. */
interface RoutedRequest {
  readonly request: CallerRequest;
  readonly snapshot: Snapshot;
  readonly match: RouteMatch;
  readonly requestId: string;
  readonly attemptPrefix: string;
  readonly deadlineAtMs: number;
}

export class RequestIntake {
  private readonly routeTables = new RouteTableCache();
  private readonly bodyBufferBudget: BodyBufferBudget;
  private requestCount = 0;
  /** Callers' requests in flight. */
  private readonly runners = new Set<RequestRunner>();
  /** Callers' requests whose idempotency key has to be claimed. */
  private readonly claimGates = new Set<ClaimGate>();

  constructor(private readonly options: RequestIntakeOptions) {
    this.bodyBufferBudget = new BodyBufferBudget(options.limits.maxHeldBytes);
  }

  /** Sends every caller's request in flight its final answer. Returns the number of requests. */
  giveUp(): number {
    const log = this.options.node.requestLog ?? NO_REQUEST_LOG;
    const waiting = [...this.claimGates].filter((gate) => gate.giveUp(log)).length;
    return waiting + [...this.runners].filter((runner) => runner.giveUp()).length;
  }

  /** Returns a request id that is unique in the fleet. */
  nextRequestId(): string {
    this.requestCount += 1;
    const { id, incarnation } = this.options.node.identity;
    return `${id}-${incarnation.toString(36)}-${this.requestCount.toString(36)}`;
  }

  /** Handles a request from its caller; each request gets an answer or an error. */
  handle(request: CallerRequest, response: CallerResponse): void {
    const ownId = this.nextRequestId();
    const requestId = request.requestId ?? ownId;
    const isNamedByCaller = request.requestId !== undefined;
    const attemptPrefix = isNamedByCaller ? `${requestId}${ATTEMPT_SEPARATOR}${ownId}` : ownId;
    this.options.node.counters.add('ferryspool_requests_total');
    const isFull = this.options.meter.inFlight >= this.options.limits.maxCallsInFlight;
    const exchange = { once: (_event: 'close', end: () => void) => response.onClose(end) };
    this.options.meter.count(exchange, this.options.node.onRequestMs);
    try {
      if (this.options.stop.refusesNewWork(MACHINE_TIME.now())) {
        throw new NodeStoppingError('the node is about to stop', STOPPING_RETRY_MS);
      }
      if (isFull) {
        throw new OverloadedError('the node has too many requests in flight');
      }
      this.run(request, response, requestId, attemptPrefix);
    } catch (error) {
      const refusal = this.asRequestError(error);
      const { code, verdict } = refusal;
      this.options.node.requestLog?.record({
        event: 'request-failed',
        request: requestId,
        code,
        verdict,
      });
      response.fail(refusal, refusal.verdict, requestId);
    }
  }

  private run(
    request: CallerRequest,
    response: CallerResponse,
    requestId: string,
    attemptPrefix: string,
  ): void {
    const snapshot = this.options.node.snapshots.current();
    if (snapshot === undefined) {
      throw new NotConfiguredError('the node holds no configuration', NOT_CONFIGURED_RETRY_MS);
    }
    const match = this.routeTables
      .tableOf(snapshot)
      .match(request.host, request.path, request.method, (route) =>
        this.options.services.targets.next(route),
      );
    if (match === undefined) {
      throw new RouteNotFoundError('no route matches the request');
    }
    const attempt = this.claimedAttemptOf(request, match, attemptPrefix);
    const ownDeadlineAtMs = MACHINE_TIME.now() + timeLeftMs(request, match, attempt !== undefined);
    const deadlineAtMs = this.options.stop.deadlineWithin(ownDeadlineAtMs);
    const start = (reply: CallerReply): void => {
      this.start({ request, snapshot, match, requestId, attemptPrefix, deadlineAtMs }, reply);
    };
    if (attempt === undefined || this.options.node.claims === undefined) {
      start(response);
    } else {
      this.claim(this.options.node.claims, attempt, response, start);
    }
  }

  private claim(
    claims: IdempotencyClaims,
    attempt: ClaimedAttempt,
    response: CallerReply,
    start: (reply: CallerReply) => void,
  ): void {
    const gate = new ClaimGate(claims, attempt, response);
    this.claimGates.add(gate);
    response.onClose(() => this.claimGates.delete(gate));
    void gate.startWhenClaimed(start);
  }

  /** The claim that has to be won before the request may be forwarded; undefined if none is needed. */
  private claimedAttemptOf(
    request: CallerRequest,
    match: RouteMatch,
    requestId: string,
  ): ClaimedAttempt | undefined {
    const { idempotencyKey: key } = request;
    const isClaimed =
      key !== undefined && !match.repeatable && this.options.node.claims !== undefined;
    return isClaimed ? { service: match.service, key, attempt: requestId } : undefined;
  }

  private start(routed: RoutedRequest, response: CallerReply): void {
    const { request, snapshot, match, requestId, attemptPrefix, deadlineAtMs } = routed;
    const runner = new RequestRunner({
      services: this.options.services,
      snapshot,
      match,
      method: request.method,
      target: request.target,
      retries: request.retries,
      response,
      headers: withCredential(request.headers, match, snapshot),
      requestId,
      attemptPrefix,
      deadlineAtMs,
      callerDeadlineAtMs: callerDeadlineAtMs(request),
      unreadMs: request.waitedMs,
    });
    this.runners.add(runner);
    response.onClose(() => this.runners.delete(runner));
    if (this.options.stop.givesUp(MACHINE_TIME.now())) {
      runner.giveUp();
      return;
    }
    const { maxBodyBytes = this.options.limits.maxBodyBytes } = snapshot.callerLimits ?? {};
    this.startWithBody(runner, request, response, { ...this.options.limits, maxBodyBytes });
  }

  private startWithBody(
    runner: RequestRunner,
    request: CallerRequest,
    response: CallerReply,
    limits: ProxyLimits,
  ): void {
    try {
      const release = receiveBody(request.message, limits, this.bodyBufferBudget, (body) =>
        runner.start(body),
      );
      response.onClose(release);
    } catch (error) {
      runner.refuse(this.asRequestError(error));
    }
  }

  private asRequestError(error: unknown): RequestError {
    if (error instanceof RequestError) {
      return error;
    }
    this.options.node.logStateChange(
      'request-fault',
      error instanceof Error ? error.message : 'unknown',
    );
    return new InternalError('the node failed');
  }
}

function callerDeadlineAtMs({ timeoutMs, waitedMs }: CallerRequest): number | undefined {
  return timeoutMs === undefined ? undefined : MACHINE_TIME.now() + timeoutMs - waitedMs;
}

/** Time left for the request, in milliseconds; throws if none is left. */
function timeLeftMs(request: CallerRequest, match: RouteMatch, isClaimed: boolean): number {
  const maxClaimedMs = isClaimed ? MAX_CLAIMED_REQUEST_MS : Infinity;
  const { timeoutMs: requestedMs = Infinity, waitedMs } = request;
  const timeoutMs = Math.min(Math.min(match.timeoutMs, requestedMs) - waitedMs, maxClaimedMs);
  if (timeoutMs <= 0) {
    throw new DeadlinePassedError('the deadline has passed');
  }
  return timeoutMs;
}
