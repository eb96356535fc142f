/** Answers that report an error: small JSON with code, message and verdict. */
import type { ServerResponse } from 'node:http';
import { VERDICT_HEADER, type Verdict } from '../model/verdict.js';
import type { RequestError } from './request-error.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;
const REFUSED_STATUS = 503;

/** The body of an error answer. */
export function errorBody(code: string, message: string, verdict: Verdict): string {
  return `${JSON.stringify({ code, message, verdict })}\n`;
}

/** Sends `error` under `verdict`, with `headers` besides (names and values, alternating). */
export function sendError(
  response: ServerResponse,
  error: RequestError,
  verdict: Verdict,
  headers: readonly string[],
): void {
  const body = errorBody(error.code, error.message, verdict);
  const list = [
    VERDICT_HEADER,
    verdict,
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
    ...headers,
  ];
  const retryAfterMs = retryAfterOf(error);
  if (retryAfterMs !== undefined) {
    list.push('Retry-After', String(Math.max(1, Math.ceil(retryAfterMs / 1_000))));
  }
  response.writeHead(error.status, list);
  response.end(body);
}

/** Every refusal says when to come back. */
function retryAfterOf(error: RequestError): number | undefined {
  const isRefusal = error.status === REFUSED_STATUS;
  return error.retryAfterMs ?? (isRefusal ? DEFAULT_RETRY_AFTER_MS : undefined);
}
