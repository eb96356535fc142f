/**
 * Adapter to the platform, which can only be read: the configuration and the machine list over HTTP.
 *
 * One read runs at a time, each on a connection of its own that ends with the answer. A kept-alive
 * connection would save one connection set-up a read, but the platform counts open connections: a
 * process that is frozen, or cut off, between two reads would still count as a reader after its
 * lease has passed to another.
 */
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import csp, { type Channel, type Process } from 'js-csp';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { PlatformAnswer, PlatformDocument } from '../control/control-event.js';
import { interpretResponse, invalidAnswer } from './platform-answer.js';

/** Largest answer that is read, in bytes. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Reads that may wait for the one that runs; more are answered `unavailable`. */
const MAX_WAITING_READS = 16;

/** Where the platform listens. */
export interface PlatformClientOptions {
  readonly configurationUrl: string;
  readonly machinesUrl: string;
  /** Default {@link MAX_ANSWER_BYTES}. */
  readonly maxAnswerBytes?: number;
  /** Clock in milliseconds that runs on while the process is stopped; default: monotonic. */
  readonly now?: () => number;
}

/** One read, from the call until its answer. */
interface PlatformRead {
  readonly document: PlatformDocument;
  readonly knownNumber: number;
  readonly deadlineMs: number;
  /** Aborted by `close` and at the deadline. */
  readonly abort: AbortController;
  readonly answers: Channel<PlatformAnswer>;
}

const UNAVAILABLE: PlatformAnswer = { outcome: 'unavailable' };

/** Reads the platform's documents. Every read is answered; none throws. */
export class PlatformClient {
  private readonly waiting = csp.chan<PlatformRead>(csp.buffers.fixed(MAX_WAITING_READS));
  private readonly open = new Set<PlatformRead>();
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
   * Reads `document`, conditionally when `knownNumber` is not 0. Nothing is sent after `deadlineMs`
   * on the client's clock, also when the process was stopped meanwhile.
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
    this.open.add(read);
    const timer = setTimeout(() => read.abort.abort(), Math.max(0, deadlineMs - this.now()));
    const answer = await new Promise<PlatformAnswer | null>((resolve) =>
      csp.takeAsync(read.answers, resolve),
    );
    clearTimeout(timer);
    this.open.delete(read);
    return answer ?? UNAVAILABLE;
  }

  /** Closes the connection at once and answers all reads `unavailable`; later reads work again. */
  close(): void {
    for (const read of this.open) {
      read.abort.abort();
    }
  }

  /** Sends one read; the channel gives its answer once the connection has gone. */
  private fetch(read: PlatformRead): Channel<PlatformAnswer> {
    const closed = csp.chan<PlatformAnswer>(csp.buffers.fixed(1));
    if (this.isOver(read)) {
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
      socket.prependListener('connect', () => this.abortWhenOver(read));
    });
    outgoing.once('response', (response) => {
      this.receive(read, response, outgoing, (received) => {
        answer = received;
      });
    });
    outgoing.once('error', () => undefined);
    outgoing.once('close', () => {
      csp.offer(closed, this.isOver(read) ? UNAVAILABLE : answer);
    });
    outgoing.end();
    return closed;
  }

  private receive(
    read: PlatformRead,
    response: IncomingMessage,
    outgoing: ClientRequest,
    done: (answer: PlatformAnswer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    response.on('error', () => undefined);
    response.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > this.maxAnswerBytes) {
        done(invalidAnswer(0, 'body', `expected at most ${this.maxAnswerBytes} bytes`));
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
        done(interpretResponse(read.document, read.knownNumber, { status, retryAfter, body }));
      }
      outgoing.destroy();
    });
  }

  private isOver(read: PlatformRead): boolean {
    return read.abort.signal.aborted || this.now() >= read.deadlineMs;
  }

  private abortWhenOver(read: PlatformRead): void {
    if (this.isOver(read)) {
      read.abort.abort();
    }
  }
}

/** Serves reads one after the other, so that the platform sees one connection at most. */
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
