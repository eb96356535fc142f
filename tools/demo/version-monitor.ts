/**
 * Asks every running node again and again which version it holds. One that does not answer delays
 * nobody else's turn.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Fleet, NodeProcess } from './fleet.js';
import { VersionLog } from './version-log.js';

/** Time between two rounds, in milliseconds: the resolution of convergence times. */
export const MONITOR_INTERVAL_MS = 50;

/** Polls until it is stopped. */
export class VersionMonitor {
  readonly log = new VersionLog();
  private readonly asked = new Map<string, Promise<void>>();
  private isStopped = false;
  private readonly rounds: Promise<void>;

  constructor(private readonly fleet: Fleet) {
    this.rounds = this.run();
  }

  /**
   * Waits until every running node has reached `version`; the result is the time since `sinceMs`,
   * or undefined when `timeoutMs` passes first.
   */
  async converged(
    version: number,
    sinceMs: number,
    timeoutMs: number,
  ): Promise<number | undefined> {
    while (performance.now() - sinceMs < timeoutMs) {
      const nodes = this.fleet.runningNodes().map((node) => node.id);
      const reachedAtMs = this.log.allReachedAtMs(nodes, version);
      if (reachedAtMs !== undefined) {
        return Math.max(0, reachedAtMs - sinceMs);
      }
      await delay(MONITOR_INTERVAL_MS);
    }
    return undefined;
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.rounds;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      for (const node of this.fleet.runningNodes()) {
        if (!this.asked.has(node.id)) {
          this.asked.set(node.id, this.ask(node));
        }
      }
      await delay(MONITOR_INTERVAL_MS);
    }
    await Promise.all(this.asked.values());
  }

  private async ask(node: NodeProcess): Promise<void> {
    const status = await this.fleet.status(node);
    if (status !== undefined) {
      const { number } = status.held.source;
      this.log.observe(node.id, number, performance.now(), status.node.incarnation);
    }
    this.asked.delete(node.id);
  }
}
