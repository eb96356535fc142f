/** Processes under a virtual clock that can be frozen and killed, and connections between them. */
import type { CancelTimer, Scheduler } from '../../src/proxy/scheduler.js';
import type { VirtualScheduler } from './virtual-scheduler.js';

/** A process: while it is frozen, what happens to it waits; when it is dead, it is lost. */
export class VirtualProcess implements Scheduler {
  isFrozen = false;
  isAlive = true;
  /** Rises with each death. */
  generation = 1;
  thawedAtMs = 0;
  private deferred: (() => void)[] = [];

  constructor(private readonly clock: VirtualScheduler) {}

  now(): number {
    return this.clock.nowMs;
  }

  schedule(delayMs: number, action: () => void): CancelTimer {
    let isCancelled = false;
    const run = this.ofLife(this.generation, () => {
      if (!isCancelled) {
        action();
      }
    });
    this.clock.schedule(this.now() + Math.max(0, delayMs), { run });
    return () => {
      isCancelled = true;
    };
  }

  /** An action that is done only in the life `generation`, and waits while the process is frozen. */
  ofLife(generation: number, action: () => void): () => void {
    const perform = (): void => {
      if (generation !== this.generation || !this.isAlive) {
        return;
      }
      if (this.isFrozen) {
        this.deferred.push(perform);
      } else {
        action();
      }
    };
    return perform;
  }

  freeze(): void {
    this.isFrozen = true;
  }

  thaw(): void {
    this.isFrozen = false;
    this.thawedAtMs = this.now();
    const due = this.deferred;
    this.deferred = [];
    due.forEach((perform) => perform());
  }

  kill(): void {
    this.isAlive = false;
    this.isFrozen = false;
    this.generation += 1;
    this.deferred = [];
  }

  revive(): void {
    this.isAlive = true;
  }
}

/** One connection; messages of one direction arrive in order. */
export class VirtualConnection {
  isOpen = true;
  private lastToServerMs = 0;
  private lastToClientMs = 0;
  private isCutToServer = false;
  private isCutToClient = false;
  private readonly clientLife: number;
  private readonly serverLife: number;

  constructor(
    private readonly clock: VirtualScheduler,
    readonly client: VirtualProcess,
    readonly server: VirtualProcess,
    private readonly delayMs: () => number,
    /** The client learns that the connection died. */
    private readonly onLost: () => void,
    /** The server learns that the client is gone. */
    private readonly onClosed: () => void,
  ) {
    this.clientLife = client.generation;
    this.serverLife = server.generation;
  }

  toServer(action: () => void): void {
    this.lastToServerMs = Math.max(this.lastToServerMs, this.clock.nowMs + this.delayMs());
    const deliver = this.server.ofLife(this.serverLife, action);
    this.clock.schedule(this.lastToServerMs, { run: () => !this.isCutToServer && deliver() });
  }

  toClient(action: () => void): void {
    this.lastToClientMs = Math.max(this.lastToClientMs, this.clock.nowMs + this.delayMs());
    const deliver = this.client.ofLife(this.clientLife, () => this.isOpen && action());
    this.clock.schedule(this.lastToClientMs, { run: () => !this.isCutToClient && deliver() });
  }

  /** The client closes; what it sent before still arrives. */
  close(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.toServer(this.onClosed);
    }
  }

  /**
   * The connection dies; what is under way is lost where `losesToServer` or `losesToClient` says, and
   * in the first case the server never learns that the client is gone.
   */
  cut(losesToServer: boolean, losesToClient: boolean): void {
    if (!this.isOpen) {
      return;
    }
    this.isCutToServer = losesToServer;
    this.isCutToClient = losesToClient;
    const lose = this.client.ofLife(this.clientLife, () => {
      if (this.isOpen) {
        this.isOpen = false;
        this.onLost();
      }
    });
    if (losesToServer) {
      this.clock.schedule(Math.max(this.lastToClientMs, this.clock.nowMs) + 1, { run: lose });
      return;
    }
    const closed = this.server.ofLife(this.serverLife, this.onClosed);
    this.clock.schedule(Math.max(this.lastToClientMs, this.clock.nowMs) + 1, { run: lose });
    this.clock.schedule(Math.max(this.lastToServerMs, this.clock.nowMs) + 1, { run: closed });
  }
}
