/**
 * What an emulated node knows of its peers, in place of the product's pings: one that owes an answer, and
 * does not answer a ping, is silent after a while, and gets no new work until it answers again.
 */
import type { AwaitedAttempts } from '../../src/proxy/awaited-attempts.js';

/** Time without a word after which a peer that owes an answer is silent, in milliseconds. */
const SILENCE_MS = 400;

/** The watch of one node. */
export class PeerWatch {
  private readonly heardAtMs = new Map<string, number>();
  private readonly silent = new Set<string>();

  constructor(private readonly answersPing: (machine: string) => boolean) {}

  isSilent(machine: string): boolean {
    return this.silent.has(machine);
  }

  heard(machine: string, nowMs: number): void {
    this.heardAtMs.set(machine, nowMs);
    this.silent.delete(machine);
  }

  /** To be called now and then. */
  look(awaited: AwaitedAttempts, nowMs: number): void {
    for (const machine of [...this.silent].filter(this.answersPing)) {
      this.heard(machine, nowMs);
    }
    for (const { machineId, sinceMs } of [...awaited.machines()]) {
      const quietSinceMs = Math.max(sinceMs, this.heardAtMs.get(machineId) ?? -Infinity);
      if (nowMs - quietSinceMs >= SILENCE_MS && !this.answersPing(machineId)) {
        this.silent.add(machineId);
        awaited.machineUnresponsive(machineId);
      }
    }
  }
}
