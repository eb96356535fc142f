/**
 * The control plane's world under a virtual clock: machines, processes, network and platform. Drives
 * any {@link EmulatedComponent} through the contract of `src/control/control-event.ts`.
 */
import type { ControlEffect, ControlEvent, RandomSource } from '../../src/control/control-event.js';
import type { PeerAddress } from '../../src/membership/peer-identity.js';
import { EmulatedNetwork, DEFAULT_NETWORK, type DialTarget } from './emulated-network.js';
import type { NetworkOptions } from './emulated-network.js';
import { EmulatedPlatform, READ_REQUEST_BYTES } from './emulated-platform.js';
import type { PlatformOptions } from './emulated-platform.js';
import { EmulatedProcess, type ComponentFactory } from './emulated-process.js';
import { CounterTotals } from './counter-totals.js';
import { MachineRegistry, type EmulatedMachine } from './machine-registry.js';
import { seededRandom } from './seeded-random.js';
import { Topology, DEFAULT_LATENCY, type LatencyOptions, type Site } from './topology.js';
import { TrafficMeter, type MessageSizer } from './traffic-meter.js';
import { VirtualScheduler } from './virtual-scheduler.js';

/** Smallest time between two wakes of one process: timers have a resolution of one millisecond. */
const MIN_WAKE_SPACING_MS = 1;
/** Real time at the start of the run, from which incarnations are counted. */
const EPOCH_MS = 1_800_000_000_000;
/** Streams of random numbers below this one belong to the world; processes have the rest. */
const FIRST_PROCESS_STREAM = 16;

/** How clocks of processes differ. */
export interface ClockSpread {
  /** Largest offset of a monotonic clock's start, in milliseconds. */
  readonly maxStartMs: number;
  /** Largest drift either way; 0.0001 is 100 parts in a million. */
  readonly maxDrift: number;
}

/** What a world is built from. */
export interface EmulatorOptions {
  readonly seed: number;
  readonly sites: readonly Site[];
  readonly factory: ComponentFactory;
  readonly sizer: MessageSizer;
  readonly platform: PlatformOptions;
  readonly latency?: LatencyOptions;
  readonly network?: NetworkOptions;
  readonly clocks?: ClockSpread;
}

/** Sees every event after the component handled it and before its effects are executed. */
export type HandleObserver = (
  process: EmulatedProcess,
  event: ControlEvent,
  effects: readonly ControlEffect[],
) => void;

const DEFAULT_CLOCKS: ClockSpread = { maxStartMs: 100_000, maxDrift: 0.000_1 };

/** One emulated fleet with its platform. */
export class Emulator {
  readonly scheduler = new VirtualScheduler();
  readonly topology: Topology;
  readonly platform: EmulatedPlatform;
  readonly network: EmulatedNetwork;
  readonly meter: TrafficMeter;
  readonly machines: MachineRegistry;
  readonly counters = new CounterTotals();
  onHandled: HandleObserver = () => undefined;
  private readonly random: RandomSource;
  private readonly clocks: ClockSpread;
  private processesStarted = 0;

  constructor(private readonly options: EmulatorOptions) {
    const { seed } = options;
    this.random = seededRandom(seed, 0);
    this.clocks = options.clocks ?? DEFAULT_CLOCKS;
    this.meter = new TrafficMeter(options.sizer);
    this.topology = new Topology(options.latency ?? DEFAULT_LATENCY, seededRandom(seed, 1));
    this.platform = new EmulatedPlatform(options.platform);
    this.machines = new MachineRegistry(options.sites, this.platform, this.scheduler);
    this.network = new EmulatedNetwork(
      this.scheduler,
      this.topology,
      this.meter,
      {
        lookUp: (target) => this.lookUp(target),
        deliver: (process, event) => this.deliver(process, event),
      },
      seededRandom(seed, 2),
      options.network ?? DEFAULT_NETWORK,
    );
  }

  get nowMs(): number {
    return this.scheduler.nowMs;
  }

  /** Lets virtual time pass. */
  advance(byMs: number): void {
    this.scheduler.runUntil(this.nowMs + byMs);
  }

  /** Processes that are alive, frozen ones included. */
  liveProcesses(): EmulatedProcess[] {
    return this.machines.all
      .map((machine) => machine.process)
      .filter((process) => process !== undefined);
  }

  /** Starts a process that holds nothing on the machine, unless one runs there. */
  start(machine: EmulatedMachine): void {
    if (machine.process !== undefined) {
      return;
    }
    this.machines.markUp(machine);
    const process = this.buildProcess(machine);
    machine.process = process;
    this.handle(process, { type: 'start' });
  }

  /** Kills the process; with `machineGone` nothing answers at its address any more. */
  kill(machine: EmulatedMachine, machineGone: boolean): void {
    const { process } = machine;
    if (process !== undefined) {
      machine.process = undefined;
      process.alive = false;
      this.platform.close(process);
      this.network.processGone(process, machineGone);
    }
    if (machineGone) {
      this.machines.markDown(machine);
    }
  }

  /** A planned stop: the process is told, and ends after `graceMs`. */
  leave(machine: EmulatedMachine, graceMs: number): void {
    const { process } = machine;
    if (process === undefined) {
      return;
    }
    this.machines.markLeaving(machine);
    this.deliver(process, { type: 'stop' });
    this.scheduler.schedule(this.nowMs + graceMs, {
      run: () => {
        if (machine.process === process) {
          this.kill(machine, true);
        }
      },
    });
  }

  /** Pauses the process; its events wait. */
  freeze(machine: EmulatedMachine): void {
    if (machine.process !== undefined) {
      machine.process.frozen = true;
    }
  }

  /** Wakes a paused process: it gets what waited, with the time of now; timers may run first. */
  thaw(machine: EmulatedMachine): void {
    const { process } = machine;
    if (process === undefined || !process.frozen) {
      return;
    }
    process.frozen = false;
    const timerIsDue = process.wakeAtMs <= this.nowMs;
    const waiting = process.inbox.splice(0);
    if (timerIsDue) {
      process.wakeAtMs = Infinity;
      const position = this.random() < 0.5 ? 0 : waiting.length;
      waiting.splice(position, 0, { type: 'wake' });
    }
    for (const event of waiting) {
      this.deliver(process, event);
    }
    this.scheduleWake(process);
    this.platform.countReaders();
  }

  /** Ends every cut; what stalled on links that still stand travels on. */
  heal(): void {
    this.topology.healAll();
    this.network.resumeStalled();
  }

  /** Hands an event to a process, or queues it while the process is frozen. */
  deliver(process: EmulatedProcess, event: ControlEvent): void {
    if (!process.alive) {
      return;
    }
    if (process.frozen) {
      process.inbox.push(event);
      return;
    }
    this.handle(process, event);
  }

  private buildProcess(machine: EmulatedMachine): EmulatedProcess {
    const stream = FIRST_PROCESS_STREAM + this.processesStarted;
    this.processesStarted += 1;
    const incarnation = Math.max(machine.lastIncarnation + 1, EPOCH_MS + Math.floor(this.nowMs));
    machine.lastIncarnation = incarnation;
    const identity = { ...machine.identity, incarnation };
    const component = this.options.factory({
      identity,
      site: machine.site,
      random: seededRandom(this.options.seed, stream),
      counters: this.counters,
    });
    const clock = {
      startMs: Math.floor(this.random() * this.clocks.maxStartMs),
      drift: (2 * this.random() - 1) * this.clocks.maxDrift,
    };
    return new EmulatedProcess(machine.site, identity, component, clock, this.nowMs);
  }

  private handle(process: EmulatedProcess, event: ControlEvent): void {
    const effects = process.component.handle(event, process.localTime(this.nowMs));
    this.onHandled(process, event, effects);
    for (const effect of effects) {
      this.execute(process, effect);
    }
    this.scheduleWake(process);
  }

  private execute(process: EmulatedProcess, effect: ControlEffect): void {
    switch (effect.type) {
      case 'dial':
        this.network.dial(process, effect.target);
        return;
      case 'hang-up':
        this.network.hangUp(process, effect.peerId);
        return;
      case 'send':
        this.network.send(process, effect.to, effect.message);
        return;
      case 'read-platform':
        this.readPlatform(process, effect);
        return;
      case 'close-platform':
        this.platform.close(process);
        return;
      case 'snapshot-changed':
      case 'state-change':
        return;
    }
  }

  private readPlatform(
    process: EmulatedProcess,
    read: Extract<ControlEffect, { type: 'read-platform' }>,
  ): void {
    const { document, readId } = read;
    this.meter.sentBytes(process.site.index, READ_REQUEST_BYTES);
    const reachable = !this.topology.isCutFromPlatform(process.site);
    const admitted = reachable && this.platform.admit(process);
    const answered = admitted
      ? this.platform.answer(document, read.knownNumber, process.site)
      : undefined;
    const roundTripMs = 2 * this.topology.platformTravelMs();
    const silent = !reachable || (admitted && answered === undefined);
    const delayMs = silent ? read.abortAfterMs : roundTripMs;
    this.scheduler.schedule(this.nowMs + delayMs, {
      run: () => {
        const answer = answered?.answer ?? { outcome: 'unavailable' as const };
        this.meter.receivedBytes(process.site.index, answered?.bytes ?? 0);
        this.deliver(process, { type: 'platform-answer', document, readId, answer });
      },
    });
  }

  private scheduleWake(process: EmulatedProcess): void {
    const nextLocalMs = process.component.nextWakeAt();
    if (nextLocalMs === Infinity || !process.alive) {
      return;
    }
    const earliestMs = this.nowMs + MIN_WAKE_SPACING_MS;
    const atMs = Math.max(earliestMs, process.virtualTime(nextLocalMs) + MIN_WAKE_SPACING_MS);
    if (atMs < process.wakeAtMs) {
      process.wakeAtMs = atMs;
      this.scheduler.schedule(atMs, { run: () => this.wake(process, atMs) });
    }
  }

  private wake(process: EmulatedProcess, scheduledMs: number): void {
    if (!process.alive || process.frozen || process.wakeAtMs !== scheduledMs) {
      return;
    }
    process.wakeAtMs = Infinity;
    if (process.component.nextWakeAt() <= process.localTime(this.nowMs)) {
      this.handle(process, { type: 'wake' });
    } else {
      this.scheduleWake(process);
    }
  }

  private lookUp(target: PeerAddress): DialTarget {
    const machine = this.machines.at(target);
    if (machine === undefined || !machine.up) {
      return 'absent';
    }
    return machine.process ?? 'refusing';
  }
}
