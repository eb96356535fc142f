/** Carries out the faults of a soak on its fleet, and notes when each struck what. */
import { setTimeout as delay } from 'node:timers/promises';
import type { StoreFault } from '../../standins/store-platform/store-stand-in.js';
import {
  describeFault,
  type LinkFaultKind,
  type SoakFault,
  type StoreOutage,
  type StoreRefusal,
} from './fault-plan.js';
import type { LinkProxy, LinkState } from './link-proxy.js';
import type { FaultWindow, SoakLimit, SoakReload, SoakStop } from './soak-record.js';
import { giveTurn } from './processor-turn.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import { SOAK_TERMS } from './soak-terms.js';

/** A stop that takes longer than its grace time is ended by force after this much more. */
const STOP_MARGIN_MS = 1_000;
/** How far behind watches are while the store lags, in milliseconds. */
const STORE_LAG_MS = 1_500;
/** A back end that drains serves for so long after the store knows it, in milliseconds. */
const DRAIN_SERVES_MS = SOAK_TERMS.drainMs + 1_500;
const BUSY_STATUS = 503;
const THROTTLED_STATUS = 429;
const SLOW_STORE_MS = 900;
/** What each refusal is at the store. */
const REFUSALS: Readonly<Record<StoreRefusal, StoreFault>> = {
  throttled: { type: 'status', status: THROTTLED_STATUS },
  busy: { type: 'status', status: BUSY_STATUS },
  reset: { type: 'reset' },
  silent: { type: 'silent' },
  slow: { type: 'slow', delayMs: SLOW_STORE_MS },
};
/** States of a link in which a connection is closed, or loses what is said on it. */
const LOSING_STATES = new Set<LinkState>([
  'refuse',
  'open-silence',
  'open-one-way',
  'open-other-way',
]);

/** Faults of what is behind the nodes. */
type FaultBehindNodes = Extract<
  SoakFault,
  {
    kind:
      | 'store-outage'
      | 'store-refusal'
      | 'store-compact'
      | 'store-restore'
      | 'backend-fault'
      | 'backend-limit'
      | 'backend-leave'
      | 'backend-crash'
      | 'backend-drain'
      | 'configure'
      | 'misconfigure';
  }
>;

/** What the injector reports. */
export interface InjectorParams {
  readonly fleet: SoakFleet;
  readonly nowMs: () => number;
  readonly say: (text: string) => void;
  /** Whether back ends record their rate limits and that they leave, but do not state it; false when absent. */
  readonly hidesStatements?: boolean;
}

/** The injector; faults may overlap, but a machine's process is held by one at a time. */
export class SoakFaultInjector {
  readonly windows: FaultWindow[] = [];
  readonly stops: SoakStop[] = [];
  readonly reloads: SoakReload[] = [];
  readonly limits: SoakLimit[] = [];
  /** Machines whose node or back end a fault holds. */
  private readonly heldNodes = new Set<number>();
  private readonly heldBackends = new Set<number>();
  private readonly heldLinks = new Set<string>();
  private isStoreHeld = false;

  constructor(private readonly params: InjectorParams) {}

  /** Performs a fault to its end: what was harmed is whole again. */
  async perform(fault: SoakFault): Promise<void> {
    this.params.say(describeFault(fault));
    switch (fault.kind) {
      case 'kill':
        return this.endNodes(fault, 'SIGKILL');
      case 'stop':
        return this.endNodes(fault, 'SIGTERM');
      case 'freeze':
        return this.freeze(fault);
      case 'late':
        return this.delayNodes(fault);
      case 'reload':
        this.reload(fault);
        return;
      case 'relay-link':
      case 'store-link':
      case 'backend-link':
      case 'caller-link':
        return this.harmLinks(fault);
      case 'narrow':
        return this.narrowLinks(fault);
      case 'stall':
        return this.stallConnections(fault);
      default:
        return this.performBehindNodes(fault);
    }
  }

  /** What strikes the store, the back ends and the configuration. */
  private async performBehindNodes(fault: FaultBehindNodes): Promise<void> {
    switch (fault.kind) {
      case 'store-outage':
        return this.failStore(fault);
      case 'store-refusal':
        return this.refuseMachines(fault);
      case 'store-compact':
        this.params.fleet.store.compact();
        return;
      case 'store-restore':
        return this.restoreStore(fault);
      case 'backend-fault':
        return this.failBackends(fault);
      case 'backend-limit':
        return this.limitBackends(fault);
      case 'backend-leave':
        return this.leaveBackends(fault);
      case 'backend-crash':
        return this.replaceBackends(fault, false);
      case 'backend-drain':
        return this.replaceBackends(fault, true);
      case 'configure':
        this.params.fleet.configure(fault.fillers);
        return;
      case 'misconfigure':
        this.params.fleet.misconfigure(fault.variant);
    }
  }

  private async endNodes(
    fault: Extract<SoakFault, { kind: 'kill' | 'stop' }>,
    signal: 'SIGKILL' | 'SIGTERM',
  ): Promise<void> {
    const machines = this.hold(this.heldNodes, fault.machines);
    await this.during(fault, machines, async () => {
      await Promise.all([
        delay(fault.forMs),
        ...machines.map((machine) => this.endNode(machine, signal)),
      ]);
      machines.forEach((machine) => this.params.fleet.restartNode(machine));
      if (fault.kind === 'stop' && fault.againAfterMs !== undefined) {
        await delay(fault.againAfterMs);
        await Promise.all(machines.map((machine) => this.endNode(machine, signal)));
        machines.forEach((machine) => this.params.fleet.restartNode(machine));
      }
    });
    release(this.heldNodes, machines);
  }

  private async endNode(machine: SoakMachine, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const { node, idx } = machine;
    const atMs = this.params.nowMs();
    const hadStarted = this.params.fleet.hasStarted(machine);
    node.signal(signal);
    const force = setTimeout(() => node.signal('SIGKILL'), SOAK_TERMS.graceMs + STOP_MARGIN_MS);
    const { code } = await node.exited;
    clearTimeout(force);
    if (signal === 'SIGTERM') {
      this.stops.push({ machine: idx, atMs, tookMs: this.params.nowMs() - atMs, code, hadStarted });
    }
  }

  /** A process that is not up yet would be ended by the signal. */
  private reload({ machines }: Extract<SoakFault, { kind: 'reload' }>): void {
    const { fleet, nowMs } = this.params;
    for (const machine of this.machinesOf(machines).filter((one) => fleet.hasStarted(one))) {
      this.reloads.push({ machine: machine.idx, atMs: nowMs() });
      machine.node.signal('SIGHUP');
    }
  }

  private async delayNodes(fault: Extract<SoakFault, { kind: 'late' }>): Promise<void> {
    const machines = this.hold(this.heldNodes, fault.machines);
    const untilMs = this.params.nowMs() + fault.forMs;
    await this.during(fault, machines, async () => {
      while (this.params.nowMs() < untilMs) {
        machines.forEach(({ node }) => node.signal('SIGSTOP'));
        await delay(fault.restMs);
        await giveTurn(
          machines.map(({ node }) => node),
          fault.runMs,
        );
      }
    });
    release(this.heldNodes, machines);
  }

  private async freeze(fault: Extract<SoakFault, { kind: 'freeze' }>): Promise<void> {
    const machines = this.hold(this.heldNodes, fault.machines);
    await this.during(fault, machines, async () => {
      machines.forEach(({ node }) => node.signal('SIGSTOP'));
      await delay(fault.forMs);
      machines.forEach(({ node }) => node.signal('SIGCONT'));
    });
    release(this.heldNodes, machines);
  }

  private async harmLinks(fault: Extract<SoakFault, { kind: LinkFaultKind }>): Promise<void> {
    const { kind, state, delayMs } = fault;
    const machines = this.holdLinks(kind, fault.machines);
    const links = machines.flatMap((machine) => linkOf(machine, kind) ?? []);
    // A harmed link to one node is met by the callers of every other one.
    const struck = kind === 'relay-link' ? undefined : machines;
    const act = async (): Promise<void> => {
      links.forEach((link) => link.set(state, delayMs));
      await delay(fault.forMs);
      links.forEach((link) => link.set('open'));
    };
    await this.during(fault, struck, act, machines, LOSING_STATES.has(state));
    this.releaseLinks(kind, machines);
  }

  private async narrowLinks(fault: Extract<SoakFault, { kind: 'narrow' }>): Promise<void> {
    const { fleet } = this.params;
    const machines = this.holdLinks('narrow', fault.machines);
    const act = async (): Promise<void> => {
      machines.forEach(({ relayLink }) => relayLink.setBandwidth(fault.bytesPerS));
      await delay(fault.forMs);
      machines.forEach(({ relayLink }) => relayLink.setBandwidth(fleet.linkBytesPerS));
    };
    await this.during(fault, undefined, act, machines);
    this.releaseLinks('narrow', machines);
  }

  /** Connections that are open when it ends get all that was said on them. */
  private async stallConnections(fault: Extract<SoakFault, { kind: 'stall' }>): Promise<void> {
    const { way, rank, delayMs } = fault;
    const machines = this.machinesOf(fault.machines);
    await this.during(fault, undefined, async () => {
      const ends = machines.map(({ relayLink }) => relayLink.stall({ way, delayMs }, rank));
      await delay(fault.forMs);
      ends.forEach((end) => end?.());
    });
  }

  private holdLinks(kind: string, wanted: readonly number[]): SoakMachine[] {
    const free = wanted.filter((idx) => !this.heldLinks.has(`${kind} ${idx}`));
    free.forEach((idx) => this.heldLinks.add(`${kind} ${idx}`));
    return this.machinesOf(free);
  }

  private releaseLinks(kind: string, machines: readonly SoakMachine[]): void {
    machines.forEach(({ idx }) => this.heldLinks.delete(`${kind} ${idx}`));
  }

  private async failStore(fault: Extract<SoakFault, { kind: 'store-outage' }>): Promise<void> {
    if (this.isStoreHeld) {
      return;
    }
    this.isStoreHeld = true;
    await this.during(fault, undefined, async () => {
      this.setStore(fault.outage);
      await delay(fault.forMs);
      this.setStore(undefined);
    });
    this.isStoreHeld = false;
  }

  private async refuseMachines(
    fault: Extract<SoakFault, { kind: 'store-refusal' }>,
  ): Promise<void> {
    const { store } = this.params.fleet;
    const machines = this.machinesOf(fault.machines);
    await this.during(fault, machines, async () => {
      for (const { storeEntry } of machines) {
        storeEntry.fault = REFUSALS[fault.refusal];
        if (fault.cutsWatches) {
          store.cutWatches(storeEntry);
        }
      }
      await delay(fault.forMs);
      for (const { storeEntry } of machines) {
        storeEntry.fault = undefined;
      }
    });
  }

  /**
   * Restores a backup taken `lostMs` before an outage, then repeats the lost writes. The window ends with the return of
   * the store: what was acknowledged before holds also until it is written again.
   */
  private async restoreStore(fault: Extract<SoakFault, { kind: 'store-restore' }>): Promise<void> {
    if (this.isStoreHeld) {
      return;
    }
    this.isStoreHeld = true;
    const { fleet } = this.params;
    const backup = fleet.store.backup();
    await delay(fault.lostMs);
    await this.during(fault, undefined, async () => {
      this.setStore('reset');
      await delay(fault.forMs);
      fleet.store.restore(backup);
      this.setStore(undefined);
    });
    await delay(fault.rewriteMs);
    fleet.rewriteLostItems();
    this.isStoreHeld = false;
  }

  private setStore(outage: StoreOutage | undefined): void {
    const { store } = this.params.fleet;
    store.watchLagMs = outage === 'lag' ? STORE_LAG_MS : 0;
    switch (outage) {
      case 'busy':
        store.fault = { type: 'status', status: BUSY_STATUS };
        break;
      case 'reset':
      case 'silent':
        store.fault = { type: outage };
        store.cutWatches();
        break;
      default:
        store.fault = undefined;
    }
  }

  private async failBackends(fault: Extract<SoakFault, { kind: 'backend-fault' }>): Promise<void> {
    const machines = this.hold(this.heldBackends, fault.machines);
    await this.during(fault, machines, async () => {
      machines.forEach(({ backend }) => backend.misbehave(fault.fault, fault.share));
      await delay(fault.forMs);
      machines.forEach(({ backend }) => backend.misbehave(undefined));
    });
    release(this.heldBackends, machines);
  }

  /** Back ends name rate limits one after the other, then none. */
  private async limitBackends(fault: Extract<SoakFault, { kind: 'backend-limit' }>): Promise<void> {
    const { ratesPerS, forMs } = fault;
    const machines = this.hold(this.heldBackends, fault.machines);
    await this.during(fault, machines, async () => {
      for (const ratePerS of [...ratesPerS, undefined]) {
        machines.forEach((machine) => this.nameLimit(machine, ratePerS));
        await delay(ratePerS === undefined ? 0 : forMs / ratesPerS.length);
      }
    });
    release(this.heldBackends, machines);
  }

  private nameLimit({ backend }: SoakMachine, ratePerS: number | undefined): void {
    backend.nameLimit(ratePerS, this.params.hidesStatements === true);
    this.limits.push({ backend: backend.id, atMs: this.params.nowMs(), ratePerS });
  }

  /** Back ends say in answers that they leave, serve on, end, and are replaced. */
  private async leaveBackends(fault: Extract<SoakFault, { kind: 'backend-leave' }>): Promise<void> {
    const { fleet, hidesStatements = false } = this.params;
    const machines = this.hold(this.heldBackends, fault.machines);
    await this.during(fault, machines, async () => {
      machines.forEach(({ backend }) => backend.leave(hidesStatements));
      await delay(fault.servesMs);
      machines.forEach(({ backend }) => backend.close());
      await delay(fault.forMs);
      machines.forEach((machine) => fleet.forgetBackend(machine));
      await Promise.all(machines.map((machine) => fleet.restartBackend(machine)));
    });
    release(this.heldBackends, machines);
  }

  /** A planned end is announced and serves on for a while; a crash is neither. */
  private async replaceBackends(
    fault: Extract<SoakFault, { kind: 'backend-crash' | 'backend-drain' }>,
    isPlanned: boolean,
  ): Promise<void> {
    const { fleet } = this.params;
    const machines = this.hold(this.heldBackends, fault.machines);
    await this.during(fault, machines, async () => {
      if (isPlanned) {
        machines.forEach((machine) => fleet.drainBackend(machine));
        await delay((fault.kind === 'backend-drain' && fault.servesMs) || DRAIN_SERVES_MS);
      }
      machines.forEach(({ backend }) => backend.close());
      await delay(fault.forMs);
      machines.forEach((machine) => fleet.forgetBackend(machine));
      const moves = fault.kind === 'backend-drain' && fault.moves === true;
      await Promise.all(machines.map((machine) => fleet.restartBackend(machine, moves)));
    });
    release(this.heldBackends, machines);
  }

  private async during(
    { kind }: SoakFault,
    machines: readonly SoakMachine[] | undefined,
    act: () => Promise<void>,
    linksOf: readonly SoakMachine[] = [],
    losesConnections = false,
  ): Promise<void> {
    const window = {
      kind,
      machines: machines?.map(({ idx }) => idx),
      ...(linksOf.length > 0 && { linksOf: linksOf.map(({ idx }) => idx) }),
      ...(losesConnections && { losesConnections }),
      fromMs: this.params.nowMs(),
      untilMs: Infinity,
    };
    this.windows.push(window);
    try {
      await act();
    } finally {
      window.untilMs = this.params.nowMs();
    }
  }

  /** The machines that no other fault holds, held from now on. */
  private hold(held: Set<number>, wanted: readonly number[]): SoakMachine[] {
    const free = wanted.filter((idx) => !held.has(idx));
    free.forEach((idx) => held.add(idx));
    return this.machinesOf(free);
  }

  private machinesOf(indexes: readonly number[]): SoakMachine[] {
    return this.params.fleet.machines.filter(({ idx }) => indexes.includes(idx));
  }
}

function release(held: Set<number>, machines: readonly SoakMachine[]): void {
  machines.forEach(({ idx }) => held.delete(idx));
}

function linkOf(machine: SoakMachine, kind: LinkFaultKind): LinkProxy | undefined {
  switch (kind) {
    case 'relay-link':
      return machine.relayLink;
    case 'store-link':
      return machine.storeLink;
    case 'backend-link':
      return machine.backendLink;
    case 'caller-link':
      return machine.callerLink;
  }
}
