/**
 * A stand-in for a back end: works on `slots` requests at a time, queues a few more, signs its answers and records
 * what it runs.
 */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Store } from './store.js';

const HEARTBEAT_MS = 1_500;
const QUEUED_PER_SLOT = 4;
const KEEP_ALIVE_MS = 10_000;

export interface BackendOptions {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly zone: string;
  readonly slots: number;
  readonly workMs: () => number;
  /** Length of the bodies of its answers, in bytes; that of a short text when absent. */
  readonly bodyBytes?: number | undefined;
  /** Whether it sends the first half of an answer when it begins to work, and the rest when it has finished. */
  readonly sendsEarly?: boolean | undefined;
}

/** One request that was run. */
export interface Run {
  readonly id: string;
  readonly url: string;
  readonly atMs: number;
  /** Whether its answer was replaced by other bytes. */
  isSpoilt: boolean;
}

interface Job {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly id: string;
  isGone: boolean;
}

export class Backend {
  readonly runs: Run[] = [];
  /** How often surplus bytes were sent. */
  sentSurplus = 0;
  /** The bytes that replace the answer to the request with this id, after which the connection ends. */
  spoil: (id: string) => string | undefined = () => undefined;
  /**
   * The bytes that follow an answer, to be asked once for each. They are sent late: as soon as the next request has
   * arrived on the connection.
   */
  surplus: () => string | undefined = () => undefined;
  private readonly dueSurplus = new WeakMap<Duplex, string>();
  private running = 0;
  private readonly queue: Job[] = [];
  private sequence = 0;
  private state: 'ready' | 'draining' = 'ready';
  private heartbeat: NodeJS.Timeout | undefined;
  private isSilent = false;
  private readonly server = http.createServer((request, response) => this.take(request, response));

  constructor(readonly options: BackendOptions) {
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  async start(store: Store): Promise<void> {
    this.server.listen(this.options.port, this.options.address);
    await once(this.server, 'listening');
    this.writeEntry(store);
    this.heartbeat = setInterval(() => this.writeEntry(store), HEARTBEAT_MS);
  }

  /** Announces that it leaves; returns when the store acknowledged that. */
  announceDraining(store: Store): number {
    this.state = 'draining';
    this.writeEntry(store);
    return Date.now();
  }

  /** Ends with all connections, and is removed from the store. */
  leave(store: Store): void {
    this.close();
    store.remove(`servers/${this.options.id}`);
  }

  /** Falls silent: connections stay open, and nothing is read, run or sent any more. */
  fallSilent(): void {
    this.isSilent = true;
    clearInterval(this.heartbeat);
  }

  close(): void {
    clearInterval(this.heartbeat);
    this.server.close();
    this.server.closeAllConnections();
  }

  private writeEntry(store: Store): void {
    const { id, service, address, port, zone, slots } = this.options;
    const { state } = this;
    this.sequence += 1;
    store.put(`servers/${id}`, {
      address: `${address}:${port}`,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence: this.sequence, coldRemainingS: 0 },
    });
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    this.sendDueSurplus(request.socket);
    request.resume();
    request.once('end', () => this.admit(request, response));
  }

  private sendDueSurplus(socket: Duplex): void {
    const bytes = this.dueSurplus.get(socket);
    if (bytes !== undefined) {
      this.dueSurplus.delete(socket);
      this.sentSurplus += 1;
      socket.write(bytes);
    }
  }

  private admit(request: IncomingMessage, response: ServerResponse): void {
    if (this.isSilent) {
      return;
    }
    const id = String(request.headers['request-id']);
    const target = request.headers['target-instance'];
    if (target !== undefined && target !== this.options.id) {
      this.reply(response, 421, id, { 'Instance-Id': this.options.id });
      return;
    }
    if (this.queue.length >= this.options.slots * QUEUED_PER_SLOT) {
      this.reply(response, 503, id, { 'Not-Executed': '1' });
      return;
    }
    const job: Job = { request, response, id, isGone: false };
    response.once('close', () => (job.isGone = true));
    this.queue.push(job);
    this.startNext();
  }

  private startNext(): void {
    while (!this.isSilent && this.running < this.options.slots) {
      const job = this.queue.shift();
      if (job === undefined) {
        return;
      }
      if (!job.isGone) {
        this.run(job);
      }
    }
  }

  private run({ request, response, id }: Job): void {
    this.running += 1;
    const run: Run = { id, url: request.url ?? '', atMs: Date.now(), isSpoilt: false };
    this.runs.push(run);
    if (this.options.sendsEarly === true) {
      this.beginAnswer(response, run);
    }
    setTimeout(() => {
      this.running -= 1;
      this.answer(response, run);
      this.startNext();
    }, this.options.workMs());
  }

  private answer(response: ServerResponse, run: Run): void {
    const { id } = run;
    if (this.isSilent) {
      return;
    }
    if (response.headersSent) {
      const text = this.bodyOf(id);
      response.end(text.slice(text.length / 2));
      return;
    }
    const bytes = response.socket === null ? undefined : this.spoil(id);
    if (bytes !== undefined) {
      run.isSpoilt = true;
      response.socket?.end(bytes);
      return;
    }
    const surplus = this.surplus();
    if (response.socket !== null && surplus !== undefined) {
      this.dueSurplus.set(response.socket, surplus);
    }
    const text = this.bodyOf(id);
    this.reply(response, 200, id, { 'Server-Signature': `s.${id}.${text.length}` }, text);
  }

  private beginAnswer(response: ServerResponse, { id }: Run): void {
    const text = this.bodyOf(id);
    response.writeHead(200, {
      'Request-Id': id,
      'Server-Signature': `s.${id}.${text.length}`,
      'Server-Load': `${this.running},${this.queue.length},${this.options.slots}`,
      'Content-Length': text.length,
    });
    response.write(text.slice(0, text.length / 2));
  }

  private bodyOf(id: string): string {
    const text = `${this.options.id} ran ${id} `;
    const { bodyBytes = text.length } = this.options;
    return text.padEnd(bodyBytes, 'x');
  }

  private reply(
    response: ServerResponse,
    status: number,
    id: string,
    headers: Record<string, string>,
    text = '',
  ): void {
    if (response.destroyed) {
      return;
    }
    response.writeHead(status, {
      'Request-Id': id,
      'Server-Load': `${this.running},${this.queue.length},${this.options.slots}`,
      'Content-Length': Buffer.byteLength(text),
      ...headers,
    });
    response.end(text);
  }
}
