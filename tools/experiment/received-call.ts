/**
 * An attempt at the node that owns the endpoint, as `RelayedRequest` of the product receives it: its body
 * by the credit of the node's pool, its place kept meanwhile. Bodies are collected whatever their length.
 */
import type { Endpoint } from '../../src/model/resource.js';
import type { Answer, Attempt, AttemptObserver, Call, LoadReport } from '../../src/proxy/call.js';
import { refusalLeadMs } from '../../src/proxy/refusal-lead.js';
import { DeadlinePassedError, type RequestError } from '../../src/proxy/request-error.js';
import { onTimeRank } from '../../src/admission/work-rank.js';
import type { CancelTimer, Scheduler } from '../../src/proxy/scheduler.js';
import type { BodyCredit, CreditPool } from '../../src/proxy/relay/credit-pool.js';
import { bufferedCall, type OwnedEndpoints } from '../../src/proxy/relay/relayed-request.js';

/** What it needs of its node, and the way back to the sender. */
export interface ReceivingNode {
  readonly scheduler: Scheduler;
  readonly gateway: OwnedEndpoints;
  readonly credits: CreditPool;
}

/** The way back. */
export interface SenderObserver extends AttemptObserver {
  granted(bytes: number): void;
}

/** The attempt. */
export class ReceivedCall implements AttemptObserver {
  private credit: BodyCredit | undefined;
  private attempt: Attempt | undefined;
  private missingBytes = 0;
  private isOver = false;
  private cancelCollecting: CancelTimer | undefined;

  constructor(
    private readonly node: ReceivingNode,
    private readonly endpoint: Endpoint,
    private readonly call: Call,
    private readonly sender: SenderObserver,
  ) {}

  /** The head has arrived; `bodyBytes` are still to come. */
  start(bodyBytes: number): void {
    const { knownMaxRatePerS } = this.call;
    if (knownMaxRatePerS !== undefined) {
      this.node.gateway.rateLimitReported(this.endpoint, knownMaxRatePerS);
    }
    if (bodyBytes === 0) {
      this.submit(this.call);
      return;
    }
    this.missingBytes = bodyBytes;
    const { credits, gateway } = this.node;
    this.credit = credits.open({
      rank: onTimeRank(this.call.priority),
      lengthBytes: bodyBytes,
      grant: (bytes) => this.sender.granted(bytes),
    });
    const refusal = gateway.reserve(this.endpoint, this.call, this.credit.expectedArrival());
    if (refusal !== undefined) {
      this.failed(refusal, this.load());
      return;
    }
    this.refuseUnlessCollected();
    this.credit.addDemand(bodyBytes);
  }

  /** A part of the body has arrived. */
  takeBody(bytes: number): void {
    if (this.isOver || this.credit === undefined) {
      return;
    }
    this.missingBytes -= bytes;
    this.credit.recordArrival(bytes);
    if (this.missingBytes === 0) {
      this.credit.close();
      this.cancelCollecting?.();
      this.submit(bufferedCall(this.call, this.call.body, this.node.scheduler.now()));
    }
  }

  /** Nobody waits for the answer any more. */
  abandon(): void {
    if (!this.isOver) {
      this.end();
      this.attempt?.abort();
    }
  }

  answered(answer: Answer): void {
    if (!this.isOver) {
      if (answer.body.kind === 'held') {
        this.end();
      }
      this.sender.answered({ ...answer, load: answer.load && this.withBodyTime(answer.load) });
    }
  }

  failed(error: RequestError, load?: LoadReport): void {
    if (!this.isOver) {
      this.end();
      this.sender.failed(error, load && this.withBodyTime(load));
    }
  }

  private submit(call: Call): void {
    const attempt = this.node.gateway.submit(this.endpoint, call, this);
    if (!this.isOver) {
      this.attempt = attempt;
    }
  }

  private refuseUnlessCollected(): void {
    const { scheduler } = this.node;
    const leftMs = this.call.deadlineAtMs - scheduler.now();
    this.cancelCollecting = scheduler.schedule(leftMs - refusalLeadMs(leftMs), () => {
      this.failed(new DeadlinePassedError('the body did not arrive in time'), this.load());
    });
  }

  private load(): LoadReport {
    return this.node.gateway.load(this.endpoint, this.call.workClass);
  }

  private withBodyTime(load: LoadReport): LoadReport {
    const { serviceMs } = load;
    return this.credit === undefined || serviceMs === undefined
      ? load
      : { ...load, serviceMs: serviceMs + this.node.credits.meanBodyMs };
  }

  private end(): void {
    this.isOver = true;
    this.cancelCollecting?.();
    this.node.gateway.unreserve(this.endpoint, this.call);
    this.credit?.close();
  }
}
