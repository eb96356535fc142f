/** Serves a node's metrics as text. */
import http from 'node:http';
import type { Metrics } from './metrics.js';

const OK_STATUS = 200;
const FAULT_STATUS = 500;

/** Makes the server, which answers any request; the caller listens on it. */
export function createMetricsServer(metrics: Metrics): http.Server {
  return http.createServer((request, response) => {
    request.resume();
    metrics.text().then(
      (text) => {
        response.writeHead(OK_STATUS, { 'Content-Type': metrics.contentType });
        response.end(text);
      },
      () => {
        response.writeHead(FAULT_STATUS);
        response.end();
      },
    );
  });
}
