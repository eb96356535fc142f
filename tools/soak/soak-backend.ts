/** A back end of the soak: slots, a short queue, a ledger of what reached it, and faults on demand. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RandomSource } from '../../src/control/control-event.js';
import {
  answer,
  BackendStandIn,
  beginAnswer,
  refuse,
  type Arrival,
} from '../../standins/store-platform/backend-stand-in.js';
import type { BackendFault } from './fault-plan.js';
import type { Place } from './link-proxy.js';
import type { WorkRange } from './soak-configuration.js';
import { markBody } from './body-mark.js';
import { isCrashing } from './crash-traffic.js';
import type { CallingRun } from './backend-calls.js';
import { answerBody, demandOf } from './work-demand.js';
import type { ArrivalOutcome, SoakArrival } from './soak-record.js';

/** Requests that run at once. */
export const BACKEND_SLOTS = 8;
/** Time between two pieces of an answer without a length, in milliseconds. */
const PIECE_GAP_MS = 20;
/** Lengths of the answers in which a mute back end falls silent; 0 where it sends nothing. */
const SILENT_ANSWER_BYTES = [0, 9_000, 60_000];
/** A slow back end takes so many times as long. */
const SLOW_FACTOR = 8;
const MISDIRECTED_STATUS = 421;
const ERROR_STATUS = 500;
const LEAST_FAILURE_STATUS = 400;

/** What a back end is started with. */
export interface SoakBackendParams {
  /** Names this start in the record. */
  readonly id: string;
  /** Identity to nodes and in the store, which several starts may have one after the other. */
  readonly instance: string;
  readonly machine: number;
  readonly place: Place;
  readonly random: RandomSource;
  readonly nowMs: () => number;
  readonly onArrival: (arrival: SoakArrival) => void;
  /** Least and longest work of a request, in milliseconds. */
  readonly workOf: (target: string) => WorkRange;
  /** Makes the calls of a run; tells whether all were served. None are made when it is absent. */
  readonly onCalls?: (run: CallingRun) => Promise<boolean>;
  /** A request is to end this back end. */
  readonly onCrash: (backend: SoakBackend, target: string) => void;
}

/** One start of a back end. */
export class SoakBackend {
  private running = 0;
  private isClosed = false;
  private isLimited = false;
  private isLeaving = false;
  private fault: BackendFault | undefined;
  private faultShare = 0;
  /** Connections that a fault ended. */
  private readonly cut = new WeakSet<Socket>();
  /** Unix time. */
  readonly bornAtMs = Date.now();

  private constructor(
    private readonly server: BackendStandIn,
    private readonly params: SoakBackendParams,
  ) {
    server.behaviour = (request, response, arrival) => this.take(request, response, arrival);
  }

  /** Listens at its place. */
  static async start(params: SoakBackendParams): Promise<SoakBackend> {
    const { id, place } = params;
    return new SoakBackend(await BackendStandIn.start(id, place.address, place.port), params);
  }

  get id(): string {
    return this.params.id;
  }

  get instance(): string {
    return this.params.instance;
  }

  /** From now on a share of the requests meets the fault; none when it is undefined. */
  misbehave(fault: BackendFault | undefined, share = 0): void {
    this.fault = fault;
    this.faultShare = share;
  }

  /** Names a rate limit in its answers; none when it is undefined. A hidden limit is only recorded. */
  nameLimit(ratePerS: number | undefined, isHidden: boolean): void {
    this.isLimited = ratePerS !== undefined;
    this.server.rateLimit = ratePerS === undefined || isHidden ? undefined : String(ratePerS);
  }

  /** Says in its answers that it leaves. Does not say it, but records it, if `isHidden`. */
  leave(isHidden: boolean): void {
    this.isLeaving = true;
    this.server.isLeaving = !isHidden;
  }

  /** Whether it has ended. */
  get hasEnded(): boolean {
    return this.isClosed;
  }

  /** Ends at once: connections are cut. */
  close(): void {
    this.isClosed = true;
    this.server.close();
  }

  private take(request: IncomingMessage, response: ServerResponse, arrival: Arrival): void {
    const isOther = arrival.headers['target-instance'] !== this.instance;
    const isStruck = this.fault !== undefined && this.params.random() < this.faultShare;
    const isFull = this.running >= BACKEND_SLOTS || (isStruck && this.fault === 'refuse');
    const hasRun = !isOther && !isFull;
    const noted = this.note(arrival, response, hasRun);
    if (isOther) {
      refuse(response, arrival.requestId, MISDIRECTED_STATUS);
    } else if (isFull) {
      refuse(response, arrival.requestId);
    } else {
      noted.workMs = this.run(request, response, arrival, isStruck ? this.fault : undefined);
    }
  }

  /** Begins to work on a request; returns for how long, in milliseconds. */
  private run(
    request: IncomingMessage,
    response: ServerResponse,
    { requestId, target, headers }: Arrival,
    fault: BackendFault | undefined,
  ): number {
    this.running += 1;
    const calls = this.beginCalls(requestId, target, Number(headers['deadline-ms']), response);
    const workMs = this.drawWorkMs(target) * (fault === 'slow' ? SLOW_FACTOR : 1);
    const timer = setTimeout(
      () =>
        isCrashing(target)
          ? this.params.onCrash(this, target)
          : void calls.then((areServed) =>
              this.finish(request, response, { requestId, target }, areServed ? fault : 'errors'),
            ),
      workMs,
    );
    response.once('close', () => {
      clearTimeout(timer);
      this.running -= 1;
    });
    return workMs;
  }

  /** Calls that a run makes from its start on; nobody waits for them once its exchange is over. */
  private async beginCalls(
    id: string,
    target: string,
    leftMs: number,
    response: ServerResponse,
  ): Promise<boolean> {
    const count = demandOf(target)?.calls ?? 0;
    if (count === 0 || this.params.onCalls === undefined) {
      return true;
    }
    const aborting = new AbortController();
    response.once('close', () => aborting.abort());
    return this.params.onCalls({ id, count, leftMs, signal: aborting.signal });
  }

  private drawWorkMs(target: string): number {
    const demanded = demandOf(target);
    if (demanded !== undefined) {
      return demanded.workMs;
    }
    const { leastMs, mostMs } = this.params.workOf(target);
    return leastMs + this.params.random() * (mostMs - leastMs);
  }

  private finish(
    request: IncomingMessage,
    response: ServerResponse,
    { requestId: id, target }: Pick<Arrival, 'requestId' | 'target'>,
    fault: BackendFault | undefined,
  ): void {
    switch (fault) {
      case 'mute':
        this.fallSilent(response, id);
        return;
      case 'reset':
        this.cutOff(request.socket, () => request.socket.resetAndDestroy());
        return;
      case 'cut-answer':
        response.writeHead(200, {
          'Request-Id': id,
          'Server-Signature': 's',
          'Content-Length': 99,
        });
        response.write('body');
        setImmediate(() => this.cutOff(request.socket, () => request.socket.destroy()));
        return;
      case 'errors':
        response.writeHead(ERROR_STATUS, { 'Request-Id': id, 'Content-Length': 0 }).end();
        return;
      default:
        sendAnswer(response, id, target);
    }
  }

  /** Sends nothing at all, or the first half of a short or of a long answer; the id decides, so that no draw is used. */
  private fallSilent(response: ServerResponse, id: string): void {
    const sizeBytes = SILENT_ANSWER_BYTES[hashOf(id) % SILENT_ANSWER_BYTES.length] ?? 0;
    if (sizeBytes > 0) {
      beginAnswer(response, id, sizeBytes);
    }
  }

  private note(
    { requestId, headers, method, target, body, readForMs }: Arrival,
    response: ServerResponse,
    hasRun: boolean,
  ): SoakArrival {
    const { id: backend, machine, nowMs, onArrival } = this.params;
    const noted: SoakArrival = {
      id: requestId,
      backend,
      machine,
      headAtMs: nowMs() - readForMs,
      atMs: nowMs(),
      target,
      method,
      body: markBody(body),
      callerService: String(headers['caller-service']),
      deadlineMs: Number(headers['deadline-ms']),
      hasRun,
      namesLimit: this.isLimited,
      saysLeaving: this.isLeaving,
      brokeOff: false,
      outcome: 'open',
      endedAtMs: Infinity,
    };
    onArrival(noted);
    const { socket } = response;
    response.once('close', () => {
      noted.endedAtMs = nowMs();
      const hasBrokenOff = this.hasBrokenOff(socket);
      noted.brokeOff = !response.writableFinished && hasBrokenOff;
      noted.outcome = outcomeOf(response, hasBrokenOff);
    });
    return noted;
  }

  /** Whether the connection was ended here, and not by the node. */
  private hasBrokenOff(socket: Socket | null): boolean {
    return this.isClosed || (socket !== null && this.cut.has(socket));
  }

  private cutOff(socket: Socket, act: () => void): void {
    this.cut.add(socket);
    act();
  }
}

/** A whole answer; in pieces and without a length before them where the request asks for that. */
function sendAnswer(response: ServerResponse, id: string, target: string): void {
  const body = answerBody(id, target);
  if (demandOf(target)?.isChunked !== true) {
    answer(response, id, body);
    return;
  }
  response.writeHead(200, { 'Request-Id': id, 'Server-Signature': `signature ${id}` });
  const half = Math.ceil(body.length / 2);
  response.write(body.slice(0, half));
  setTimeout(() => response.end(body.slice(half)), PIECE_GAP_MS);
}

/** What a back end wrote in the moment of its own end is not sure to have left it. */
function outcomeOf(response: ServerResponse, hasBrokenOff: boolean): ArrivalOutcome {
  if (hasBrokenOff) {
    return 'broke-off';
  }
  if (!response.writableFinished) {
    return 'cut';
  }
  return response.statusCode < LEAST_FAILURE_STATUS ? 'answered' : 'failed';
}

/** A number that depends on all characters of `text`. */
function hashOf(text: string): number {
  return [...text].reduce((hash, sign) => (hash * 31 + sign.charCodeAt(0)) % 1_000_003, 7);
}
