/** A loopback TCP proxy that carries the bytes of a link, and harms it on demand. */
import { once } from 'node:events';
import net, { type Socket } from 'node:net';

/**
 * - `open`: bytes pass.
 * - `delay`: bytes pass late.
 * - `silence`: nothing passes, and connections stay open.
 * - `one-way`: what the dialled side says is held back.
 * - `refuse`: connections are reset, and new ones too.
 */
export type LinkState = 'open' | 'delay' | 'silence' | 'one-way' | 'refuse';

/** An address and a port. */
export interface Place {
  readonly address: string;
  readonly port: number;
}

/** One connection through the proxy. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/** The proxy in front of `target`. */
export class LinkProxy {
  private state: LinkState = 'open';
  private delayMs = 0;
  private readonly pairs = new Set<Pair>();
  private readonly server = net.createServer((near) => this.accept(near));

  private constructor(private readonly target: Place) {}

  /** Listens at `place`. */
  static async start(place: Place, target: Place): Promise<LinkProxy> {
    const proxy = new LinkProxy(target);
    proxy.server.listen(place.port, place.address);
    await once(proxy.server, 'listening');
    return proxy;
  }

  /** Harms the link from now on, or heals it. Bytes that were held back pass when it is healed. */
  set(state: LinkState, delayMs = 0): void {
    this.state = state;
    this.delayMs = delayMs;
    for (const pair of this.pairs) {
      if (state === 'refuse') {
        reset(pair);
      } else {
        this.apply(pair);
      }
    }
  }

  close(): void {
    this.server.close();
    this.pairs.forEach(reset);
  }

  private accept(near: Socket): void {
    near.on('error', () => undefined);
    if (this.state === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = net.connect({ host: this.target.address, port: this.target.port });
    const pair = { near, far };
    this.pairs.add(pair);
    this.carry(near, far);
    this.carry(far, near);
    far.on('error', () => reset(pair));
    near.on('error', () => reset(pair));
    far.once('close', () => this.pairs.delete(pair));
    this.apply(pair);
  }

  private carry(from: Socket, to: Socket): void {
    from.on('data', (chunk: Buffer) => this.later(() => !to.destroyed && to.write(chunk)));
    from.on('end', () => this.later(() => to.end()));
  }

  private later(act: () => void): void {
    if (this.state === 'delay') {
      setTimeout(act, this.delayMs);
    } else {
      act();
    }
  }

  private apply({ near, far }: Pair): void {
    toggle(near, this.state !== 'silence');
    toggle(far, this.state !== 'silence' && this.state !== 'one-way');
  }
}

function toggle(socket: Socket, isFlowing: boolean): void {
  if (isFlowing) {
    socket.resume();
  } else {
    socket.pause();
  }
}

function reset({ near, far }: Pair): void {
  near.resetAndDestroy();
  far.resetAndDestroy();
}
