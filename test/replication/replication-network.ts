/**
 * Machines with replicas on an emulated network with virtual time: messages are delayed, lost,
 * doubled and reordered; links open and close; processes are killed, restarted and paused. The
 * operators' document spreads among linked nodes as dissemination would spread it.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ControlEffect, ControlEvent } from '../../src/control/control-event.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { VersionedDocument } from '../../src/model/document.js';
import { mergeDocuments } from '../../src/model/merge.js';
import type { Service } from '../../src/model/resource.js';
import { isNewer } from '../../src/model/version.js';
import type { OperatorWrite, WriteOutcome } from '../../src/replication/operator-write.js';
import { Replica } from '../../src/replication/replica.js';
import type { ReplicationMessage } from '../../src/replication/replication-message.js';

const GOSSIP_INTERVAL_MS = 400;
const LINK_INTERVAL_MS = 700;
const LINK_LOSS_NOTICE_MS = 300;

/** How unkind the network is. */
export interface NetworkFaults {
  readonly lossPercent: number;
  readonly duplicatePercent: number;
  readonly slowPercent: number;
  readonly maxDelayMs: number;
  readonly slowDelayMs: number;
}

export const CALM: NetworkFaults = {
  lossPercent: 0,
  duplicatePercent: 0,
  slowPercent: 0,
  maxDelayMs: 5,
  slowDelayMs: 5,
};

/** A message that its named sender did not send. */
export interface Forgery {
  readonly from: PeerIdentity;
  readonly message: ReplicationMessage;
}

/** Where a message came from and to whom, for {@link Sabotage.forge}. */
export interface ForgeContext {
  readonly from: PeerIdentity;
  readonly to: Process;
  readonly network: ReplicationNetwork;
}

/** Deliberate faults, to show that the checks catch what the logic prevents. */
export interface Sabotage {
  /** What the receiver sees instead of a message. */
  readonly alter?: (message: ReplicationMessage, to: Process) => ReplicationMessage;
  /** Messages that a receiver gets in addition, as if another process had sent them. */
  readonly forge?: (message: ReplicationMessage, context: ForgeContext) => readonly Forgery[];
  /** What a writer is told instead. */
  readonly tell?: (outcome: WriteOutcome) => WriteOutcome;
  readonly keepsIncarnation?: boolean;
  readonly treatsUnlinkedAsGone?: boolean;
}

/** One run of a node's process on a machine. */
export interface Process {
  readonly identity: PeerIdentity;
  readonly replica: Replica;
  operator: VersionedDocument;
  isAlive: boolean;
  pausedUntilMs: number;
  wakeAtMs: number;
  readonly links: Set<string>;
  /** Events not handled yet, because the process is paused. */
  readonly backlog: ControlEvent[];
}

interface Machine {
  readonly id: string;
  readonly zone: string;
  process: Process | undefined;
  isGone: boolean;
  isLeaving: boolean;
}

interface Timed {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Called whenever a replica says that a revision is accepted. */
export type OnCommitted = (document: VersionedDocument) => void;

export interface NetworkOptions {
  readonly machineIds: readonly string[];
  readonly initialVoterIds: readonly string[];
  readonly targetVoterCount: number;
  readonly seed: number;
  readonly onCommitted: OnCommitted;
  readonly sabotage?: Sabotage;
}

/** See the module's comment. */
export class ReplicationNetwork {
  nowMs = 0;
  faults: NetworkFaults = CALM;
  readonly machines = new Map<string, Machine>();
  readonly source = VersionedDocument.empty();
  private readonly random: ReturnType<typeof xoroshiro128plus>;
  private queue: Timed[] = [];
  private order = 0;
  private incarnations = 0;
  private isCut: (left: string, right: string) => boolean = () => false;

  constructor(readonly options: NetworkOptions) {
    this.random = xoroshiro128plus(options.seed);
    for (const id of options.machineIds) {
      this.addMachine(id);
    }
    this.every(GOSSIP_INTERVAL_MS, () => {
      this.gossip();
    });
    this.every(LINK_INTERVAL_MS, () => {
      this.openLinks();
    });
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
      incarnation: this.options.sabotage?.keepsIncarnation === true ? 1 : this.incarnations,
      address: '127.0.0.1',
      controlPort: 1 + [...this.machines.keys()].indexOf(id),
      relayPort: 1,
      zone: machine.zone,
      region: 'region',
    };
    const process: Process = {
      identity,
      operator: VersionedDocument.empty(),
      isAlive: true,
      pausedUntilMs: 0,
      wakeAtMs: Infinity,
      links: new Set(),
      backlog: [],
      replica: new Replica({
        self: identity,
        initialVoterIds: this.options.initialVoterIds,
        targetVoterCount: this.options.targetVoterCount,
        writeTimeoutMs: 10_000,
        counters: { add: () => undefined },
        fleet: {
          liveMembers: () => this.liveMembers(),
          addressOf: (other) => this.machines.get(other)?.process?.identity,
          isGone: (other) => this.isGoneFor(process, other),
          isLeaving: (other) => this.machines.get(other)?.isLeaving === true,
        },
        documents: {
          sourceDocument: () => this.source,
          operatorDocument: () => process.operator,
          merge: mergeDocuments,
          versionOf: (resource) => String((resource as Service).spec.requestTimeoutMs),
          offerOperator: (document) => {
            this.options.onCommitted(document);
            this.adopt(process, document);
            return [];
          },
        },
      }),
    };
    machine.process = process;
    this.offer(process, { type: 'start' });
  }

  /** Ends a process; what it held is lost. */
  kill(id: string): void {
    const { process } = this.machine(id);
    if (process === undefined) {
      return;
    }
    process.isAlive = false;
    this.machine(id).process = undefined;
    for (const other of process.links) {
      this.closeLink(process, other);
    }
  }

  /** Takes a machine off the platform's list for good. */
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

  /** Cuts every pair for which `isCut`; true both ways or one way. */
  cut(isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut;
    for (const process of this.processes()) {
      for (const other of process.links) {
        if (isCut(process.identity.id, other) || isCut(other, process.identity.id)) {
          this.closeLink(process, other);
        }
      }
    }
  }

  write(id: string, write: OperatorWrite, onOutcome: (outcome: WriteOutcome) => void): void {
    const { process } = this.machine(id);
    if (process === undefined || process.pausedUntilMs > this.nowMs) {
      onOutcome({ outcome: 'not-accepted', reason: 'no-voters' });
      return;
    }
    const tell = this.options.sabotage?.tell ?? ((same: WriteOutcome) => same);
    const listener = (outcome: WriteOutcome): void => {
      onOutcome(tell(outcome));
    };
    this.offer(process, { type: 'operator-write', write, onOutcome: listener });
  }

  /** Lets virtual time pass. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (let next = this.takeNext(endMs); next !== undefined; next = this.takeNext(endMs)) {
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  processes(): Process[] {
    return [...this.machines.values()].flatMap(({ process }) => process ?? []);
  }

  processOf(id: string): Process | undefined {
    return this.machines.get(id)?.process;
  }

  /** Uniform integer in 0..below-1. */
  pick(below: number): number {
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
    if (this.options.sabotage?.treatsUnlinkedAsGone === true) {
      return id !== process.identity.id && !process.links.has(id);
    }
    return this.machines.get(id)?.isGone === true;
  }

  private offer(process: Process, event: ControlEvent): void {
    if (!process.isAlive) {
      return;
    }
    process.backlog.push(event);
    this.drain(process);
  }

  /** Handles what waits, in order, unless the process is paused. */
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
        this.offer(process, { type: 'wake' });
      }
    });
  }

  private transmit(process: Process, to: string, message: ReplicationMessage): void {
    const receiver = this.processOf(to);
    if (receiver === undefined || !process.links.has(to)) {
      return;
    }
    const copies = this.pick(100) < this.faults.duplicatePercent ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.pick(100) >= this.faults.lossPercent) {
        this.deliver(process.identity, receiver, message);
      }
    }
  }

  /** A message on its way reaches exactly the process that it was sent to, or none. */
  private deliver(from: PeerIdentity, receiver: Process, message: ReplicationMessage): void {
    const slow = this.pick(100) < this.faults.slowPercent;
    const delayMs = 1 + this.pick(slow ? this.faults.slowDelayMs : this.faults.maxDelayMs);
    this.at(this.nowMs + delayMs, () => {
      if (!this.isCut(from.id, receiver.identity.id)) {
        this.receive(from, receiver, message);
      }
    });
  }

  private receive(from: PeerIdentity, to: Process, message: ReplicationMessage): void {
    const { alter, forge } = this.options.sabotage ?? {};
    const altered = alter?.(message, to) ?? message;
    const forged = forge?.(message, { from, to, network: this }) ?? [];
    for (const one of [...forged, { from, message: altered }]) {
      const envelope = { type: 'replication', body: one.message } as const;
      this.offer(to, { type: 'message', from: one.from, message: envelope });
    }
  }

  private dial(process: Process, controlPort: number): void {
    const target = [...this.machines.values()][controlPort - 1];
    if (target !== undefined) {
      this.at(this.nowMs + 2, () => {
        this.openLink(process, target.process);
      });
    }
  }

  private openLinks(): void {
    const processes = this.processes();
    for (const left of processes) {
      for (const right of processes) {
        this.openLink(left, right);
      }
    }
  }

  private openLink(left: Process, right: Process | undefined): void {
    if (right === undefined || left === right || !left.isAlive || !right.isAlive) {
      return;
    }
    const [leftId, rightId] = [left.identity.id, right.identity.id];
    const isCut = this.isCut(leftId, rightId) || this.isCut(rightId, leftId);
    if (isCut || left.links.has(rightId) || right.links.has(leftId)) {
      return;
    }
    left.links.add(rightId);
    right.links.add(leftId);
    this.offer(left, { type: 'peer-up', peer: right.identity });
    this.offer(right, { type: 'peer-up', peer: left.identity });
  }

  private closeLink(process: Process, otherId: string): void {
    const other = this.processOf(otherId);
    process.links.delete(otherId);
    other?.links.delete(process.identity.id);
    this.at(this.nowMs + LINK_LOSS_NOTICE_MS, () => {
      if (other !== undefined && !other.links.has(process.identity.id)) {
        this.offer(other, { type: 'peer-down', peer: process.identity });
      }
      if (other !== undefined && !process.links.has(otherId)) {
        this.offer(process, { type: 'peer-down', peer: other.identity });
      }
    });
  }

  private gossip(): void {
    for (const process of this.processes()) {
      for (const id of process.links) {
        const other = this.processOf(id);
        const isPaused = Math.max(process.pausedUntilMs, other?.pausedUntilMs ?? 0) > this.nowMs;
        if (other !== undefined && !isPaused) {
          this.adopt(other, process.operator);
        }
      }
    }
  }

  private adopt(process: Process, document: VersionedDocument): void {
    if (isNewer(document.version, process.operator.version)) {
      process.operator = document;
    }
  }

  private every(intervalMs: number, run: () => void): void {
    const again = (): void => {
      run();
      this.at(this.nowMs + intervalMs, again);
    };
    this.at(this.nowMs + intervalMs, again);
  }

  private at(atMs: number, run: () => void): void {
    this.order += 1;
    const timed = { atMs, order: this.order, run };
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.queue[middle]?.atMs ?? Infinity) <= atMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.queue.splice(low, 0, timed);
  }

  private takeNext(endMs: number): Timed | undefined {
    return (this.queue[0]?.atMs ?? Infinity) <= endMs ? this.queue.shift() : undefined;
  }
}
