/**
 * Machines with replicas on an emulated network with virtual time. Messages are delayed, lost,
 * duplicated and reordered; links open and close; processes are killed, restarted and paused. The
 * operators' document is gossiped among linked nodes in place of the real dissemination.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ControlEffect, ControlEvent } from '../../src/control/control-event.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { VersionedDocument } from '../../src/model/document.js';
import type { OperatorWrite, WriteOutcome } from '../../src/replication/operator-write.js';
import type { ReplicationMessage } from '../../src/replication/replication-message.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { NO_FAULTS, type NetworkFaults } from './network-faults.js';
import { EmulatedLinks, type IsCut } from './emulated-links.js';
import {
  adoptDocument,
  createProcess,
  type OnCommitted,
  type Process,
} from './replication-process.js';
import type { FaultInjection } from './fault-injection.js';

const GOSSIP_INTERVAL_MS = 400;
const LINK_INTERVAL_MS = 700;

interface Machine {
  readonly id: string;
  readonly zone: string;
  process: Process | undefined;
  isGone: boolean;
  isLeaving: boolean;
}

/** Machines, voters and faults of a network. */
export interface NetworkOptions {
  readonly machineIds: readonly string[];
  readonly initialVoterIds: readonly string[];
  readonly targetVoterCount: number;
  readonly seed: number;
  readonly onCommitted: OnCommitted;
  readonly injection?: FaultInjection;
}

/** Emulated network of machines with replicas. */
export class ReplicationNetwork {
  faults: NetworkFaults = NO_FAULTS;
  readonly machines = new Map<string, Machine>();
  readonly source = VersionedDocument.empty();
  private readonly random: ReturnType<typeof xoroshiro128plus>;
  private readonly scheduler = new VirtualScheduler();
  private incarnations = 0;
  private readonly links = new EmulatedLinks(this, this.scheduler, (process, event) => {
    this.deliverEvent(process, event);
  });

  constructor(readonly options: NetworkOptions) {
    this.random = xoroshiro128plus(options.seed);
    for (const id of options.machineIds) {
      this.addMachine(id);
    }
    this.scheduleEvery(GOSSIP_INTERVAL_MS, () => {
      this.gossip();
    });
    this.scheduleEvery(LINK_INTERVAL_MS, () => {
      this.links.openAll();
    });
  }

  get nowMs(): number {
    return this.scheduler.nowMs;
  }

  /** Adds a machine and starts its process. */
  addMachine(id: string): void {
    const zone = `zone-${this.machines.size % 3}`;
    this.machines.set(id, { id, zone, process: undefined, isGone: false, isLeaving: false });
    this.start(id);
  }

  start(id: string): void {
    const machine = this.machine(id);
    if (machine.process !== undefined || machine.isGone) {
      return;
    }
    this.incarnations += 1;
    const identity: PeerIdentity = {
      id,
      incarnation: this.options.injection?.keepsIncarnation === true ? 1 : this.incarnations,
      address: '127.0.0.1',
      controlPort: 1 + [...this.machines.keys()].indexOf(id),
      relayPort: 1,
      zone: machine.zone,
      region: 'region',
    };
    const process = createProcess(identity, {
      initialVoterIds: this.options.initialVoterIds,
      targetVoterCount: this.options.targetVoterCount,
      source: this.source,
      liveMembers: () => this.liveMembers(),
      addressOf: (other) => this.machines.get(other)?.process?.identity,
      isGone: (other) => this.isGoneFor(process, other),
      isLeaving: (other) => this.machines.get(other)?.isLeaving === true,
      onCommitted: this.options.onCommitted,
    });
    machine.process = process;
    this.deliverEvent(process, { type: 'start' });
  }

  /** Ends a process and discards its state. */
  kill(id: string): void {
    const { process } = this.machine(id);
    if (process === undefined) {
      return;
    }
    process.isAlive = false;
    this.machine(id).process = undefined;
    for (const other of process.links) {
      this.links.close(process, other);
    }
  }

  /** Removes a machine from the platform's list permanently. */
  remove(id: string): void {
    this.kill(id);
    this.machine(id).isGone = true;
  }

  pause(id: string, durationMs: number): void {
    const { process } = this.machine(id);
    if (process !== undefined) {
      process.pausedUntilMs = Math.max(process.pausedUntilMs, this.nowMs + durationMs);
    }
  }

  /** Cuts the links for which `isCut` is true in either direction. */
  cut(isCut: IsCut): void {
    this.links.cut(isCut);
  }

  write(id: string, write: OperatorWrite, onOutcome: (outcome: WriteOutcome) => void): void {
    const { process } = this.machine(id);
    if (process === undefined || process.pausedUntilMs > this.nowMs) {
      onOutcome({ outcome: 'not-accepted', reason: 'no-voters' });
      return;
    }
    const alterOutcome =
      this.options.injection?.alterOutcome ?? ((outcome: WriteOutcome) => outcome);
    const listener = (outcome: WriteOutcome): void => {
      onOutcome(alterOutcome(outcome));
    };
    this.deliverEvent(process, { type: 'operator-write', write, onOutcome: listener });
  }

  /** Advances the virtual time. */
  advance(durationMs: number): void {
    this.scheduler.runUntil(this.nowMs + durationMs);
  }

  processes(): Process[] {
    return [...this.machines.values()].flatMap(({ process }) => process ?? []);
  }

  processOf(id: string): Process | undefined {
    return this.machines.get(id)?.process;
  }

  /** Uniform integer in 0..below-1. */
  randomBelow(below: number): number {
    return (this.random.next() >>> 0) % below;
  }

  private machine(id: string): Machine {
    const machine = this.machines.get(id);
    if (machine === undefined) {
      throw new RangeError(`no machine ${id}`);
    }
    return machine;
  }

  private liveMembers(): PeerIdentity[] {
    return [...this.machines.values()]
      .filter((machine) => !machine.isGone && !machine.isLeaving)
      .flatMap(({ process }) => process?.identity ?? []);
  }

  private isGoneFor(process: Process, id: string): boolean {
    if (this.options.injection?.treatsUnlinkedAsGone === true) {
      return id !== process.identity.id && !process.links.has(id);
    }
    return this.machines.get(id)?.isGone === true;
  }

  private deliverEvent(process: Process, event: ControlEvent): void {
    if (!process.isAlive) {
      return;
    }
    process.backlog.push(event);
    this.drain(process);
  }

  /** Handles queued events in order, unless the process is paused. */
  private drain(process: Process): void {
    if (process.pausedUntilMs > this.nowMs) {
      this.at(process.pausedUntilMs, () => {
        this.drain(process);
      });
      return;
    }
    for (let event = process.backlog.shift(); event; event = process.backlog.shift()) {
      this.execute(process, process.replica.handle(event, this.nowMs));
    }
  }

  private execute(process: Process, effects: readonly ControlEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send' && effect.message.type === 'replication') {
        this.transmit(process, effect.to, effect.message.body);
      } else if (effect.type === 'dial') {
        this.dial(process, effect.target.controlPort);
      }
    }
    this.scheduleWake(process);
  }

  private scheduleWake(process: Process): void {
    const atMs = process.replica.nextWakeAt();
    if (atMs === process.wakeAtMs || atMs === Infinity) {
      return;
    }
    process.wakeAtMs = atMs;
    this.at(Math.max(atMs, this.nowMs), () => {
      if (process.wakeAtMs === atMs) {
        process.wakeAtMs = Infinity;
        this.deliverEvent(process, { type: 'wake' });
      }
    });
  }

  private transmit(process: Process, to: string, message: ReplicationMessage): void {
    const receiver = this.processOf(to);
    if (receiver === undefined || !process.links.has(to)) {
      return;
    }
    const copies = this.randomBelow(100) < this.faults.duplicatePercent ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.randomBelow(100) >= this.faults.lossPercent) {
        this.deliver(process.identity, receiver, message);
      }
    }
  }

  /** Delivers a message after a delay, only to the process to which it was sent. */
  private deliver(from: PeerIdentity, receiver: Process, message: ReplicationMessage): void {
    const slow = this.randomBelow(100) < this.faults.slowPercent;
    const delayMs = 1 + this.randomBelow(slow ? this.faults.slowDelayMs : this.faults.maxDelayMs);
    this.at(this.nowMs + delayMs, () => {
      if (!this.links.isCut(from.id, receiver.identity.id)) {
        this.receive(from, receiver, message);
      }
    });
  }

  private receive(from: PeerIdentity, to: Process, message: ReplicationMessage): void {
    const { alter, forge } = this.options.injection ?? {};
    const altered = alter?.(message, to) ?? message;
    const forged = forge?.(message, { from, to, network: this }) ?? [];
    for (const delivery of [...forged, { from, message: altered }]) {
      const envelope = { type: 'replication', body: delivery.message } as const;
      this.deliverEvent(to, { type: 'message', from: delivery.from, message: envelope });
    }
  }

  private dial(process: Process, controlPort: number): void {
    const target = [...this.machines.values()][controlPort - 1];
    if (target !== undefined) {
      this.at(this.nowMs + 2, () => {
        this.links.open(process, target.process);
      });
    }
  }

  private gossip(): void {
    for (const process of this.processes()) {
      for (const id of process.links) {
        const other = this.processOf(id);
        const isPaused = Math.max(process.pausedUntilMs, other?.pausedUntilMs ?? 0) > this.nowMs;
        if (other !== undefined && !isPaused) {
          adoptDocument(other, process.operator);
        }
      }
    }
  }

  private scheduleEvery(intervalMs: number, run: () => void): void {
    const again = (): void => {
      run();
      this.at(this.nowMs + intervalMs, again);
    };
    this.at(this.nowMs + intervalMs, again);
  }

  private at(atMs: number, run: () => void): void {
    this.scheduler.schedule(atMs, { run });
  }
}
