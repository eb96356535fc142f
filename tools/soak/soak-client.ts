/** Callers of the soak: each sends one request, and notes what it got. */
import http, { type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Place } from './link-proxy.js';
import { markBody } from './body-mark.js';
import type { SoakCall } from './soak-record.js';

/** A request to be sent. */
export interface SoakRequest extends Pick<
  SoakCall,
  'id' | 'machine' | 'life' | 'isSafe' | 'target' | 'body' | 'addedBy' | 'deadlineMs' | 'timeoutMs'
> {
  /** How the body goes out; at once when it is absent. */
  readonly pace?: SendingPace;
  readonly place: Place;
  readonly host: string;
  /** Keeps the connection; a new one is opened when it is absent. */
  readonly agent: http.Agent | undefined;
  /** When the caller leaves, after it began; Infinity when it waits. */
  readonly leavesAfterMs: number;
  /** Whether a caller that leaves keeps its connection open, so that its node can't know; false when absent. */
  readonly hidesLeave?: boolean;
  readonly nowMs: () => number;
  /** Makes the caller leave when it is aborted. */
  readonly signal?: AbortSignal;
}

/** A body that is sent in pieces. */
export interface SendingPace {
  readonly pieceBytes: number;
  readonly gapMs: number;
  /** Pieces after which the caller sends no more and keeps its connection; Infinity when it goes on. */
  readonly stallsAfter: number;
}

/** Time past the deadline after which a caller stops listening, in milliseconds. */
const LISTEN_MARGIN_MS = 1_500;

/** Sends the request; resolves when its exchange is over. */
export function sendCall(request: SoakRequest): Promise<SoakCall> {
  return new Promise((resolve) => new RunningCall(request, resolve));
}

class RunningCall {
  private readonly sentAtMs: number;
  private readonly message: http.ClientRequest;
  private readonly timer: NodeJS.Timeout;
  private response: IncomingMessage | undefined;
  private answer = '';
  private wasSent = false;
  private callerPort: number | undefined;
  private sentWholeAtMs = Infinity;
  private isGivenUp = false;
  private isOver = false;

  constructor(
    private readonly request: SoakRequest,
    private readonly resolve: (call: SoakCall) => void,
  ) {
    this.sentAtMs = request.nowMs();
    this.message = this.open();
    const listensMs = Math.min(request.leavesAfterMs, request.deadlineMs + LISTEN_MARGIN_MS);
    this.timer = setTimeout(() => {
      this.isGivenUp = listensMs === request.leavesAfterMs;
      this.end();
      if (!this.isGivenUp || request.hidesLeave !== true) {
        this.message.destroy();
      }
    }, listensMs);
    request.signal?.addEventListener('abort', this.leave, { once: true });
  }

  private readonly leave = (): void => {
    this.isGivenUp = true;
    this.message.destroy();
    this.end();
  };

  private open(): http.ClientRequest {
    const { place, host, id, isSafe, target, body, deadlineMs, agent } = this.request;
    const message = http.request({
      host: place.address,
      port: place.port,
      path: target,
      method: isSafe ? 'GET' : 'POST',
      headers: {
        Host: host,
        'Request-Id': id,
        'Deadline-Ms': String(deadlineMs),
        ...(body !== '' && { 'Content-Length': Buffer.byteLength(body) }),
      },
      agent: agent ?? false,
    });
    message.on('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => this.noteSocket(socket));
      } else {
        this.noteSocket(socket);
      }
    });
    message.on('finish', () => {
      this.sentWholeAtMs = this.request.nowMs();
    });
    message.on('response', (response) => this.read(response));
    message.on('error', () => this.end());
    message.on('close', () => this.response === undefined && this.end());
    this.send(message, body);
    return message;
  }

  private noteSocket({ localPort }: Socket): void {
    this.wasSent = true;
    this.callerPort = localPort;
  }

  private send(message: http.ClientRequest, body: string): void {
    const { pace } = this.request;
    if (pace === undefined) {
      message.end(body);
    } else {
      message.flushHeaders();
      void this.sendPieces(message, body, pace);
    }
  }

  private async sendPieces(
    message: http.ClientRequest,
    body: string,
    { pieceBytes, gapMs, stallsAfter }: SendingPace,
  ): Promise<void> {
    const lastIdx = Math.ceil(body.length / pieceBytes) - 1;
    for (let idx = 0; idx < Math.min(lastIdx, stallsAfter) && !this.isOver; idx += 1) {
      message.write(body.slice(idx * pieceBytes, (idx + 1) * pieceBytes));
      await pause(gapMs, this.request.nowMs);
    }
    if (lastIdx < stallsAfter && !this.isOver) {
      message.end(body.slice(lastIdx * pieceBytes));
    }
  }

  private read(response: IncomingMessage): void {
    this.response = response;
    response.on('data', (chunk: Buffer) => {
      this.answer += chunk.toString('latin1');
    });
    response.on('error', () => undefined);
    response.on('close', () => this.end());
  }

  private end(): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    clearTimeout(this.timer);
    this.request.signal?.removeEventListener('abort', this.leave);
    const { id, machine, life, isSafe, target, addedBy, deadlineMs, timeoutMs } = this.request;
    this.resolve({
      ...{ id, machine, life, isSafe, target, addedBy, deadlineMs, timeoutMs },
      body: markBody(this.request.body),
      sentAtMs: this.sentAtMs,
      sentWholeAtMs: this.sentWholeAtMs,
      endedAtMs: this.request.nowMs(),
      status: this.response?.statusCode ?? 0,
      isWhole: this.response?.complete === true,
      isSigned: this.response?.headers['server-signature'] !== undefined,
      answer: markBody(this.answer),
      wasSent: this.wasSent,
      callerPort: this.callerPort,
      isGivenUp: this.isGivenUp,
    });
  }
}

/** Waits until the clock has moved on by `delayMs`: a timer goes by whole milliseconds and may be early. */
async function pause(delayMs: number, nowMs: () => number): Promise<void> {
  const endAtMs = nowMs() + delayMs;
  for (let leftMs = delayMs; leftMs > 0; leftMs = endAtMs - nowMs()) {
    await delay(Math.ceil(leftMs));
  }
}
