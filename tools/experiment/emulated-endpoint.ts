/**
 * A back end: works on a request, then makes its calls one after the other, and answers. It ends the work
 * when its connection is closed, and confirms no cancellation, like those of the platform.
 */
import { Readable } from 'node:stream';
import type { Endpoint } from '../../src/model/resource.js';
import type { AnswerBody, Call } from '../../src/proxy/call.js';
import type {
  CancelOutcome,
  EndpointObserver,
  EndpointConnector,
} from '../../src/proxy/endpoint-client.js';
import type { Exchange } from '../../src/proxy/http-exchange.js';
import type { VirtualProcess } from '../emulator/virtual-process.js';
import type { PlannedRequest } from './call-plan.js';
import { plannedOf } from './emulated-body.js';
import type { EmulatedProcessor } from './emulated-processor.js';
import { ColdMeter } from './cold-meter.js';
import { EmulatedReply } from './emulated-reply.js';
import { LimitMeter } from './limit-meter.js';

/** Time for a word between a node and the endpoint beside it, in milliseconds. */
const LOOPBACK_MS = 0.2;
const OK_STATUS = 200;
/** How many times as long work takes at a cold endpoint. */
const COLD_SLOWNESS = 2;
/** Status of the answer to a request of which a call failed. */
export const FAULT_STATUS = 500;
const HELD_BODY: AnswerBody = { kind: 'held', bytes: Buffer.alloc(0) };

/** What an endpoint needs of its node. */
export interface EndpointHost {
  readonly process: VirtualProcess;
  /** Handles what the endpoint sends to its node. */
  readonly processor: EmulatedProcessor;
  /** Slots of the endpoint. */
  readonly slots: number;
  readonly speed: number;
  /** Makes a call for the work on `parent`. */
  readonly call: (request: PlannedRequest, parent: Call, reply: EmulatedReply) => void;
  /** The endpoint got an attempt. */
  readonly reached: (requestId: string) => void;
  /** The endpoint has answered an attempt. */
  readonly answered: (status: number) => void;
}

/** Work under way. */
interface Execution {
  readonly call: Call;
  readonly observer: EndpointObserver;
  stop: () => void;
}

/** The endpoint, as its own node reaches it. */
export class EmulatedEndpoint implements EndpointConnector {
  /** Whether its answers begin and do not end. */
  isSilent = false;
  /** How many times as long as planned work takes. */
  slowness = 1;
  readonly limitMeter = new LimitMeter();
  readonly coldMeter = new ColdMeter();
  /** Returns the time for which a request is held before it arrives, in milliseconds. */
  holdMs = (): number => 0;
  /** When the current process started, as its entry tells; undefined before the first restart. */
  private bornAtMs: number | undefined;
  private maxRatePerS = Infinity;
  private running = new Map<string, Execution>();

  constructor(private readonly host: EndpointHost) {}

  /** Names a rate limit in its answers from now on; none if it is Infinity. */
  nameLimit(maxRatePerS: number): void {
    this.maxRatePerS = maxRatePerS;
    this.limitMeter.setLimit(maxRatePerS, this.host.process.now());
  }

  /** All that ran is gone. */
  die(): void {
    const executions = [...this.running.values()];
    this.running = new Map();
    executions.forEach((execution) => execution.stop());
  }

  /** Is cold for `forMs` from now on. */
  becomeCold(forMs: number): void {
    const nowMs = this.host.process.now();
    this.coldMeter.becomeCold(nowMs, nowMs + forMs);
  }

  /** Its process ends and starts again; connections are lost, and requests for the earlier process are refused. */
  restart(bornAtMs: number): void {
    const lost = [...this.running.values()];
    this.running = new Map();
    lost.forEach((execution) => {
      execution.stop();
      this.host.processor.handle('refusal', () => execution.observer.failed('lost'));
    });
    this.bornAtMs = bornAtMs;
  }

  send({ spec }: Endpoint, call: Call, _leftMs: number, observer: EndpointObserver): Exchange {
    const { process, processor } = this.host;
    if (spec.bornAtMs !== this.bornAtMs) {
      process.schedule(LOOPBACK_MS, () => {
        processor.handle('refusal', () => observer.refused(undefined, undefined, true));
      });
      return { wasSent: () => true, abort: () => undefined };
    }
    const execution: Execution = { call, observer, stop: () => undefined };
    const holdMs = this.holdMs();
    let hasArrived = holdMs === 0;
    this.running.set(call.requestId, execution);
    if (hasArrived) {
      this.arrive(execution);
    } else {
      execution.stop = process.schedule(holdMs, () => {
        hasArrived = true;
        this.arrive(execution);
      });
    }
    return { wasSent: () => hasArrived, abort: () => this.stop(call.requestId) };
  }

  private arrive(execution: Execution): void {
    const { process, reached, speed } = this.host;
    const { call } = execution;
    const nowMs = process.now();
    reached(call.requestId);
    this.limitMeter.record(nowMs);
    this.coldMeter.record(nowMs);
    const coldSlowness = this.coldMeter.isCold(nowMs) ? COLD_SLOWNESS : 1;
    const workMs = plannedOf(call).workMs * this.slowness * coldSlowness;
    execution.stop = process.schedule(LOOPBACK_MS + workMs / speed, () => {
      this.makeCalls(execution);
    });
  }

  cancel(
    _endpoint: Endpoint,
    _requestId: string,
    _timeoutMs: number,
    report: (outcome: CancelOutcome) => void,
  ): void {
    report('unconfirmed');
  }

  probeDraining(_endpoint: Endpoint, report: (isDraining: boolean | undefined) => void): void {
    this.host.process.schedule(LOOPBACK_MS, () => report(false));
  }

  probeListening(_endpoint: Endpoint, report: (isListening: boolean | undefined) => void): void {
    this.host.process.schedule(LOOPBACK_MS, () => report(true));
  }

  private makeCalls(execution: Execution): void {
    const { requestClass, calls } = plannedOf(execution.call);
    if (requestClass.hasParallelCalls === true) {
      this.callAll(execution, calls);
    } else {
      this.callInTurn(execution, calls);
    }
  }

  private callInTurn(execution: Execution, [next, ...others]: readonly PlannedRequest[]): void {
    if (next === undefined) {
      this.answer(execution, OK_STATUS);
      return;
    }
    const reply = this.call(next, execution, () => this.callInTurn(execution, others));
    execution.stop = () => reply.leave();
  }

  private callAll(execution: Execution, calls: readonly PlannedRequest[]): void {
    let awaitedCount = calls.length;
    if (awaitedCount === 0) {
      this.answer(execution, OK_STATUS);
      return;
    }
    const replies = calls.map((call) =>
      this.call(call, execution, () => {
        awaitedCount -= 1;
        if (awaitedCount === 0) {
          this.answer(execution, OK_STATUS);
        }
      }),
    );
    execution.stop = () => replies.forEach((reply) => reply.leave());
  }

  /** Makes a call; a failed one fails the request that it is made for, and ends its other calls. */
  private call(request: PlannedRequest, execution: Execution, done: () => void): EmulatedReply {
    const reply = new EmulatedReply(({ kind, status }) => {
      if (kind === 'answer' && status < FAULT_STATUS) {
        done();
      } else {
        this.answer(execution, FAULT_STATUS);
        execution.stop();
      }
    });
    const { processor, call } = this.host;
    processor.handle('request', () => call(request, execution.call, reply));
    return reply;
  }

  /** The slot is free at once; the node handles the answer once its processor gets to it. */
  private answer(execution: Execution, status: number): void {
    const { requestId } = execution.call;
    if (this.isSilent && this.running.has(requestId)) {
      this.host.processor.handle('answer', () => this.deliver(execution, status, silentBody()));
    } else if (this.running.delete(requestId)) {
      this.host.answered(status);
      this.host.processor.handle('answer', () => this.deliver(execution, status));
    }
  }

  private deliver({ observer }: Execution, status: number, body: AnswerBody = HELD_BODY): void {
    const load = { inFlight: this.running.size, slots: this.host.slots, draining: false };
    const rateLimit = { kind: 'stated', maxRatePerS: this.maxRatePerS } as const;
    observer.stated?.({ rateLimit, isLeaving: false });
    observer.answered({ status, headers: [], body, contentLength: 0, load });
  }

  private stop(requestId: string): void {
    const execution = this.running.get(requestId);
    this.running.delete(requestId);
    execution?.stop();
  }
}

/** The body of an answer that has begun and does not end. */
function silentBody(): AnswerBody {
  const stream = new Readable({ read: () => undefined });
  return { kind: 'streamed', stream, isComplete: () => false };
}
