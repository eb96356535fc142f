/** Virtual network for tests: control planes, links with latency, partitions, kills and pauses. */
import type { ControlEffect, ControlEvent, CounterSink } from '../../src/control/control-event.js';
import type { ControlPlaneOptions } from '../../src/control/control-options.js';
import { ControlPlane } from '../../src/control/control-plane.js';
import { machineValues } from '../../src/membership/machine-index.js';
import type { PeerAddress, PeerIdentity } from '../../src/membership/peer-identity.js';
import type { Machine } from '../../src/model/machine.js';
import type { Snapshot } from '../../src/model/snapshot.js';
import type { PeerMessage } from '../../src/wire/message.js';
import { MapCounters, seededRandom } from './control-fixtures.js';

/** One-way latency between any two nodes, in milliseconds. */
const LATENCY_MS = 1;

interface Task {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A node of the virtual network. */
export interface PumpNode {
  identity: PeerIdentity;
  plane: ControlPlane;
  readonly counters: MapCounters;
  readonly snapshots: Snapshot[];
  readonly sent: { readonly to: string; readonly message: PeerMessage }[];
  isUp: boolean;
  /** Events are deferred until this time. */
  pausedUntil: number;
  wakeToken: number;
}

/** Simulates the network and its clock. */
export class MessagePump {
  nowMs = 0;
  readonly nodes = new Map<string, PumpNode>();
  private tasks: Task[] = [];
  private order = 0;
  /** Open links as `left|right` with left < right, and the epoch in which each opened. */
  private readonly links = new Map<string, number>();
  private readonly isCut: { test: (from: PeerIdentity, to: PeerIdentity) => boolean } = {
    test: () => false,
  };

  /** `planeClass` allows a test to run a mutant of the control plane. */
  constructor(
    private readonly seed: number,
    private readonly planeClass: typeof ControlPlane = ControlPlane,
  ) {}

  /** Adds and starts a node. */
  add(identity: PeerIdentity, options: Partial<ControlPlaneOptions> = {}): PumpNode {
    const counters = new MapCounters();
    const plane = this.createPlane(identity, counters, options);
    const node: PumpNode = {
      identity,
      plane,
      counters,
      snapshots: [],
      sent: [],
      isUp: true,
      pausedUntil: 0,
      wakeToken: 0,
    };
    this.nodes.set(identity.id, node);
    this.deliver(node, { type: 'start' });
    return node;
  }

  /** Stops a node without a planned stop and closes its links. */
  kill(node: PumpNode): void {
    node.isUp = false;
    for (const other of this.nodes.values()) {
      this.closeLink(node, other);
    }
  }

  /** Restarts a killed node with a higher incarnation and without documents. */
  restart(node: PumpNode, options: Partial<ControlPlaneOptions> = {}): void {
    node.identity = { ...node.identity, incarnation: node.identity.incarnation + 10 };
    node.plane = this.createPlane(node.identity, node.counters, options);
    node.isUp = true;
    this.deliver(node, { type: 'start' });
  }

  /** Drops every message and fails every dial for which `test` holds; links stay open. */
  cut(test: (from: PeerIdentity, to: PeerIdentity) => boolean): void {
    this.isCut.test = test;
  }

  heal(): void {
    this.isCut.test = () => false;
  }

  /**
   * Delivers an event to a node, or defers it while the node is paused, and executes the effects.
   */
  deliver(node: PumpNode, event: ControlEvent): void {
    if (!node.isUp) {
      return;
    }
    if (node.pausedUntil > this.nowMs) {
      this.schedule(node.pausedUntil, () => this.deliver(node, event));
      return;
    }
    this.execute(node, node.plane.handle(event, this.nowMs));
  }

  /** Executes effects of a node, such as those of a direct call to one of its ports. */
  execute(node: PumpNode, effects: readonly ControlEffect[]): void {
    for (const effect of effects) {
      this.executeOne(node, effect);
    }
    this.scheduleWake(node);
  }

  /** Publishes a source document at one node, as its reader would. */
  publish(node: PumpNode, number: number, values: ReadonlyMap<string, string>): void {
    const answer = { outcome: 'document', number, values } as const;
    this.execute(node, node.plane.documents.offer('source', answer, this.nowMs));
  }

  publishMachines(node: PumpNode, number: number, machines: readonly Machine[]): void {
    const answer = { outcome: 'document', number, values: machineValues(machines) } as const;
    this.execute(node, node.plane.documents.offer('machines', answer, this.nowMs));
  }

  /** Runs for `forMs` of virtual time or until `isDone`; returns the elapsed virtual time. */
  run(forMs: number, isDone: () => boolean = () => false): number {
    const startedAt = this.nowMs;
    const until = this.nowMs + forMs;
    while (!isDone()) {
      const task = this.nextTask(until);
      if (task === undefined) {
        this.nowMs = until;
        break;
      }
      this.nowMs = Math.max(this.nowMs, task.at);
      task.run();
    }
    return this.nowMs - startedAt;
  }

  /** Schedules a callback; callbacks with the same time run in scheduling order. */
  schedule(at: number, run: () => void): void {
    this.order += 1;
    const task = { at, order: this.order, run };
    let index = this.tasks.length;
    while (index > 0 && (this.tasks[index - 1]?.at ?? 0) < at) {
      index -= 1;
    }
    while (index > 0 && this.tasks[index - 1]?.at === at) {
      index -= 1;
    }
    this.tasks.splice(index, 0, task);
  }

  runningNodes(): PumpNode[] {
    return [...this.nodes.values()].filter((node) => node.isUp);
  }

  /** Whether all running nodes hold the same versions. */
  isConverged(): boolean {
    const digests = this.runningNodes().map((node) => node.plane.status().versionsDigest);
    return new Set(digests).size === 1;
  }

  private createPlane(
    identity: PeerIdentity,
    counters: CounterSink,
    options: Partial<ControlPlaneOptions>,
  ): ControlPlane {
    const index = Number(identity.id.split('-')[1]);
    const random = seededRandom(this.seed * 7_919 + index + identity.incarnation);
    return new this.planeClass({ identity, seeds: [], random, counters, ...options });
  }

  private nextTask(until: number): Task | undefined {
    const task = this.tasks[this.tasks.length - 1];
    return task !== undefined && task.at <= until ? this.tasks.pop() : undefined;
  }

  private scheduleWake(node: PumpNode): void {
    node.wakeToken += 1;
    const token = node.wakeToken;
    const at = node.plane.nextWakeAt();
    if (at !== Infinity) {
      this.schedule(Math.max(at, this.nowMs), () => {
        if (node.wakeToken === token) {
          this.deliver(node, { type: 'wake' });
        }
      });
    }
  }

  private executeOne(node: PumpNode, effect: ControlEffect): void {
    switch (effect.type) {
      case 'dial':
        this.schedule(this.nowMs + LATENCY_MS, () => this.dial(node, effect.target));
        break;
      case 'hang-up': {
        const peer = this.nodes.get(effect.peerId);
        if (peer !== undefined) {
          this.closeLink(node, peer, node);
        }
        break;
      }
      case 'send':
        node.sent.push({ to: effect.to, message: effect.message });
        this.send(node, effect.to, effect.message);
        break;
      case 'snapshot-changed':
        node.snapshots.push(effect.snapshot);
        break;
      default:
        break;
    }
  }

  private dial(node: PumpNode, target: PeerAddress): void {
    const peer = [...this.nodes.values()].find(
      (candidate) => candidate.identity.address === target.address,
    );
    const isReachable =
      peer !== undefined &&
      peer.isUp &&
      !this.isCut.test(node.identity, peer.identity) &&
      !this.isCut.test(peer.identity, node.identity);
    if (!isReachable) {
      this.deliver(node, { type: 'dial-failed', target });
      return;
    }
    if (!this.links.has(linkKey(node, peer))) {
      this.order += 1;
      this.links.set(linkKey(node, peer), this.order);
    }
    this.deliver(peer, { type: 'peer-up', peer: node.identity });
    this.deliver(node, { type: 'peer-up', peer: peer.identity });
  }

  private send(node: PumpNode, to: string, message: PeerMessage): void {
    const peer = this.nodes.get(to);
    const epoch = peer === undefined ? undefined : this.links.get(linkKey(node, peer));
    if (peer === undefined || epoch === undefined) {
      return;
    }
    const from = node.identity;
    this.schedule(this.nowMs + LATENCY_MS, () => {
      const isOpen = this.links.get(linkKey(node, peer)) === epoch;
      if (isOpen && !this.isCut.test(from, peer.identity)) {
        this.deliver(peer, { type: 'message', from, message });
      }
    });
  }

  private closeLink(left: PumpNode, right: PumpNode, closedBy?: PumpNode): void {
    if (!this.links.delete(linkKey(left, right))) {
      return;
    }
    for (const [node, other] of [
      [left, right],
      [right, left],
    ] as const) {
      if (node !== closedBy) {
        const peer = other.identity;
        this.schedule(this.nowMs + LATENCY_MS, () => {
          if (!this.links.has(linkKey(left, right))) {
            this.deliver(node, { type: 'peer-down', peer });
          }
        });
      }
    }
  }
}

function linkKey(left: PumpNode, right: PumpNode): string {
  const ids = [left.identity.id, right.identity.id].sort();
  return ids.join('|');
}
