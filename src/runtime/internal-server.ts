/** Serves what peers and monitoring read of a node: changes of its replica, and its metrics. */
import http, { type ServerResponse } from 'node:http';
import { CHANGES_PATH } from '../peers/peer-exchange.js';
import type { StoreReplica } from '../store/store-replica.js';
import type { Metrics } from './metrics.js';

const OK_STATUS = 200;
const BAD_REQUEST_STATUS = 400;
const FAULT_STATUS = 500;

/** Makes the server; the caller listens on it. Every path but {@link CHANGES_PATH} gives metrics. */
export function createInternalServer(metrics: Metrics, replica: StoreReplica): http.Server {
  return http.createServer((request, response) => {
    request.resume();
    const path = request.url ?? '';
    if (path.startsWith(CHANGES_PATH)) {
      sendChanges(response, replica, path.slice(CHANGES_PATH.length));
    } else {
      sendMetrics(response, metrics);
    }
  });
}

function sendChanges(response: ServerResponse, replica: StoreReplica, sinceText: string): void {
  const since = Number(sinceText);
  if (!Number.isSafeInteger(since) || since < 0) {
    response.writeHead(BAD_REQUEST_STATUS).end();
    return;
  }
  response.writeHead(OK_STATUS, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(replica.deltaSince(since)));
}

function sendMetrics(response: ServerResponse, metrics: Metrics): void {
  metrics.text().then(
    (text) => response.writeHead(OK_STATUS, { 'Content-Type': metrics.contentType }).end(text),
    () => response.writeHead(FAULT_STATUS).end(),
  );
}
