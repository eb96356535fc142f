/** Small JSON requests of the tools: control ports of stand-ins, and the admin ports of nodes. */
import { request as httpRequest } from 'node:http';
import type { CallTarget } from './call-client.js';

const DEFAULT_TIMEOUT_MS = 5_000;

/** Thrown when a request fails or is answered by anything but 200. */
export class JsonRequestError extends Error {
  override readonly name = 'JsonRequestError';
  readonly code = 'JSON_REQUEST';
}

/** Reads a JSON document. The type is the caller's claim; the programs asked are the project's. */
export async function getJson<Result>(
  target: CallTarget,
  path: string,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<Result> {
  return JSON.parse(await exchange(target, 'GET', path, undefined, timeoutMs)) as Result;
}

/** Reads a text. */
export function getText(target: CallTarget, path: string): Promise<string> {
  return exchange(target, 'GET', path, undefined, DEFAULT_TIMEOUT_MS);
}

/** Sends a JSON command. */
export async function postJson(
  target: CallTarget,
  path: string,
  command: unknown,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  await exchange(target, 'POST', path, JSON.stringify(command), timeoutMs);
}

function exchange(
  target: CallTarget,
  method: string,
  path: string,
  body: string | undefined,
  timeoutMs: number,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      reject(new JsonRequestError(`${method} ${target.host}:${target.port}${path}: ${reason}`));
    };
    const signal = AbortSignal.timeout(timeoutMs);
    const request = httpRequest({ ...target, method, path, agent: false, signal });
    request.on('error', (error) => fail(error.message));
    request.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('error', (error) => fail(error.message));
      response.on('end', () => {
        if (response.statusCode === 200) {
          resolve(text);
        } else {
          fail(`${response.statusCode} ${text}`);
        }
      });
    });
    request.end(body);
  });
}
