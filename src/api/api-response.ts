/** Writes responses of the resource API. */
import { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { VERDICT_HEADER } from '../model/verdict.js';
import type { ApiError } from './api-error.js';
import { representResource } from './resource-representation.js';
import type { VersionedResource } from './snapshot-difference.js';

const JSON_HEADERS = { 'content-type': 'application/json', 'cache-control': 'no-store' } as const;

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  const text = `${JSON.stringify(body)}\n`;
  const length = Buffer.byteLength(text);
  response.writeHead(status, { ...JSON_HEADERS, 'content-length': length, ...headers });
  response.end(text);
}

/** Sends an error and its headers. */
export function sendError(response: ServerResponse, error: ApiError): void {
  sendJson(response, error.status, error.toBody(), errorHeaders(error));
}

/**
 * Sends a list item by item, at the pace at which the client reads. Rejects if the client
 * disconnects.
 */
export async function sendList(
  response: ServerResponse,
  cursor: string,
  items: Iterable<VersionedResource>,
): Promise<void> {
  response.writeHead(200, JSON_HEADERS);
  await pipeline(Readable.from(listText(cursor, items)), response);
}

function* listText(cursor: string, items: Iterable<VersionedResource>): Generator<string> {
  yield `{"cursor":${JSON.stringify(cursor)},"items":[`;
  let separator = '\n';
  for (const { resource, version } of items) {
    yield separator + JSON.stringify(representResource(resource, version));
    separator = ',\n';
  }
  yield '\n]}\n';
}

function errorHeaders({ code, details }: ApiError): OutgoingHttpHeaders {
  const headers: OutgoingHttpHeaders = {};
  if (details.verdict !== undefined) {
    headers[VERDICT_HEADER] = details.verdict;
  }
  if (details.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(details.retryAfterMs / 1_000));
  }
  if (details.allowedMethods !== undefined) {
    headers['allow'] = details.allowedMethods.join(', ');
  }
  if (code === 'TOKEN_REQUIRED' || code === 'TOKEN_REFUSED') {
    headers['www-authenticate'] = 'Bearer';
  }
  return headers;
}
