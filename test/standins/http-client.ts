/** A plain HTTP client for contract tests: one connection a call unless an agent is given. */
import { request as httpRequest, type Agent, type IncomingHttpHeaders } from 'node:http';
import { createConnection, type Socket } from 'node:net';

export interface HttpCall {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

export interface HttpResult {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** Rejects when the connection fails or the answer is cut short. */
export function call(port: number, path: string, options: HttpCall = {}): Promise<HttpResult> {
  const { body, ...rest } = options;
  return new Promise((resolve, reject) => {
    const request = httpRequest({ host: '127.0.0.1', port, path, agent: false, ...rest });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        resolve({ status: response.statusCode ?? 0, headers: response.headers, text });
      });
    });
    request.end(body);
  });
}

/** Sends a JSON command to a control port and gives its JSON answer. */
export async function control(port: number, path: string, command?: unknown): Promise<unknown> {
  const body = command === undefined ? undefined : JSON.stringify(command);
  const method = command === undefined ? 'GET' : 'POST';
  const result = await call(port, path, body === undefined ? { method } : { method, body });
  if (result.status !== 200) {
    throw new Error(`${path}: ${result.status} ${result.text}`);
  }
  return JSON.parse(result.text) as unknown;
}

/** Opens a bare connection. */
export function connect(port: number): Socket {
  return createConnection({ host: '127.0.0.1', port });
}

/** Everything that arrives on a connection until it closes. */
export function readUntilClose(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(text);
    });
  });
}
