/** A link of few bytes a second towards one port, shared by all connections to it, as a machine's is. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

const HOST = '127.0.0.1';
/** Time between two turns of the link, in milliseconds. */
const TURN_MS = 2;

/** Bytes that wait their turn, and where they go. */
interface Waiting {
  readonly to: Socket;
  readonly bytes: Buffer;
}

/** The link. What its connections carry to the port passes in one order; answers pass at once. */
export class NarrowLink {
  /** Bytes that were sent towards the port. */
  carriedBytes = 0;
  private readonly waiting: Waiting[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server = net.createServer((near) => this.accept(near));
  private readonly timer = setInterval(() => this.passSome(), TURN_MS);

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

  /** Cuts the connections that are open; new ones work. */
  cut(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(near: Socket): void {
    const far = net.connect(this.targetPort, HOST);
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ] as const) {
      this.sockets.add(socket);
      socket.setNoDelay();
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        this.sockets.delete(socket);
        other.destroy();
      });
    }
    far.pipe(near);
    near.on('data', (bytes) => {
      this.carriedBytes += bytes.length;
      this.waiting.push({ to: far, bytes });
    });
  }

  private passSome(): void {
    let left = this.bytesPerMs * TURN_MS;
    while (left > 0) {
      const [first] = this.waiting;
      if (first === undefined) {
        return;
      }
      const part = first.bytes.subarray(0, left);
      first.to.write(part);
      left -= part.length;
      this.waiting.shift();
      if (part.length < first.bytes.length) {
        this.waiting.unshift({ to: first.to, bytes: first.bytes.subarray(part.length) });
      }
    }
  }
}
