/** Serves what peers and monitoring read of a node: changes of its replica, its feed, its metrics. */
import http, { type ServerResponse } from 'node:http';
import type { ChangeFeed } from '../peers/change-feed.js';
import { FEED_PATH } from '../peers/feed-client.js';
import { CHANGES_PATH } from '../peers/peer-exchange.js';
import type { StoreReplica } from '../store/store-replica.js';
import type { Metrics } from './metrics.js';

const OK_STATUS = 200;
const BAD_REQUEST_STATUS = 400;
const FAULT_STATUS = 500;

/** What the server serves. */
export interface InternalServerOptions {
  readonly metrics: Metrics;
  readonly replica: StoreReplica;
  readonly feed: ChangeFeed;
}

/**
 * Makes the server; the caller listens on it. Every path but {@link CHANGES_PATH} and
 * {@link FEED_PATH} gives metrics.
 */
export function createInternalServer(options: InternalServerOptions): http.Server {
  const { metrics, replica, feed } = options;
  return http.createServer((request, response) => {
    request.resume();
    const path = request.url ?? '';
    if (path.startsWith(CHANGES_PATH)) {
      withRevision(response, path.slice(CHANGES_PATH.length), (since) => {
        response.writeHead(OK_STATUS, { 'Content-Type': 'application/json' });
        response.end(JSON.stringify(replica.deltaSince(since)));
      });
    } else if (path.startsWith(FEED_PATH)) {
      withRevision(response, path.slice(FEED_PATH.length), (since) => {
        feed.subscribe(response, since);
      });
    } else {
      sendMetrics(response, metrics);
    }
  });
}

/** Answers with `send`, or refuses a text that is no revision. */
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
    () => response.writeHead(FAULT_STATUS).end(),
  );
}
