/**
 * A caller in a thread of its own: it connects and sends while the event loop of the test stands still, so
 * that what it sent waits in the system when the loop goes on.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Longest time for which the test waits for the thread, in milliseconds. */
const SENT_TIMEOUT_MS = 1_000;

/** Cells of the memory that both threads share. */
const GO = 0;
const SENT = 1;

const PROGRAM = `
const net = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { host, port, first, request, shared } = workerData;
const cells = new Int32Array(shared);
let text = '';
let error;
const listen = (socket) => {
  socket.on('data', (chunk) => (text += chunk.toString('latin1')));
  socket.on('error', ({ code }) => (error = code));
  socket.on('close', () => parentPort.postMessage({ text, error }));
};
const send = (socket) => {
  Atomics.wait(cells, ${GO}, 0);
  text = '';
  socket.write(request, () => {
    Atomics.store(cells, ${SENT}, 1);
    Atomics.notify(cells, ${SENT});
  });
};
if (first === '') {
  parentPort.postMessage('ready');
  Atomics.wait(cells, ${GO}, 0);
  const socket = net.connect(port, host, () => send(socket));
  listen(socket);
} else {
  const socket = net.connect(port, host, () => socket.write(first));
  listen(socket);
  socket.once('data', () => {
    parentPort.postMessage('ready');
    setImmediate(() => send(socket));
  });
}
`;

/** What the caller got after its request, and how its connection broke, if it did. */
export interface LateResult {
  readonly text: string;
  readonly error: string | undefined;
}

/** What the caller does. */
export interface LateCall {
  readonly host: string;
  readonly port: number;
  /** A request that is answered before, on the same connection; empty for a new connection. */
  readonly first: string;
  readonly request: string;
}

/** A caller that is ready to send. */
export class LateCaller {
  private constructor(
    private readonly worker: Worker,
    private readonly cells: Int32Array,
  ) {}

  static async start(call: LateCall): Promise<LateCaller> {
    const shared = new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(PROGRAM, { eval: true, workerData: { ...call, shared } });
    await once(worker, 'message');
    return new LateCaller(worker, new Int32Array(shared));
  }

  /**
   * Sends while the calling thread stands still, for `stillMs` at least. Resolves with what came back.
   */
  sendWhileStill(stillMs: number): Promise<LateResult> {
    const received = once(this.worker, 'message').then(([result]) => result as LateResult);
    const beganAtMs = performance.now();
    Atomics.store(this.cells, GO, 1);
    Atomics.notify(this.cells, GO);
    Atomics.wait(this.cells, SENT, 0, SENT_TIMEOUT_MS);
    const leftMs = beganAtMs + stillMs - performance.now();
    Atomics.wait(this.cells, GO, 1, Math.max(0, leftMs));
    return received;
  }

  async close(): Promise<void> {
    await this.worker.terminate();
  }
}
