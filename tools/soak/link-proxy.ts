/** A loopback TCP proxy that carries the bytes of a link, and harms it on demand. */
import { once } from 'node:events';
import net, { type Socket } from 'node:net';
import { LinkDirection, LinkLane } from './link-direction.js';

/**
 * - `open`: bytes pass.
 * - `delay`: bytes pass late.
 * - `silence`: nothing passes, and connections stay open.
 * - `one-way`: what the dialled side says is held back.
 * - `refuse`: connections are reset, and new ones too.
 * - `open-silence`: connections that are open stay so and are silent for good; new ones work.
 * - `open-one-way`: the same, for what the dialled side says.
 * - `open-other-way`: the same, for what the dialling side says.
 */
export type LinkState =
  | 'open'
  | 'delay'
  | 'silence'
  | 'one-way'
  | 'refuse'
  | 'open-silence'
  | 'open-one-way'
  | 'open-other-way';

/** Ways of a connection: what the dialling side says, what the dialled side says, or both. */
export type StalledWay = 'there' | 'back' | 'both';

/** How one connection is slow: its bytes are late, or held back until the end. None is lost. */
export interface Stall {
  readonly way: StalledWay;
  /** Added to the time of each piece, in milliseconds; Infinity where all is held back until the end. */
  readonly delayMs: number;
}

/** Longest first line that is kept, in bytes. */
const MAX_OPENING_BYTES = 60;
/** A connection that carried bytes so lately is in use, in milliseconds. */
const IN_USE_MS = 500;

/** An address and a port. */
export interface Place {
  readonly address: string;
  readonly port: number;
}

/** One connection through the proxy. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** What the dialling side says. */
  readonly there: LinkDirection;
  /** What the dialled side says. */
  readonly back: LinkDirection;
  readonly diallerPort: number;
  opening: string;
  /** When it last carried bytes. */
  usedAtMs: number;
  /** Set while it alone is slow. */
  stall: Stall | undefined;
  /** Set once it is silent for good. */
  silence: SilentConnection | undefined;
}

/** A connection that is silent for good, and whether its dialler goes on using it. */
export interface SilentConnection {
  readonly sinceMs: number;
  /** The port that its dialler has, and the first line that it said. */
  readonly diallerPort: number;
  readonly opening: string;
  /** First and last bytes of its dialler since then; undefined while there are none. */
  firstUseMs?: number;
  lastUseMs?: number;
  /** From when on what each side says is lost; undefined while it is not. */
  diallerLostMs?: number;
  dialledLostMs?: number;
  /** First bytes of the dialled side since then, lost or not; undefined while there are none. */
  dialledSaidMs?: number;
  /** When each side had ended it; undefined while it has not. */
  diallerEndedMs?: number;
  dialledEndedMs?: number;
}

/** The proxy in front of `target`. */
export class LinkProxy {
  private state: LinkState = 'open';
  private delayMs = 0;
  /** Connections that went silent for good, on the clock of `performance.now`. */
  readonly silences: SilentConnection[] = [];
  private readonly pairs = new Set<Pair>();
  private readonly laneThere = new LinkLane();
  private readonly laneBack = new LinkLane();
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
        this.silence(pair);
      }
    }
  }

  /** Bounds what passes each way from now on, of all connections together; Infinity for no bound. */
  setBandwidth(bytesPerS: number): void {
    this.laneThere.bytesPerS = bytesPerS;
    this.laneBack.bytesPerS = bytesPerS;
  }

  /**
   * Makes one open connection slow while all others, and new ones, work: one in use where there is any,
   * the one at `rank` (from 0 on, below 1) among them. Ends by the returned function; undefined where none
   * is open that is not slow already.
   */
  stall(stall: Stall, rank: number): (() => void) | undefined {
    const pair = this.pairToStall(rank);
    if (pair === undefined) {
      return undefined;
    }
    pair.stall = stall;
    this.apply(pair);
    return () => {
      pair.stall = undefined;
      this.apply(pair);
    };
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
    const there = new LinkDirection(near, far, this.laneThere, (nowMs) => noteUse(pair, nowMs));
    const back = new LinkDirection(far, near, this.laneBack, (nowMs) => noteAnswer(pair, nowMs));
    const pair: Pair = {
      ...{ near, far, there, back },
      diallerPort: near.remotePort ?? 0,
      opening: '',
      usedAtMs: performance.now(),
      stall: undefined,
      silence: undefined,
    };
    this.pairs.add(pair);
    near.once('data', (bytes: Buffer) => {
      pair.opening = firstLineOf(bytes);
    });
    far.on('error', () => reset(pair));
    near.on('error', () => reset(pair));
    for (const socket of [near, far]) {
      socket.once('close', () => near.closed && far.closed && this.pairs.delete(pair));
    }
    watchEnds(pair);
    this.apply(pair);
  }

  private silence(pair: Pair): void {
    const losesThere = this.state === 'open-silence' || this.state === 'open-other-way';
    const losesBack = this.state === 'open-silence' || this.state === 'open-one-way';
    if (!losesThere && !losesBack) {
      return;
    }
    const sinceMs = performance.now();
    if (pair.silence === undefined) {
      const { diallerPort, opening } = pair;
      pair.silence = { sinceMs, diallerPort, opening };
      this.silences.push(pair.silence);
    }
    if (losesThere) {
      pair.there.lose();
      pair.silence.diallerLostMs ??= sinceMs;
    }
    if (losesBack) {
      pair.back.lose();
      pair.silence.dialledLostMs ??= sinceMs;
    }
  }

  private pairToStall(rank: number): Pair | undefined {
    const free = [...this.pairs].filter(
      ({ near, far, stall }) => stall === undefined && !near.destroyed && !far.destroyed,
    );
    const usedFromMs = performance.now() - IN_USE_MS;
    const inUse = free.filter(({ usedAtMs }) => usedAtMs >= usedFromMs);
    const among = inUse.length > 0 ? inUse : free;
    return among[Math.floor(rank * among.length)];
  }

  private apply({ there, back, stall }: Pair): void {
    const delayMs = this.state === 'delay' ? this.delayMs : 0;
    const lateMs = stall === undefined || stall.delayMs === Infinity ? 0 : stall.delayMs;
    const isHeld = stall?.delayMs === Infinity;
    const isSlowThere = stall !== undefined && stall.way !== 'back';
    const isSlowBack = stall !== undefined && stall.way !== 'there';
    there.delayMs = delayMs + (isSlowThere ? lateMs : 0);
    back.delayMs = delayMs + (isSlowBack ? lateMs : 0);
    there.hold(this.state === 'silence' || (isSlowThere && isHeld));
    back.hold(this.state === 'silence' || this.state === 'one-way' || (isSlowBack && isHeld));
  }
}

function noteUse(pair: Pair, nowMs: number): void {
  pair.usedAtMs = nowMs;
  const { silence } = pair;
  if (silence !== undefined) {
    silence.firstUseMs ??= nowMs;
    silence.lastUseMs = nowMs;
  }
}

function firstLineOf(bytes: Buffer): string {
  return bytes.toString('latin1', 0, MAX_OPENING_BYTES).split('\r\n', 1)[0] ?? '';
}

function noteAnswer(pair: Pair, nowMs: number): void {
  pair.usedAtMs = nowMs;
  const { silence } = pair;
  if (silence !== undefined) {
    silence.dialledSaidMs ??= nowMs;
  }
}

/** A side has ended the connection with its word for it, or by a reset. */
function watchEnds(pair: Pair): void {
  for (const event of ['end', 'close']) {
    pair.near.once(event, () => {
      if (pair.silence !== undefined) {
        pair.silence.diallerEndedMs ??= performance.now();
      }
    });
    pair.far.once(event, () => {
      if (pair.silence !== undefined) {
        pair.silence.dialledEndedMs ??= performance.now();
      }
    });
  }
}

function reset({ near, far }: Pair): void {
  near.resetAndDestroy();
  far.resetAndDestroy();
}
