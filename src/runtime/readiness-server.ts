/** HTTP readiness check: reports whether this node accepts new work. */
import http from 'node:http';

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Creates the server, which answers every request; the caller listens on it. */
export function createReadinessServer(isReady: () => boolean): http.Server {
  return http.createServer((request, response) => {
    request.resume();
    response.writeHead(isReady() ? READY_STATUS : NOT_READY_STATUS, { 'Content-Length': 0 });
    response.end();
  });
}
