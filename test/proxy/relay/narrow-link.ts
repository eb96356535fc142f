/** A low-bandwidth link to one port, shared by all connections to it like the link of a machine. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

const HOST = '127.0.0.1';
/** Interval between transfers, in milliseconds. */
const TICK_MS = 2;

/** Queued bytes with their destination. */
interface QueuedBytes {
  readonly to: Socket;
  readonly bytes: Buffer;
}

/** Transfers bytes to the port through one FIFO queue; bytes from the port are forwarded immediately. */
export class NarrowLink {
  /** Bytes received from clients for the port. */
  carriedBytes = 0;
  private readonly queue: QueuedBytes[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server = net.createServer((client) => this.accept(client));
  private readonly timer = setInterval(() => this.forwardQueued(), TICK_MS);

  private constructor(
    private readonly targetPort: number,
    private readonly bytesPerMs: number,
  ) {}

  static async start(targetPort: number, bytesPerMs: number): Promise<NarrowLink> {
    const link = new NarrowLink(targetPort, bytesPerMs);
    link.server.listen(0, HOST);
    await once(link.server, 'listening');
    return link;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    clearInterval(this.timer);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Closes all open connections; new ones work. */
  cut(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(client: Socket): void {
    const upstream = net.connect(this.targetPort, HOST);
    for (const [socket, other] of [
      [client, upstream],
      [upstream, client],
    ] as const) {
      this.sockets.add(socket);
      socket.setNoDelay();
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        this.sockets.delete(socket);
        other.destroy();
      });
    }
    upstream.pipe(client);
    client.on('data', (bytes) => {
      this.carriedBytes += bytes.length;
      this.queue.push({ to: upstream, bytes });
    });
  }

  private forwardQueued(): void {
    let remaining = this.bytesPerMs * TICK_MS;
    while (remaining > 0) {
      const [first] = this.queue;
      if (first === undefined) {
        return;
      }
      const part = first.bytes.subarray(0, remaining);
      first.to.write(part);
      remaining -= part.length;
      this.queue.shift();
      if (part.length < first.bytes.length) {
        this.queue.unshift({ to: first.to, bytes: first.bytes.subarray(part.length) });
      }
    }
  }
}
