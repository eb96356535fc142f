/** Sends one call over HTTP, as an ordinary caller would, and judges what comes back. */
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import { isVerdict, VERDICT_HEADER } from '../../src/model/verdict.js';
import type { AnswerContent } from '../../standins/backend/answer-fault.js';
import type { CallEnd, ContentFault } from './call-record.js';

/** Where to send a call. */
export interface CallTarget {
  readonly host: string;
  readonly port: number;
}

/** What to send. */
export interface CallRequest {
  readonly callId: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly idempotencyKey?: string;
  /** Size of the request's body; 0 for none. */
  readonly bodyBytes: number;
  /** Time that the back end is to work, in milliseconds. */
  readonly workMs: number;
  readonly answerBytes: number;
  /** Sent along as the deadline. */
  readonly deadlineMs: number;
  /** The caller gives up after this time, in milliseconds. */
  readonly giveUpMs: number;
}

/** What came back. */
export interface CallResult {
  readonly end: CallEnd;
  readonly contentFault?: ContentFault;
}

/** A client with its own kept-alive connections. */
export class CallClient {
  private readonly agent: Agent;

  constructor(maxConnectionsPerTarget: number) {
    this.agent = new Agent({ keepAlive: true, maxSockets: maxConnectionsPerTarget });
  }

  /** Sends one call; never rejects. */
  send(target: CallTarget, call: CallRequest): Promise<CallResult> {
    return new Promise((resolve) => {
      let mayHaveBeenSent = false;
      const request = httpRequest({
        ...target,
        agent: this.agent,
        method: call.method,
        path: call.path,
        headers: headersOf(call),
      });
      const giveUp = setTimeout(() => {
        resolve({ end: { type: 'timed-out' } });
        request.destroy();
      }, call.giveUpMs);
      request.on('socket', (socket) => {
        if (socket.connecting) {
          socket.once('connect', () => (mayHaveBeenSent = true));
        } else {
          mayHaveBeenSent = true;
        }
      });
      request.on('error', () => {
        clearTimeout(giveUp);
        resolve({ end: { type: mayHaveBeenSent ? 'broken' : 'not-sent' } });
      });
      request.on('response', (response) => {
        void readAnswer(response, call).then((result) => {
          clearTimeout(giveUp);
          resolve(result);
        });
      });
      request.end('b'.repeat(call.bodyBytes));
    });
  }

  /** Closes every connection. */
  close(): void {
    this.agent.destroy();
  }
}

function headersOf(call: CallRequest): Record<string, string> {
  return {
    'x-call-id': call.callId,
    'x-work-ms': String(call.workMs),
    'x-answer-bytes': String(call.answerBytes),
    'x-deadline-ms': String(call.deadlineMs),
    'content-length': String(call.bodyBytes),
    ...(call.idempotencyKey !== undefined && { 'idempotency-key': call.idempotencyKey }),
  };
}

async function readAnswer(response: IncomingMessage, call: CallRequest): Promise<CallResult> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    return { end: { type: 'broken' } };
  }
  if (!response.complete) {
    return { end: { type: 'broken' } };
  }
  const status = response.statusCode ?? 0;
  const told = response.headers[VERDICT_HEADER];
  const end: CallEnd = { type: 'answered', status, verdict: isVerdict(told) ? told : undefined };
  const fault = status === 200 ? contentFaultOf(Buffer.concat(chunks), call) : undefined;
  return fault === undefined ? { end } : { end, contentFault: fault };
}

/** What is wrong with the body of a served call, if anything. */
export function contentFaultOf(
  body: Buffer,
  call: Pick<CallRequest, 'callId' | 'bodyBytes' | 'answerBytes'>,
): ContentFault | undefined {
  const content = parseContent(body);
  if (content === undefined || body.length < call.answerBytes) {
    return 'truncated';
  }
  if (content.callId !== call.callId) {
    return 'crossed';
  }
  return content.requestBytes === call.bodyBytes ? undefined : 'wrong-request-body';
}

function parseContent(body: Buffer): Partial<AnswerContent> | undefined {
  try {
    return JSON.parse(body.toString('utf8')) as Partial<AnswerContent>;
  } catch {
    return undefined;
  }
}
