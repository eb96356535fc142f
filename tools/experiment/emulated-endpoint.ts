/**
 * A back end: works on a request, then makes its calls one after the other, and answers. It ends the work
 * when its connection is closed, and confirms no cancellation, like those of the platform.
 */
import type { Endpoint } from '../../src/model/resource.js';
import type { Call } from '../../src/proxy/call.js';
import type {
  CancelOutcome,
  EndpointObserver,
  EndpointConnector,
} from '../../src/proxy/endpoint-client.js';
import type { Exchange } from '../../src/proxy/http-exchange.js';
import type { CancelTimer } from '../../src/proxy/scheduler.js';
import type { VirtualProcess } from '../emulator/virtual-process.js';
import type { PlannedRequest } from './call-plan.js';
import { plannedOf } from './emulated-body.js';
import type { EmulatedProcessor } from './emulated-processor.js';
import { EmulatedReply } from './emulated-reply.js';
import { LimitMeter } from './limit-meter.js';

/** Time for a word between a node and the endpoint beside it, in milliseconds. */
const LOOPBACK_MS = 0.2;
const OK_STATUS = 200;
/** Status of the answer to a request of which a call failed. */
export const FAULT_STATUS = 500;
const NO_BYTES = Buffer.alloc(0);

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
  /** How many times as long as planned work takes. */
  slowness = 1;
  readonly limitMeter = new LimitMeter();
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

  send(_endpoint: Endpoint, call: Call, _leftMs: number, observer: EndpointObserver): Exchange {
    const { process, reached } = this.host;
    reached(call.requestId);
    this.limitMeter.record(process.now());
    const { workMs } = plannedOf(call);
    const takenMs = LOOPBACK_MS + (workMs * this.slowness) / this.host.speed;
    const cancelTimer: CancelTimer = process.schedule(takenMs, () => this.makeCalls(execution));
    const execution: Execution = { call, observer, stop: cancelTimer };
    this.running.set(call.requestId, execution);
    return { wasSent: () => true, abort: () => this.stop(call.requestId) };
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
    processor.handle(() => call(request, execution.call, reply));
    return reply;
  }

  /** The slot is free at once; the node handles the answer once its processor gets to it. */
  private answer(execution: Execution, status: number): void {
    if (this.running.delete(execution.call.requestId)) {
      this.host.answered(status);
      this.host.processor.handle(() => this.deliver(execution, status));
    }
  }

  private deliver({ observer }: Execution, status: number): void {
    const load = { inFlight: this.running.size, slots: this.host.slots, draining: false };
    const body = { kind: 'held', bytes: NO_BYTES } as const;
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
