/** Callers of the soak: each sends one request, and notes what it got. */
import http, { type IncomingMessage } from 'node:http';
import type { Place } from './link-proxy.js';
import type { SoakCall } from './promises.js';

/** A request to be sent. */
export interface SoakRequest extends Pick<
  SoakCall,
  'id' | 'machine' | 'life' | 'isSafe' | 'target' | 'body' | 'addedBy' | 'deadlineMs'
> {
  readonly place: Place;
  readonly host: string;
  /** Keeps the connection; a new one is opened when it is absent. */
  readonly agent: http.Agent | undefined;
  /** When the caller leaves, after it began; Infinity when it waits. */
  readonly leavesAfterMs: number;
  readonly nowMs: () => number;
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
      this.message.destroy();
      this.end();
    }, listensMs);
  }

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
        socket.once('connect', () => {
          this.wasSent = true;
        });
      } else {
        this.wasSent = true;
      }
    });
    message.on('response', (response) => this.read(response));
    message.on('error', () => this.end());
    message.on('close', () => this.response === undefined && this.end());
    message.end(body);
    return message;
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
    const { id, machine, life, isSafe, target, body, addedBy, deadlineMs, nowMs } = this.request;
    this.resolve({
      ...{ id, machine, life, isSafe, target, body, addedBy, deadlineMs },
      sentAtMs: this.sentAtMs,
      endedAtMs: nowMs(),
      status: this.response?.statusCode ?? 0,
      isWhole: this.response?.complete === true,
      isSigned: this.response?.headers['server-signature'] !== undefined,
      answer: this.answer,
      wasSent: this.wasSent,
      isGivenUp: this.isGivenUp,
    });
  }
}
