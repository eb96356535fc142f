/** A link to one port that can become unreachable: open connections stall, new ones are not accepted. */
import net, { type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';

const HOST = '127.0.0.1';
/** Enough connections to fill the backlog of a listener that accepts none. */
const FILLER_COUNT = 4;
/** Time for a connection to be established if the listener responds. */
const CONNECT_MS = 200;

/** Runs in a worker thread, which is blocked while the link is unreachable. */
const PROXY = `
const net = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const server = net.createServer((client) => {
  const upstream = net.connect(workerData.targetPort, '${HOST}');
  for (const [from, to] of [[client, upstream], [upstream, client]]) {
    from.on('data', (bytes) => to.write(bytes));
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
});
server.listen({ port: 0, host: '${HOST}', backlog: 1 }, () => parentPort.postMessage(server.address().port));
parentPort.on('message', (blockedMs) => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockedMs);
});
`;

export class UnreachableLink {
  private readonly fillers: Socket[] = [];

  private constructor(
    private readonly worker: Worker,
    readonly port: number,
  ) {}

  static async start(targetPort: number): Promise<UnreachableLink> {
    const worker = new Worker(PROXY, { eval: true, workerData: { targetPort } });
    const port = await new Promise<number>((resolve) => worker.once('message', resolve));
    return new UnreachableLink(worker, port);
  }

  /** Makes the link unreachable for `blockedMs`; resolves once new connections are no longer accepted. */
  async block(blockedMs: number): Promise<void> {
    this.worker.postMessage(blockedMs);
    await new Promise((resolve) => setTimeout(resolve, CONNECT_MS));
    for (let opened = 0; opened < FILLER_COUNT; opened += 1) {
      const filler = net.connect(this.port, HOST);
      filler.on('error', () => undefined);
      this.fillers.push(filler);
    }
    await new Promise((resolve) => setTimeout(resolve, CONNECT_MS));
  }

  async close(): Promise<void> {
    this.fillers.forEach((filler) => filler.destroy());
    await this.worker.terminate();
  }
}
