/**
 * Read-only HTTP adapter to the platform, for the configuration and the machine list.
 *
 * Only one read runs at a time, each on its own connection, which is closed after the response. A keep-alive
 * connection would save one connection set-up per read, but the platform counts open connections: a process
 * that is suspended or partitioned between two reads would still count as a reader after its lease has passed
 * to another node.
 */
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import csp, { type Channel, type Process } from 'js-csp';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { PlatformAnswer, PlatformDocument } from '../control/control-event.js';
import { interpretResponse, invalidAnswer } from './platform-answer.js';

/** Maximum size of a response body, in bytes. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Maximum number of reads queued behind the running one; further reads return `unavailable`. */
const MAX_WAITING_READS = 16;

export interface PlatformClientOptions {
  readonly configurationUrl: string;
  readonly machinesUrl: string;
  /** Default {@link MAX_ANSWER_BYTES}. */
  readonly maxAnswerBytes?: number;
  /** Clock in milliseconds that keeps advancing while the process is suspended; default: monotonic. */
  readonly now?: () => number;
}

/** A read that is queued or running. */
interface PlatformRead {
  readonly document: PlatformDocument;
  readonly knownNumber: number;
  readonly deadlineMs: number;
  /** Aborted by `close` and at the deadline. */
  readonly abort: AbortController;
  readonly answers: Channel<PlatformAnswer>;
}

const UNAVAILABLE: PlatformAnswer = { outcome: 'unavailable' };

/** Reads the platform's documents. Every read resolves to an answer; none rejects. */
export class PlatformClient {
  private readonly waiting = csp.chan<PlatformRead>(csp.buffers.fixed(MAX_WAITING_READS));
  private readonly pendingReads = new Set<PlatformRead>();
  private readonly urls: Readonly<Record<PlatformDocument, URL>>;
  private readonly maxAnswerBytes: number;
  private readonly now: () => number;

  constructor(options: PlatformClientOptions) {
    this.urls = {
      source: new URL(options.configurationUrl),
      machines: new URL(options.machinesUrl),
    };
    this.maxAnswerBytes = options.maxAnswerBytes ?? MAX_ANSWER_BYTES;
    this.now = options.now ?? (() => MACHINE_CLOCK.now());
    csp.go(serveReads, [this.waiting, (read: PlatformRead) => this.fetch(read)]);
  }

  /**
   * Reads `document`, conditionally if `knownNumber` is not 0. Nothing is sent after `deadlineMs` on the client's
   * clock, even if the process was suspended in the meantime.
   */
  async read(
    document: PlatformDocument,
    knownNumber: number,
    deadlineMs: number,
  ): Promise<PlatformAnswer> {
    const read: PlatformRead = {
      document,
      knownNumber,
      deadlineMs,
      abort: new AbortController(),
      answers: csp.chan<PlatformAnswer>(csp.buffers.fixed(1)),
    };
    if (!csp.offer(this.waiting, read)) {
      return UNAVAILABLE;
    }
    this.pendingReads.add(read);
    const timer = setTimeout(() => read.abort.abort(), Math.max(0, deadlineMs - this.now()));
    const answer = await new Promise<PlatformAnswer | null>((resolve) =>
      csp.takeAsync(read.answers, resolve),
    );
    clearTimeout(timer);
    this.pendingReads.delete(read);
    return answer ?? UNAVAILABLE;
  }

  /** Closes the connection immediately and resolves all pending reads as `unavailable`; later reads still work. */
  close(): void {
    for (const read of this.pendingReads) {
      read.abort.abort();
    }
  }

  /** Sends the request of one read; the channel receives the answer once the connection has closed. */
  private fetch(read: PlatformRead): Channel<PlatformAnswer> {
    const closed = csp.chan<PlatformAnswer>(csp.buffers.fixed(1));
    if (this.isExpired(read)) {
      csp.offer(closed, UNAVAILABLE);
      return closed;
    }
    const headers = read.knownNumber > 0 ? { 'if-none-match': `"${read.knownNumber}"` } : {};
    const outgoing = request(this.urls[read.document], {
      agent: false,
      headers,
      signal: read.abort.signal,
    });
    let answer = UNAVAILABLE;
    outgoing.once('socket', (socket) => {
      socket.prependListener('connect', () => this.abortIfExpired(read));
    });
    outgoing.once('response', (response) => {
      this.receive(read, response, outgoing, (received) => {
        answer = received;
      });
    });
    outgoing.once('error', () => undefined);
    outgoing.once('close', () => {
      csp.offer(closed, this.isExpired(read) ? UNAVAILABLE : answer);
    });
    outgoing.end();
    return closed;
  }

  private receive(
    read: PlatformRead,
    response: IncomingMessage,
    outgoing: ClientRequest,
    onAnswer: (answer: PlatformAnswer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    response.on('error', () => undefined);
    response.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > this.maxAnswerBytes) {
        onAnswer(invalidAnswer(0, 'body', `expected at most ${this.maxAnswerBytes} bytes`));
        outgoing.destroy();
        return;
      }
      chunks.push(chunk);
    });
    response.once('end', () => {
      if (response.complete) {
        const body = Buffer.concat(chunks).toString('utf8');
        const status = response.statusCode ?? 0;
        const retryAfter = response.headers['retry-after'];
        onAnswer(interpretResponse(read.document, read.knownNumber, { status, retryAfter, body }));
      }
      outgoing.destroy();
    });
  }

  private isExpired(read: PlatformRead): boolean {
    return read.abort.signal.aborted || this.now() >= read.deadlineMs;
  }

  private abortIfExpired(read: PlatformRead): void {
    if (this.isExpired(read)) {
      read.abort.abort();
    }
  }
}

/** Executes reads one at a time, so that the platform has at most one connection from this client. */
function* serveReads(
  waiting: Channel<PlatformRead>,
  fetch: (read: PlatformRead) => Channel<PlatformAnswer>,
): Process {
  for (;;) {
    const read = (yield csp.take(waiting)) as PlatformRead | null;
    if (read === null) {
      return;
    }
    const answer = (yield csp.take(fetch(read))) as PlatformAnswer;
    csp.offer(read.answers, answer);
  }
}
