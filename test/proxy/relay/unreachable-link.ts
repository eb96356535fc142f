/** A link towards one port that can go dark: open connections say nothing, new ones are not answered. */
import net, { type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';

const HOST = '127.0.0.1';
/** More connections than wait at a listener that takes none. */
const FILLERS = 4;
/** Time in which a connection is set up where it is answered. */
const CONNECT_MS = 200;

/** Runs in a thread of its own, which stands still while the link is dark. */
const PROXY = `
const net = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const server = net.createServer((near) => {
  const far = net.connect(workerData.targetPort, '${HOST}');
  for (const [from, to] of [[near, far], [far, near]]) {
    from.on('data', (bytes) => to.write(bytes));
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
});
server.listen({ port: 0, host: '${HOST}', backlog: 1 }, () => parentPort.postMessage(server.address().port));
parentPort.on('message', (darkMs) => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, darkMs);
});
`;

/** The link. */
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

  /** Goes dark for so long; resolves once new connections are not answered any more. */
  async block(blockedMs: number): Promise<void> {
    this.worker.postMessage(blockedMs);
    await new Promise((resolve) => setTimeout(resolve, CONNECT_MS));
    for (let opened = 0; opened < FILLERS; opened += 1) {
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
