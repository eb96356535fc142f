/** Answers of the back end: the body that names its request, and ways to send it wrongly. */
import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';

/** Time for sent bytes to arrive before a connection is reset, in milliseconds. */
const FLUSH_MS = 5;
const SLOW_BODY_PIECES = 10;
/** What a broken back end sends after its answer: it looks like another answer. */
const EXTRA_BYTES = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong';

/**
 * Faults of one request.
 * - `reset-before-start`: the connection is reset, nothing runs.
 * - `reset-before-answer`: it runs, then the connection is reset without a byte.
 * - `reset-before-body`: the connection is reset after the headers.
 * - `reset-mid-body`: the connection is reset after half of the body.
 * - `short-body`: half of the promised bytes, then an orderly close.
 * - `extra-bytes`: a whole answer followed by bytes that look like another.
 * - `slow-body`: the body in pieces.
 * - `informational-first`: a 1xx answer before the real one.
 * - `never-answer`: it runs, and no answer comes.
 * - `late-after-cancel`: an answer comes although the request was cancelled.
 */
export const ANSWER_FAULTS = [
  'reset-before-start',
  'reset-before-answer',
  'reset-before-body',
  'reset-mid-body',
  'short-body',
  'extra-bytes',
  'slow-body',
  'informational-first',
  'never-answer',
  'late-after-cancel',
] as const;
export type AnswerFault = (typeof ANSWER_FAULTS)[number];

/** `POST /faults`: the next `count` requests have the fault. */
export const faultCommandSchema = z.strictObject({
  fault: z.enum(ANSWER_FAULTS),
  count: z.number().int().min(1).max(100_000).default(1),
  /** Between the pieces of a slow body, and before a late answer. */
  delayMs: z.number().min(0).default(10),
});

/** A fault that is due. */
export interface DueFault {
  readonly fault: AnswerFault;
  readonly delayMs: number;
}

/** What the body of an answer says; `padding` fills it up to its size. */
export interface AnswerContent {
  readonly requestId: string;
  /** The caller's own name of its call, from `x-call-id`. */
  readonly callId?: string;
  readonly backend: string;
  /** Bytes of the request's body that arrived. */
  readonly requestBytes: number;
  readonly padding: string;
}

/** The body: JSON of exactly `bytes` bytes, or a little more where its content needs it. */
export function answerBody(content: Omit<AnswerContent, 'padding'>, bytes: number): Buffer {
  const bare = Buffer.byteLength(JSON.stringify({ ...content, padding: '' }));
  const padding = 'x'.repeat(Math.max(0, bytes - bare));
  return Buffer.from(JSON.stringify({ ...content, padding }));
}

/** An answer that is ready to be sent. */
export interface ReadyAnswer {
  readonly response: ServerResponse;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

type Sender = (answer: ReadyAnswer, delayMs: number) => void | Promise<void>;

const SENDERS: Readonly<Record<AnswerFault, Sender>> = {
  'reset-before-start': sendWhole,
  'reset-before-answer': reset,
  'reset-before-body': async (answer) => {
    answer.response.writeHead(200, answer.headers).flushHeaders();
    await delay(FLUSH_MS);
    reset(answer);
  },
  'reset-mid-body': async (answer) => {
    sendHalf(answer);
    await delay(FLUSH_MS);
    reset(answer);
  },
  'short-body': (answer) => {
    sendHalf(answer);
    answer.response.socket?.end();
  },
  'extra-bytes': (answer) => {
    const { socket } = answer.response;
    sendWhole(answer);
    socket?.write(EXTRA_BYTES);
  },
  'slow-body': sendSlowly,
  'informational-first': (answer) => {
    answer.response.writeEarlyHints({ link: '</style.css>; rel=preload' });
    sendWhole(answer);
  },
  'never-answer': () => undefined,
  'late-after-cancel': sendWhole,
};

/** Sends an answer, wrongly where a fault is due. */
export async function sendAnswer(answer: ReadyAnswer, due: DueFault | undefined): Promise<void> {
  const headers = { ...answer.headers, 'content-length': String(answer.body.length) };
  const send = due === undefined ? sendWhole : SENDERS[due.fault];
  await send({ ...answer, headers }, due?.delayMs ?? 0);
}

function sendWhole({ response, headers, body }: ReadyAnswer): void {
  response.writeHead(200, headers).end(body);
}

function sendHalf({ response, headers, body }: ReadyAnswer): void {
  response.writeHead(200, headers).write(body.subarray(0, body.length >> 1));
}

function reset({ response }: ReadyAnswer): void {
  response.socket?.resetAndDestroy();
}

async function sendSlowly(answer: ReadyAnswer, delayMs: number): Promise<void> {
  const { response, headers, body } = answer;
  const pieceBytes = Math.ceil(body.length / SLOW_BODY_PIECES);
  response.writeHead(200, headers);
  for (let start = 0; start < body.length; start += pieceBytes) {
    response.write(body.subarray(start, start + pieceBytes));
    await delay(delayMs);
  }
  response.end();
}
