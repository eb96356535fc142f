/** The clients of one machine, which keep their connections; records how each request ended. */
import { randomBytes } from 'node:crypto';
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import { PORTS } from './node-process.js';

const DEADLINE_MS = 1_500;
const IDLE_MS = 12_000;

/**
 * - `answered`: by a whole answer.
 * - `broken-off`: the answer ended early.
 * - `closed`: the connection ended without an answer.
 * - `unconnected`: no connection was established.
 * - `given-up`: the client left at its deadline.
 */
export type RequestEnd = 'answered' | 'broken-off' | 'closed' | 'unconnected' | 'given-up';

export interface RequestRecord {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly node: string;
  readonly sentAtMs: number;
  end?: RequestEnd;
  endedAtMs?: number;
  status?: number;
  /** Whether the connection had carried a request before. */
  isKept?: boolean;
}

export class Client {
  readonly records: RequestRecord[] = [];
  private readonly agent = new http.Agent({ keepAlive: true, timeout: IDLE_MS });

  constructor(
    private readonly ip: string,
    private readonly host: string,
    private readonly deadlineMs = DEADLINE_MS,
  ) {}

  send(method: string, path: string, body?: string): void {
    const id = randomBytes(8).toString('hex');
    const record: RequestRecord = { id, method, path, node: this.ip, sentAtMs: Date.now() };
    this.records.push(record);
    const request = http.request({
      agent: this.agent,
      host: this.ip,
      port: PORTS.outbound,
      method,
      path,
      headers: {
        Host: this.host,
        'Request-Id': id,
        'Deadline-Ms': String(this.deadlineMs),
        ...(body !== undefined && { 'Content-Length': Buffer.byteLength(body) }),
      },
    });
    follow(request, record, this.deadlineMs);
    request.end(body);
  }

  close(): void {
    this.agent.destroy();
  }
}

function follow(request: ClientRequest, record: RequestRecord, deadlineMs: number): void {
  const finish = (end: RequestEnd): void => {
    clearTimeout(timer);
    if (record.end === undefined) {
      record.end = end;
      record.endedAtMs = Date.now();
      record.isKept = request.reusedSocket;
    }
  };
  const timer = setTimeout(() => {
    finish('given-up');
    request.destroy();
  }, deadlineMs);
  request.on('response', (message: IncomingMessage) => {
    record.status = message.statusCode ?? 0;
    message.resume();
    message.on('error', () => undefined);
    message.once('close', () => finish(message.complete ? 'answered' : 'broken-off'));
  });
  request.on('error', ({ code }: NodeJS.ErrnoException) => {
    if (record.status === undefined) {
      finish(code === 'ECONNREFUSED' ? 'unconnected' : 'closed');
    }
  });
}
