/** One direction of a connection through a link: bytes leave it late, or not at all, but in order. */
import type { Socket } from 'node:net';

const MS_PER_SECOND = 1_000;

/** What all connections of a link share in one direction: one piece is on it at a time. */
export class LinkLane {
  /** Infinity where the link does not bound what it carries. */
  bytesPerS = Infinity;
  private freeAtMs = 0;

  /** Puts a piece behind all that is on the link; the moment at which it has passed. */
  passedAtMs(sizeBytes: number, nowMs: number): number {
    const takesMs = (sizeBytes * MS_PER_SECOND) / this.bytesPerS;
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + takesMs;
    return this.freeAtMs;
  }
}

/** A piece under way, or the end of the connection where there are no bytes. */
interface Piece {
  readonly bytes: Buffer | undefined;
  readonly dueAtMs: number;
}

/** Carries the bytes of `from` to `to`. */
export class LinkDirection {
  /** Added to the time of each piece that is read from now on, in milliseconds. */
  delayMs = 0;
  private readonly pieces: Piece[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isHeld = false;
  private isLost = false;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly lane: LinkLane,
    private readonly onBytes: (nowMs: number) => void = () => undefined,
  ) {
    from.on('data', (bytes: Buffer) => this.take(bytes));
    from.on('end', () => this.take(undefined));
    to.once('close', () => clearTimeout(this.timer));
  }

  /** Takes all from now on, and passes nothing: neither bytes nor the end. */
  lose(): void {
    this.isLost = true;
    this.pieces.length = 0;
    this.pump();
  }

  /** Holds back all that has not passed yet, or lets it pass. */
  hold(isHeld: boolean): void {
    this.isHeld = isHeld;
    this.pump();
  }

  private take(bytes: Buffer | undefined): void {
    const nowMs = performance.now();
    if (bytes !== undefined) {
      this.onBytes(nowMs);
    }
    if (this.isLost) {
      return;
    }
    const passedAtMs = this.lane.passedAtMs(bytes?.length ?? 0, nowMs);
    const lastDueAtMs = this.pieces.at(-1)?.dueAtMs ?? 0;
    this.pieces.push({ bytes, dueAtMs: Math.max(lastDueAtMs, passedAtMs + this.delayMs) });
    this.pump();
  }

  private pump(): void {
    clearTimeout(this.timer);
    const nowMs = performance.now();
    let [first] = this.pieces;
    while (!this.isHeld && first !== undefined && first.dueAtMs <= nowMs) {
      this.pieces.shift();
      this.pass(first);
      [first] = this.pieces;
    }
    if (!this.isHeld && first !== undefined) {
      this.timer = setTimeout(() => this.pump(), Math.ceil(first.dueAtMs - nowMs));
    }
    this.readOrRest();
  }

  private pass({ bytes }: Piece): void {
    if (bytes === undefined) {
      this.to.end();
    } else if (this.to.writable) {
      this.to.write(bytes);
    }
  }

  /** A connection has one piece on a bounded link at a time, so that its sender feels the bound. */
  private readOrRest(): void {
    const isFull = this.lane.bytesPerS !== Infinity && this.pieces.length > 0;
    if (!this.isLost && (this.isHeld || isFull)) {
      this.from.pause();
    } else {
      this.from.resume();
    }
  }
}
