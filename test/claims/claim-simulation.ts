/** Simulation of claims: machines join and leave, messages are late or lost, machine lists lag. */
import { ClaimComponent } from '../../src/claims/claim-component.js';
import { CLAIM_RETENTION_MS, MAX_CLAIMED_REQUEST_MS } from '../../src/claims/claim-terms.js';
import type { ControlEffect, ControlEvent } from '../../src/control/control-event.js';
import { MAX_OLDEST_MACHINES } from '../../src/control/control-ports.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { Machine } from '../../src/model/machine.js';
import { seededRandom } from '../source/reader-process.js';

/** Thrown when two attempts with the same key ran. */
export class DoubleRunError extends Error {
  override readonly name = 'DoubleRunError';
}

export type AttemptState = 'open' | 'won' | 'taken' | 'unavailable' | 'finished' | 'released';

interface Attempt {
  readonly name: string;
  readonly claim: string;
  readonly process: ClaimProcess;
  state: AttemptState;
  wonAtMs: number;
}

/** One process on one machine. */
class ClaimProcess {
  isAlive = true;
  isPaused = false;
  clockOffsetMs = 0;
  machineListIndex = 0;
  backlog: ControlEvent[] = [];
  wakeAtMs = Infinity;
  readonly component: ClaimComponent;
  readonly identity: PeerIdentity;

  constructor(
    readonly machine: Machine,
    readonly incarnation: number,
    private readonly simulation: ClaimSimulation,
  ) {
    const { id, address, controlPort, relayPort, zone, region } = machine;
    this.identity = { id, incarnation, address, controlPort, relayPort, zone, region };
    this.component = new ClaimComponent({
      fleet: {
        identity: this.identity,
        oldestMachines: () => simulation.oldestAt(this.machineListIndex),
      },
      counters: { add: () => undefined },
      opensWhenAllAreNew: simulation.opensWhenAllAreNew,
      steadyNow: () => simulation.nowMs,
    });
  }

  localMs(): number {
    return this.simulation.nowMs + this.clockOffsetMs;
  }
}

interface Scheduled {
  readonly atMs: number;
  readonly run: () => void;
}

/**
 * Simulated fleet. Throws {@link DoubleRunError} if a key runs twice while its claim is retained.
 */
export class ClaimSimulation {
  nowMs = 0;
  latencyMs = 10;
  readonly processes: ClaimProcess[] = [];
  readonly attempts: Attempt[] = [];
  private readonly random: () => number;
  private readonly cuts = new Set<string>();
  private readonly lists: Machine[][] = [[]];
  private oldest: Machine[][] = [[]];
  private queue: Scheduled[] = [];
  private incarnations = 0;

  constructor(
    seed: number,
    machines: number,
    readonly opensWhenAllAreNew: boolean,
  ) {
    this.random = seededRandom(seed);
    const list = Array.from({ length: machines }, (_, index) => newMachine(index));
    this.addList(list);
    list.forEach((machine) => this.processes.push(this.startProcess(machine)));
  }

  oldestAt(list: number): readonly Machine[] {
    return this.oldest[list] ?? [];
  }

  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (let next = this.queue[0]; next !== undefined && next.atMs <= endMs; next = this.queue[0]) {
      this.queue.shift();
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = endMs;
  }

  /** Opens a claim at a node, as for a request with a key. */
  openClaim(index: number, claim: string): Attempt | undefined {
    const process = this.processes[index];
    if (process === undefined) {
      return undefined;
    }
    const name = `${process.machine.id}-${process.incarnation}-${this.attempts.length}`;
    const attempt: Attempt = { name, claim, process, state: 'open', wonAtMs: Infinity };
    this.attempts.push(attempt);
    const onOutcome = ({ outcome }: { outcome: 'won' | 'taken' | 'unavailable' }): void => {
      attempt.state = outcome;
      attempt.wonAtMs = outcome === 'won' ? this.nowMs : Infinity;
      this.checkRuns(claim);
    };
    const command = { kind: 'open', claim, attempt: name, onOutcome } as const;
    this.handle(process, { type: 'claim', command });
    return attempt;
  }

  /** Ends a forwarded request, which ran or provably did not run. */
  end(attempt: Attempt | undefined, ran: boolean): void {
    const { process } = attempt ?? {};
    if (attempt?.state !== 'won' || process?.isAlive !== true || process.isPaused) {
      return;
    }
    attempt.state = ran ? 'finished' : 'released';
    const kind = ran ? 'finish' : 'release';
    this.handle(process, {
      type: 'claim',
      command: { kind, claim: attempt.claim, attempt: attempt.name },
    });
  }

  kill(index: number): void {
    const process = this.processes[index];
    if (process?.isAlive === true) {
      process.isAlive = false;
      this.others(process).forEach((other) =>
        this.post(other, { type: 'peer-down', peer: process.identity }),
      );
    }
  }

  restart(index: number): void {
    const process = this.processes[index];
    if (process !== undefined && this.newestList().includes(process.machine)) {
      this.kill(index);
      const next = this.startProcess(process.machine);
      this.processes[index] = next;
      this.connect(next);
    }
  }

  pause(index: number): void {
    const process = this.processes[index];
    if (process !== undefined) {
      process.isPaused = true;
    }
  }

  resume(index: number): void {
    const process = this.processes[index];
    if (process?.isPaused === true) {
      process.isPaused = false;
      const wake: ControlEvent = { type: 'wake' };
      const events = this.random() < 0.5 ? [wake, ...process.backlog] : [...process.backlog, wake];
      process.backlog = [];
      events.forEach((event) => this.handle(process, event));
    }
  }

  cut(from: number, to: number): void {
    this.cuts.add(`${this.processes[from]?.machine.id}>${this.processes[to]?.machine.id}`);
  }

  setClocksForward(byMs: number): void {
    this.processes.forEach((process, index) => {
      process.clockOffsetMs += index % 2 === 0 ? byMs : 0;
    });
  }

  /** Publishes a list without dead machines and with new ones, at least five in total. */
  publishList(withNewMachine: boolean): void {
    const isDead = (machine: Machine): boolean =>
      this.processes.some((process) => process.machine.id === machine.id && !process.isAlive);
    const list = this.newestList().filter((machine) => !isDead(machine));
    const least = Math.max(MAX_OLDEST_MACHINES, list.length + (withNewMachine ? 1 : 0));
    while (list.length < least) {
      const machine = newMachine(this.processes.length);
      list.push(machine);
      const process = this.startProcess(machine);
      this.processes.push(process);
      this.connect(process);
    }
    this.addList(list);
  }

  learnList(index: number): void {
    const process = this.processes[index];
    if (process?.isAlive === true && !process.isPaused) {
      process.machineListIndex = this.lists.length - 1;
      this.handle(process, { type: 'wake' });
    }
  }

  heal(): void {
    this.cuts.clear();
    this.latencyMs = 10;
    this.processes.forEach((process, index) => {
      this.resume(index);
      if (!process.isAlive) {
        this.restart(index);
      }
      this.learnList(index);
    });
  }

  newestList(): Machine[] {
    return this.lists.at(-1) ?? [];
  }

  private addList(list: Machine[]): void {
    this.lists.push(list);
    this.oldest.push(list.slice(0, MAX_OLDEST_MACHINES));
  }

  private startProcess(machine: Machine): ClaimProcess {
    this.incarnations += 1;
    const process = new ClaimProcess(machine, this.incarnations, this);
    process.machineListIndex = Math.max(1, this.lists.length - 1);
    this.schedule(0, () => this.handle(process, { type: 'start' }));
    this.schedule(0, () => this.connect(process));
    return process;
  }

  private connect(process: ClaimProcess): void {
    for (const other of this.others(process)) {
      this.post(process, { type: 'peer-up', peer: other.identity });
      this.post(other, { type: 'peer-up', peer: process.identity });
    }
  }

  private others(process: ClaimProcess): ClaimProcess[] {
    return this.processes.filter((other) => other.isAlive && other.machine !== process.machine);
  }

  private schedule(delayMs: number, run: () => void): void {
    const entry = { atMs: this.nowMs + Math.max(0, delayMs), run };
    const position = this.queue.findLastIndex((scheduled) => scheduled.atMs <= entry.atMs) + 1;
    this.queue.splice(position, 0, entry);
  }

  private post(process: ClaimProcess, event: ControlEvent): void {
    this.schedule(0.5 + this.random() * this.latencyMs, () => this.handle(process, event));
  }

  private handle(process: ClaimProcess, event: ControlEvent): void {
    if (!process.isAlive) {
      return;
    }
    if (process.isPaused) {
      process.backlog.push(event);
      return;
    }
    for (const effect of process.component.handle(event, process.localMs())) {
      this.execute(process, effect);
    }
    const wakeAtMs = process.component.nextWakeAt() - process.clockOffsetMs;
    if (wakeAtMs !== process.wakeAtMs && wakeAtMs !== Infinity) {
      process.wakeAtMs = wakeAtMs;
      this.schedule(wakeAtMs - this.nowMs + 0.01, () => {
        process.wakeAtMs = process.wakeAtMs === wakeAtMs ? Infinity : process.wakeAtMs;
        this.handle(process, { type: 'wake' });
      });
    }
  }

  private execute(process: ClaimProcess, effect: ControlEffect): void {
    if (effect.type === 'dial') {
      this.post(process, { type: 'dial-failed', target: effect.target });
    } else if (effect.type === 'send') {
      const target = this.processes.find((candidate) => candidate.machine.id === effect.to);
      const isCut = this.cuts.has(`${process.machine.id}>${effect.to}`);
      if (target?.isAlive === true && !isCut) {
        this.post(target, { type: 'message', from: process.identity, message: effect.message });
      }
    }
  }

  private checkRuns(claim: string): void {
    const kept = CLAIM_RETENTION_MS - MAX_CLAIMED_REQUEST_MS;
    const runs = this.attempts.filter(
      (attempt) =>
        attempt.claim === claim &&
        (attempt.state === 'won' || attempt.state === 'finished') &&
        this.nowMs - attempt.wonAtMs < kept,
    );
    if (runs.length > 1) {
      const names = runs.map((run) => `${run.name} at ${run.wonAtMs}`).join(', ');
      throw new DoubleRunError(`${claim} ran twice: ${names}`);
    }
  }
}

function newMachine(index: number): Machine {
  return {
    id: `m${index}`,
    address: `10.0.0.${index + 1}`,
    controlPort: 7_000,
    relayPort: 7_001,
    zone: `zone-${index % 3}`,
    region: 'r',
    seniority: index,
    state: 'live',
  };
}
