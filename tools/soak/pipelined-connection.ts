/**
 * A caller's connection on which requests come behind each other, on a plain socket: it shows how the
 * connection ended, which Node's own client hides. It may read late, and go on sending meanwhile.
 */
import net, { type Socket } from 'node:net';
import type { Place } from './link-proxy.js';
import { markBody } from './body-mark.js';
import { AnswerParser, type ParsedAnswer } from './answer-parser.js';
import type { ConnectionEnd, SoakCall } from './soak-record.js';

/** Time past its deadline for which the oldest request is waited for, in milliseconds. */
const LISTEN_MARGIN_MS = 1_500;

/** A request to be sent behind those that wait; it has no body and may be repeated. */
export type PipelinedRequest = Pick<
  SoakCall,
  'id' | 'machine' | 'life' | 'target' | 'addedBy' | 'deadlineMs' | 'timeoutMs'
> & { readonly host: string };

/** How a caller reads. */
export interface ReadingPace {
  /** Pause after each piece that was read, in milliseconds; 0 for none. */
  readonly pauseMs: number;
}

/** What a connection is opened with. */
export interface PipelinedConnectionParams {
  readonly place: Place;
  readonly pace: ReadingPace;
  readonly nowMs: () => number;
  /** Gets each request once it is over. */
  readonly onCall: (call: SoakCall) => void;
}

interface WaitingRequest {
  readonly request: PipelinedRequest;
  readonly sentAtMs: number;
  readonly aheadCount: number;
  sentWholeAtMs: number;
}

/** One connection, used until the node closes it. */
export class PipelinedConnection {
  private readonly socket: Socket;
  private readonly parser = new AnswerParser();
  private readonly waiting: WaitingRequest[] = [];
  private listening: NodeJS.Timeout | undefined;
  private isConnected = false;
  /** The node has said that it closes the connection: what came behind counts as not read. */
  private isClosing = false;
  private hasLeft = false;
  private isOver = false;
  private callerPort: number | undefined;

  constructor(private readonly params: PipelinedConnectionParams) {
    const { address, port } = params.place;
    this.socket = net.connect({ host: address, port });
    this.socket.once('connect', () => {
      this.isConnected = true;
      this.callerPort = this.socket.localPort;
    });
    this.socket.on('data', (bytes) => this.read(bytes));
    this.socket.once('error', ({ code }: NodeJS.ErrnoException) => this.end(endOf(code)));
    this.socket.once('close', () => this.end('closed'));
  }

  /** Whether requests may be sent on it. */
  get isUsable(): boolean {
    return !this.isOver && !this.isClosing;
  }

  /** Requests that wait for their answers. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  send(request: PipelinedRequest): void {
    const { host, id, target, deadlineMs } = request;
    const sent: WaitingRequest = {
      request,
      sentAtMs: this.params.nowMs(),
      aheadCount: this.waiting.length,
      sentWholeAtMs: Infinity,
    };
    this.waiting.push(sent);
    const head = `GET ${target} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n\r\n`;
    this.socket.write(head, () => {
      sent.sentWholeAtMs = this.params.nowMs();
    });
    this.listenOn();
  }

  /** The caller goes away. */
  close(): void {
    this.hasLeft = true;
    this.socket.destroy();
    this.end('closed');
  }

  private listenOn(): void {
    clearTimeout(this.listening);
    const [oldest] = this.waiting;
    if (oldest !== undefined) {
      const untilMs = oldest.sentAtMs + oldest.request.deadlineMs + LISTEN_MARGIN_MS;
      const leave = (): void => this.leaveAfter(oldest);
      // What has arrived is read first.
      this.listening = setTimeout(() => setImmediate(leave), untilMs - this.params.nowMs());
    }
  }

  /** The caller goes away since its oldest request has no whole answer; it gives up those behind itself. */
  private leaveAfter(oldest: WaitingRequest): void {
    if (this.isOver || this.waiting[0] !== oldest) {
      return;
    }
    this.waiting.shift();
    this.report(oldest, undefined, 'closed', this.parser.openStatus);
    this.hasLeft = true;
    this.socket.destroy();
    this.end('closed', 0);
  }

  private read(bytes: Buffer): void {
    try {
      this.parser.take(bytes).forEach((answer) => this.takeAnswer(answer));
    } catch {
      this.end('malformed');
      this.socket.destroy();
      return;
    }
    this.listenOn();
    const { pauseMs } = this.params.pace;
    if (pauseMs > 0 && !this.isOver) {
      this.socket.pause();
      setTimeout(() => this.socket.resume(), pauseMs);
    }
  }

  private takeAnswer(answer: ParsedAnswer): void {
    const answered = this.waiting.shift();
    if (answered === undefined || this.isClosing) {
      throw new SyntaxError('an answer to no request');
    }
    this.report(answered, answer, 'answered');
    if (answer.headers.get('connection') === 'close') {
      this.isClosing = true;
      this.end('behind-close');
      this.socket.end();
    }
  }

  private end(how: ConnectionEnd, openStatus = this.parser.openStatus): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    clearTimeout(this.listening);
    this.waiting.splice(0).forEach((waiting, idx) => {
      this.report(waiting, undefined, how, idx === 0 ? openStatus : 0);
    });
  }

  private report(
    { request, sentAtMs, sentWholeAtMs, aheadCount }: WaitingRequest,
    answer: ParsedAnswer | undefined,
    connectionEnd: ConnectionEnd,
    status = answer?.status ?? 0,
  ): void {
    const { id, machine, life, target, addedBy, deadlineMs, timeoutMs } = request;
    this.params.onCall({
      ...{ id, machine, life, target, addedBy, deadlineMs, timeoutMs },
      ...{ sentAtMs, sentWholeAtMs, aheadCount, connectionEnd, status },
      isSafe: true,
      body: '',
      endedAtMs: this.params.nowMs(),
      isWhole: answer !== undefined,
      isSigned: answer?.headers.has('server-signature') === true,
      answer: markBody(answer?.body ?? ''),
      wasSent: this.isConnected,
      callerPort: this.callerPort,
      isGivenUp: this.hasLeft,
    });
  }
}

function endOf(code: string | undefined): ConnectionEnd {
  return code === 'ECONNRESET' || code === 'EPIPE' ? 'reset' : 'failed';
}
