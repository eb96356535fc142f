/** A link to one port that can drop, pause or stall the traffic of its connections. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Direction in which the bytes of a connection are dropped: towards the port, from it, or both. */
export type DropDirection = 'towards' | 'from' | 'both';

interface Pair {
  readonly client: Socket;
  readonly upstream: Socket;
  dropped: DropDirection | undefined;
  /** Whether the traffic of this connection is stalled. */
  isStalled: boolean;
}

/** New connections work unless all traffic is paused. */
export class FaultyLink {
  /** Number of connections opened through the link. */
  openedCount = 0;
  private isPaused = false;
  private readonly pairs = new Set<Pair>();
  private readonly server = net.createServer({ allowHalfOpen: true }, (client) =>
    this.accept(client),
  );

  private constructor(private readonly targetPort: number) {}

  static async start(targetPort: number): Promise<FaultyLink> {
    const link = new FaultyLink(targetPort);
    link.server.listen(0, HOST);
    await once(link.server, 'listening');
    return link;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Permanently drops the bytes and ends of all open connections in the given direction. */
  dropTraffic(direction: DropDirection): void {
    this.pairs.forEach((pair) => {
      pair.dropped = direction;
    });
  }

  /** Pauses all connections, including new ones, as if the target process were paused. */
  pauseTraffic(pausedMs: number): void {
    this.isPaused = true;
    this.pairs.forEach((pair) => this.applyFlow(pair));
    setTimeout(() => {
      this.isPaused = false;
      this.pairs.forEach((pair) => this.applyFlow(pair));
    }, pausedMs);
  }

  /** Delays all bytes on the open connections until the stall ends; new connections work. */
  stallConnections(stalledMs: number): void {
    const stalled = [...this.pairs];
    const setStalled = (isStalled: boolean): void =>
      stalled.forEach((pair) => {
        pair.isStalled = isStalled;
        this.applyFlow(pair);
      });
    setStalled(true);
    setTimeout(() => setStalled(false), stalledMs);
  }

  close(): void {
    this.server.close();
    this.pairs.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
  }

  private accept(client: Socket): void {
    this.openedCount += 1;
    const upstream = net.connect({ port: this.targetPort, host: HOST, allowHalfOpen: true });
    const pair: Pair = { client, upstream, dropped: undefined, isStalled: false };
    this.pairs.add(pair);
    this.forward(pair, client, upstream, 'towards');
    this.forward(pair, upstream, client, 'from');
    this.applyFlow(pair);
  }

  private applyFlow({ client, upstream, isStalled }: Pair): void {
    for (const socket of [client, upstream]) {
      if (this.isPaused || isStalled) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }

  private forward(pair: Pair, from: Socket, to: Socket, direction: DropDirection): void {
    const isForwarded = (): boolean => pair.dropped !== 'both' && pair.dropped !== direction;
    from.setNoDelay();
    from.on('data', (bytes) => isForwarded() && to.write(bytes));
    from.on('end', () => isForwarded() && to.end());
    from.on('error', () => isForwarded() && to.destroy());
    from.on('close', () => isForwarded() && to.destroy());
  }
}
