/**
 * HTTP server for peers, monitoring and operators: serves replica changes, the change feed, metrics and
 * suspected requests, whose suspicions operators can release.
 */
import http, { type ServerResponse } from 'node:http';
import type { SuspicionView } from '../containment/suspicion.js';
import type { ChangeFeed } from '../peers/change-feed.js';
import { CHANGES_PATH } from '../peers/delta-fetch.js';
import { FEED_PATH } from '../peers/feed-client.js';
import { HANDOVER_PATH } from '../peers/handover-exchange.js';
import type { DeltaCache } from '../peers/delta-codec.js';
import type { Metrics } from './metrics.js';

const OK_STATUS = 200;
const BAD_REQUEST_STATUS = 400;
const NOT_FOUND_STATUS = 404;
const UNAVAILABLE_STATUS = 503;
const INTERNAL_ERROR_STATUS = 500;
/** Path of the suspected requests; a `DELETE` appends the fingerprint to release. */
const SUSPICIONS_PATH = '/v1/suspicions';

export interface InternalServerOptions {
  readonly metrics: Metrics;
  readonly deltas: DeltaCache;
  readonly feed: ChangeFeed;
  readonly suspicions: SuspicionView;
  /** The encoded handover; undefined while the node knows no more than the store. */
  readonly handover: () => string | undefined;
}

/**
 * Creates the server; the caller listens on it. Every path except {@link CHANGES_PATH}, {@link FEED_PATH},
 * {@link HANDOVER_PATH} and {@link SUSPICIONS_PATH} returns metrics.
 */
export function createInternalServer(options: InternalServerOptions): http.Server {
  const { metrics, deltas, feed, suspicions, handover } = options;
  return http.createServer((request, response) => {
    request.resume();
    const path = request.url ?? '';
    if (path.startsWith(CHANGES_PATH)) {
      withRevision(response, path.slice(CHANGES_PATH.length), (since) => {
        sendText(response, OK_STATUS, deltas.since(since));
      });
    } else if (path.startsWith(FEED_PATH)) {
      withRevision(response, path.slice(FEED_PATH.length), (since) => {
        feed.subscribe(response, since);
      });
    } else if (path === HANDOVER_PATH) {
      const text = handover();
      sendText(response, text === undefined ? UNAVAILABLE_STATUS : OK_STATUS, text ?? '{}');
    } else if (path.startsWith(SUSPICIONS_PATH)) {
      const fingerprint = path.slice(SUSPICIONS_PATH.length + 1);
      handleSuspicions(response, suspicions, request.method ?? '', fingerprint);
    } else {
      sendMetrics(response, metrics);
    }
  });
}

function handleSuspicions(
  response: ServerResponse,
  suspicions: SuspicionView,
  method: string,
  fingerprint: string,
): void {
  if (method === 'GET' && fingerprint === '') {
    sendJson(response, OK_STATUS, { items: suspicions.report() });
  } else if (method === 'DELETE' && suspicions.release(fingerprint)) {
    sendJson(response, OK_STATUS, { released: fingerprint });
  } else {
    const message = `no suspicion recorded for request ${fingerprint}`;
    sendJson(response, NOT_FOUND_STATUS, { code: 'NOT_FOUND', message });
  }
}

/** Calls `send` with the parsed revision, or answers 400 if `text` is not a revision. */
function withRevision(
  response: ServerResponse,
  text: string,
  send: (revision: number) => void,
): void {
  const revision = Number(text);
  if (Number.isSafeInteger(revision) && revision >= 0) {
    send(revision);
  } else {
    response.writeHead(BAD_REQUEST_STATUS).end();
  }
}

function sendMetrics(response: ServerResponse, metrics: Metrics): void {
  metrics.text().then(
    (text) => response.writeHead(OK_STATUS, { 'Content-Type': metrics.contentType }).end(text),
    () => response.writeHead(INTERNAL_ERROR_STATUS).end(),
  );
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  sendText(response, status, JSON.stringify(body));
}

function sendText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(text);
}
