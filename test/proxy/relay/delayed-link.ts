/** A link to one port that delays bytes in both directions, as between processes that wait for a CPU core. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Delays bytes without limiting the throughput. */
export class DelayedLink {
  private readonly sockets = new Set<Socket>();
  private readonly server = net.createServer((client) => this.accept(client));

  private constructor(
    private readonly targetPort: number,
    private readonly delayMs: number,
  ) {}

  static async start(targetPort: number, delayMs: number): Promise<DelayedLink> {
    const link = new DelayedLink(targetPort, delayMs);
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
    from.on('data', (bytes) => setTimeout(() => to.write(bytes), this.delayMs));
    from.on('end', () => setTimeout(() => to.end(), this.delayMs));
    from.on('close', () => this.sockets.delete(from));
  }
}
