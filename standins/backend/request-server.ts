/** Serves the back end's requests: admission, execution, answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { answerBody, sendAnswer, type DueFault } from './answer-fault.js';
import { readCall, refusalOf, type BackendCall, type RefusalReason } from './backend-call.js';
import { changedSettings, type BackendChange, type BackendSettings } from './backend-settings.js';
import { CancellationRegistry } from './cancellation-registry.js';
import type { ConnectionLimit } from './connection-limit.js';
import { RunningExecution, type ExecutionEnd } from './execution.js';
import { ExecutionLedger, type LedgerListener } from './execution-ledger.js';
import { LoadGauge } from './load-gauge.js';
import { LoadShedder } from './load-shedder.js';

const CANCEL_PATH = '/cancel/';

/** A request that was admitted. */
interface AdmittedRequest {
  readonly call: BackendCall;
  readonly arrivedAtMs: number;
  readonly response: ServerResponse;
  readonly fault: DueFault | undefined;
}

/** Answers every request of the serving port. */
export class RequestServer {
  readonly ledger: ExecutionLedger;
  readonly load = new LoadGauge();
  /** Faults due, one for each of the next admitted requests. */
  readonly faults: DueFault[] = [];
  private readonly refusals = new Map<RefusalReason, number>();
  private readonly registry = new CancellationRegistry();
  private readonly shedder = new LoadShedder();
  private coldSinceMs = performance.now();
  private arrivals = 0;
  private lastArrivalAt: number | undefined;

  constructor(
    private readonly name: string,
    private current: BackendSettings,
    private readonly connectionLimit: ConnectionLimit,
    private readonly random: () => number,
    listener?: LedgerListener,
  ) {
    this.ledger = new ExecutionLedger(listener);
    this.load.move(0, current.slots, performance.now());
  }

  get settings(): BackendSettings {
    return this.current;
  }

  /** Changes what is named in `change`. */
  change(change: BackendChange): void {
    this.current = changedSettings(this.current, change);
    this.load.move(0, this.current.slots, performance.now());
  }

  /** Is cold again from now on. */
  restartCold(): void {
    this.coldSinceMs = performance.now();
  }

  /** When the last request arrived, refused or not, in milliseconds since 1970. */
  latestArrivalAt(): number | undefined {
    return this.lastArrivalAt;
  }

  /** Requests refused before they started, by reason. */
  refused(): Partial<Record<RefusalReason, number>> {
    return Object.fromEntries(this.refusals);
  }

  /** Answers one request. */
  async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = request.url ?? '';
    if (request.method === 'GET' && url === '/health') {
      this.answerHealth(response);
    } else if (request.method === 'GET' && url === '/load') {
      this.sendJson(response, 200, this.load.report(this.current, performance.now()));
    } else if (request.method === 'POST' && url.startsWith(CANCEL_PATH)) {
      const requestId = decodeURIComponent(url.slice(CANCEL_PATH.length));
      this.sendJson(response, 200, { outcome: this.registry.cancel(requestId) });
    } else {
      await this.serve(request, response);
    }
  }

  private answerHealth(response: ServerResponse): void {
    const healthy = this.current.reportedHealthy ?? !this.current.draining;
    this.sendJson(response, healthy ? 200 : 503, { healthy });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = performance.now();
    this.arrivals += 1;
    this.lastArrivalAt = Date.now();
    const call = readCall(request, this.current, this.random, `unnamed-${this.arrivals}`);
    this.registry.arrive(call.names.requestId);
    const waitMs = this.connectionLimit.waitMs(request.socket, arrivedAtMs);
    if (waitMs > 0) {
      await delay(waitMs);
    }
    if (request.socket.destroyed) {
      return;
    }
    const refusal = this.refusalOf(call);
    if (refusal !== undefined) {
      this.refuse(call, refusal, request, response);
      return;
    }
    const admitted = { call, arrivedAtMs, response, fault: this.faults.shift() };
    this.holdSlot(response);
    await this.receiveAndExecute(admitted, request);
  }

  private async receiveAndExecute(
    admitted: AdmittedRequest,
    request: IncomingMessage,
  ): Promise<void> {
    const { call, response, fault } = admitted;
    if (fault?.fault === 'reset-before-start') {
      request.socket.resetAndDestroy();
      return;
    }
    const requestBytes = await readBodyBytes(request);
    if (requestBytes === undefined || response.destroyed) {
      return;
    }
    if (this.registry.isBarred(call.names.requestId)) {
      this.refuse(call, 'cancelled', request, response);
      return;
    }
    this.execute(admitted, requestBytes);
  }

  private refusalOf(call: BackendCall): RefusalReason | undefined {
    return refusalOf({
      draining: this.current.draining,
      inFlight: this.load.inFlight,
      slots: this.current.slots,
      barred: this.registry.isBarred(call.names.requestId),
      shed: this.shedder.picks(this.current.shedPercent),
      deadlineMs: call.deadlineMs,
    });
  }

  private refuse(
    call: BackendCall,
    reason: RefusalReason,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
    this.registry.refuse(call.names.requestId);
    request.resume();
    const status = reason === 'deadline' ? 504 : 503;
    const headers = { 'x-not-started': '1', 'retry-after': '1' };
    this.sendJson(response, status, { refused: reason }, headers);
  }

  private holdSlot(response: ServerResponse): void {
    this.load.move(1, this.current.slots, performance.now());
    response.once('close', () => {
      this.load.move(-1, this.current.slots, performance.now());
    });
  }

  private execute(admitted: AdmittedRequest, requestBytes: number): void {
    const { call, arrivedAtMs, response } = admitted;
    const { requestId } = call.names;
    const entry = this.ledger.start(call.names, Date.now());
    const leftMs = Math.max(0, call.deadlineMs - (performance.now() - arrivedAtMs));
    const execution = new RunningExecution(call.workMs * this.coldFactor(), leftMs, (end) => {
      this.ledger.end(entry, end, Date.now());
      // Abandoned work has had an effect, so that a cancellation must not deny it.
      this.registry.end(requestId, end === 'cancelled' ? 'cancelled' : 'finished');
      void this.answerEnd(end, admitted, requestBytes);
    });
    const cancel = (): void => {
      execution.cancel();
    };
    this.registry.start(requestId, cancel);
    response.once('close', cancel);
  }

  private async answerEnd(
    end: ExecutionEnd,
    admitted: AdmittedRequest,
    requestBytes: number,
  ): Promise<void> {
    const { call, response, fault } = admitted;
    const { requestId, callId } = call.names;
    if (end === 'abandoned') {
      this.sendJson(response, 504, { abandoned: requestId });
      return;
    }
    if (end === 'cancelled' && fault?.fault !== 'late-after-cancel') {
      this.sendJson(response, 499, { cancelled: requestId });
      return;
    }
    if (end === 'cancelled') {
      await delay(fault?.delayMs);
    }
    const headers = { ...this.commonHeaders(), 'x-request-id': requestId };
    const content = {
      requestId,
      ...(callId !== undefined && { callId }),
      backend: this.name,
      requestBytes,
    };
    const body = answerBody(content, call.answerBytes);
    await sendAnswer({ response, headers, body }, fault);
  }

  private coldFactor(): number {
    const cold = performance.now() - this.coldSinceMs < this.current.coldStartMs;
    return cold ? this.current.coldStartFactor : 1;
  }

  private commonHeaders(): Record<string, string> {
    const { inFlight, slots } = this.load.report(this.current, performance.now());
    const load = { 'content-type': 'application/json', 'x-load': `${inFlight}/${slots}` };
    return this.current.draining ? { ...load, 'x-draining': '1' } : load;
  }

  private sendJson(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Record<string, string> = {},
  ): void {
    const body = JSON.stringify(value);
    const length = { 'content-length': String(Buffer.byteLength(body)) };
    response.writeHead(status, { ...this.commonHeaders(), ...headers, ...length }).end(body);
  }
}

/** Reads and counts a request's body; undefined when the client went away before its end. */
async function readBodyBytes(request: IncomingMessage): Promise<number | undefined> {
  let bytes = 0;
  try {
    for await (const chunk of request) {
      bytes += (chunk as Buffer).length;
    }
  } catch {
    return undefined;
  }
  return request.complete ? bytes : undefined;
}
