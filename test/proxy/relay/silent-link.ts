/** A link towards one port on which the connections that are open can be silenced for good. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Which bytes of a silenced connection are lost: those towards the port, those from it, or both. */
export type Silence = 'towards' | 'from' | 'both';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  silence: Silence | undefined;
  /** Whether what it carries is kept back for a while. */
  isStalled: boolean;
}

/** The link. New connections work at any time. */
export class SilentLink {
  /** Connections that were opened through the link. */
  openedCount = 0;
  private isHeld = false;
  private readonly pairs = new Set<Pair>();
  private readonly server = net.createServer({ allowHalfOpen: true }, (near) => this.accept(near));

  private constructor(private readonly targetPort: number) {}

  static async start(targetPort: number): Promise<SilentLink> {
    const link = new SilentLink(targetPort);
    link.server.listen(0, HOST);
    await once(link.server, 'listening');
    return link;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** From now on the connections that are open carry nothing that way, their ends among it. */
  silence(silence: Silence): void {
    this.pairs.forEach((pair) => {
      pair.silence = silence;
    });
  }

  /** Nothing passes for so long, on new connections either: as if the target's process was held up. */
  hold(heldMs: number): void {
    this.isHeld = true;
    this.pairs.forEach((pair) => this.toggle(pair));
    setTimeout(() => {
      this.isHeld = false;
      this.pairs.forEach((pair) => this.toggle(pair));
    }, heldMs);
  }

  /** The connections that are open carry nothing for so long, then all that was sent; new ones work. */
  stall(stalledMs: number): void {
    const stalled = [...this.pairs];
    const setStalled = (isStalled: boolean): void =>
      stalled.forEach((pair) => {
        pair.isStalled = isStalled;
        this.toggle(pair);
      });
    setStalled(true);
    setTimeout(() => setStalled(false), stalledMs);
  }

  close(): void {
    this.server.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  private accept(near: Socket): void {
    this.openedCount += 1;
    const far = net.connect({ port: this.targetPort, host: HOST, allowHalfOpen: true });
    const pair: Pair = { near, far, silence: undefined, isStalled: false };
    this.pairs.add(pair);
    this.carry(pair, near, far, 'towards');
    this.carry(pair, far, near, 'from');
    this.toggle(pair);
  }

  private toggle({ near, far, isStalled }: Pair): void {
    for (const socket of [near, far]) {
      if (this.isHeld || isStalled) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }

  private carry(pair: Pair, from: Socket, to: Socket, way: Silence): void {
    const passes = (): boolean => pair.silence !== 'both' && pair.silence !== way;
    from.setNoDelay();
    from.on('data', (bytes) => passes() && to.write(bytes));
    from.on('end', () => passes() && to.end());
    from.on('error', () => passes() && to.destroy());
    from.on('close', () => passes() && to.destroy());
  }
}
