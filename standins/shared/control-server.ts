/** Control port of a stand-in: JSON over HTTP, for tests and the demo only. */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type ServerResponse,
} from 'node:http';
import { listen, type Listener } from './listener.js';

/** Answers one control request; the result is sent as JSON. A thrown error is answered with 400. */
export type ControlHandler = (body: unknown) => unknown;

/** Handlers by `METHOD /path`. */
export type ControlRoutes = Readonly<Record<string, ControlHandler>>;

/** Starts a control port; port 0 takes a free one. */
export function startControlServer(
  routes: ControlRoutes,
  host: string,
  port: number,
): Promise<Listener> {
  const answer: RequestListener = (request, response) => {
    void answerControlRequest(routes, request, response);
  };
  return listen(createServer(answer), host, port);
}

async function answerControlRequest(
  routes: ControlRoutes,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const handler = routes[`${request.method} ${request.url}`];
  if (handler === undefined) {
    sendJson(response, 404, { error: `unknown control request ${request.method} ${request.url}` });
    return;
  }
  try {
    const text = await readText(request);
    const result = handler(text === '' ? undefined : JSON.parse(text));
    sendJson(response, 200, result ?? { ok: true });
  } catch (error) {
    sendJson(response, 400, { error: String(error) });
  }
}

/** Reads a whole body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
