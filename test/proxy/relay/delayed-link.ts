/** A link to one port that delays bytes in both directions, as between processes that wait for a CPU core. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Delay of a chunk in milliseconds, by its number on its connection and in its direction. */
export type ChunkDelay = (chunkIdx: number) => number;

/** Delays bytes without limiting the throughput; they stay in order. */
export class DelayedLink {
  private readonly sockets = new Set<Socket>();
  private readonly server = net.createServer((client) => this.accept(client));

  private constructor(
    private readonly targetPort: number,
    private readonly delayOf: ChunkDelay,
  ) {}

  static async start(targetPort: number, delayMs: number | ChunkDelay): Promise<DelayedLink> {
    const delayOf = typeof delayMs === 'number' ? () => delayMs : delayMs;
    const link = new DelayedLink(targetPort, delayOf);
    link.server.listen(0, HOST);
    await once(link.server, 'listening');
    return link;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(client: Socket): void {
    const upstream = net.connect(this.targetPort, HOST);
    this.forward(client, upstream);
    this.forward(upstream, client);
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.setNoDelay();
    from.on('error', () => from.destroy());
    let chunkIdx = 0;
    let lastDueAtMs = 0;
    const inOrder = (action: () => void): void => {
      lastDueAtMs = Math.max(lastDueAtMs, performance.now() + this.delayOf(chunkIdx));
      setTimeout(action, lastDueAtMs - performance.now());
    };
    from.on('data', (bytes) => {
      inOrder(() => to.write(bytes));
      chunkIdx += 1;
    });
    from.on('end', () => inOrder(() => to.end()));
    from.on('close', () => this.sockets.delete(from));
  }
}
