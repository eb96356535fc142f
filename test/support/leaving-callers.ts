/**
 * Callers in a thread of their own, which send requests and disconnect while the event loop of the test is blocked, so
 * that both wait in the sockets of the node under test.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Cells of the memory that both threads share. */
const GO = 0;
/** Never changes, so that waiting on it blocks the calling thread. */
const NEVER = 1;

const PROGRAM = `
const net = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { port, requests, first, leaveAfterMs, leave, shared } = workerData;
const cells = new Int32Array(shared);
const open = (onConnect) => {
  const socket = net.connect(port, '127.0.0.1', () => onConnect(socket));
  socket.on('error', () => undefined);
  return socket;
};
const send = (socket, request) => {
  socket.resume();
  socket.write(request);
  setTimeout(() => {
    if (leave === 'reset') socket.resetAndDestroy();
    else socket.destroy();
  }, leaveAfterMs);
};
const run = (sockets) => {
  parentPort.postMessage('ready');
  setImmediate(() => {
    Atomics.wait(cells, ${GO}, 0);
    requests.forEach((request, idx) => {
      if (sockets.length === 0) open((socket) => send(socket, request));
      else send(sockets[idx], request);
    });
    setTimeout(() => parentPort.postMessage('left'), leaveAfterMs + 50);
  });
};
if (first === undefined) {
  run([]);
} else {
  const sockets = [];
  requests.forEach(() => open((socket) => {
    socket.write(first);
    const ready = () => { sockets.push(socket); if (sockets.length === requests.length) run(sockets); };
    if (workerData.awaitsFirst) socket.once('data', ready);
    else setTimeout(ready, 50);
  }));
}
`;

/** What the callers do. */
export interface LeavingCallersParams {
  readonly port: number;
  /** One request for each caller. */
  readonly requests: readonly string[];
  /** Request that each caller sends before, on the same connection; without one, connections are new. */
  readonly first?: string;
  /** Whether the callers wait for the answer to the first request; they send behind it when false. */
  readonly awaitsFirst?: boolean;
  readonly leaveAfterMs: number;
  /** How connections are closed. */
  readonly leave: 'end' | 'reset';
}

/** Callers that are ready to send. */
export class LeavingCallers {
  private constructor(
    private readonly worker: Worker,
    private readonly cells: Int32Array,
  ) {}

  static async start(params: LeavingCallersParams): Promise<LeavingCallers> {
    const shared = new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT);
    const workerData = { awaitsFirst: true, ...params, shared };
    const worker = new Worker(PROGRAM, { eval: true, workerData });
    await once(worker, 'message');
    return new LeavingCallers(worker, new Int32Array(shared));
  }

  /** Lets the callers send and leave. */
  send(): void {
    Atomics.store(this.cells, GO, 1);
    Atomics.notify(this.cells, GO);
  }

  /** Blocks the calling thread. */
  block(blockMs: number): void {
    Atomics.wait(this.cells, NEVER, 0, blockMs);
  }

  async close(): Promise<void> {
    await this.worker.terminate();
  }
}
