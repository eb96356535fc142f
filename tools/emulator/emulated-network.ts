/**
 * Links between processes, as TCP gives them: order within a link, stalls under a cut, a reset from a
 * peer that is gone, and silence from a machine that is gone.
 */
import type { ControlEvent, RandomSource } from '../../src/control/control-event.js';
import type { PeerAddress } from '../../src/membership/peer-identity.js';
import type { PeerMessage } from '../../src/wire/message.js';
import type { EmulatedProcess } from './emulated-process.js';
import type { Topology } from './topology.js';
import type { TrafficMeter } from './traffic-meter.js';
import type { ScheduledTask, VirtualScheduler } from './virtual-scheduler.js';

/** Bytes that each side sends to set up a link: greeting, challenge and response. */
export const HANDSHAKE_BYTES = 300;

/** Timing of links, and stress beyond what TCP would do. */
export interface NetworkOptions {
  /** How long a dial without an answer lasts. */
  readonly dialTimeoutMs: number;
  /** How long sent bytes may stay unacknowledged before the sender's end of the link breaks. */
  readonly stallTimeoutMs: number;
  /** Chance that a message is delivered twice. */
  readonly duplicateChance: number;
  /** Chance that a message is held back, so that later ones of its link pass it. */
  readonly reorderChance: number;
}

export const DEFAULT_NETWORK: NetworkOptions = {
  dialTimeoutMs: 3_000,
  stallTimeoutMs: 15_000,
  duplicateChance: 0,
  reorderChance: 0,
};

/** Longest time that a reordered message is held back. */
const MAX_HOLD_BACK_MS = 200;

/** What the network needs of its surroundings. */
export interface NetworkHost {
  /** What stands at an address. */
  lookUp(target: PeerAddress): DialTarget;
  /** Hands an event to a process, now. */
  deliver(process: EmulatedProcess, event: ControlEvent): void;
}

/** `absent`: no such machine, or it is down; `refusing`: the machine runs no process. */
export type DialTarget = EmulatedProcess | 'absent' | 'refusing';

/** One side of a link. */
export class LinkEnd {
  open = false;
  other!: LinkEnd;
  /** Arrival of the last message sent from this end; later ones do not arrive before it. */
  lastArrivalMs = 0;
  /** Messages that wait for a cut to heal. */
  readonly stalled: PeerMessage[] = [];
  /** Since when sent bytes are unacknowledged. */
  unacknowledgedSinceMs: number | undefined;

  constructor(readonly process: EmulatedProcess) {}
}

/** Every link of the fleet. */
export class EmulatedNetwork {
  private readonly stalledEnds = new Set<LinkEnd>();

  constructor(
    private readonly scheduler: VirtualScheduler,
    private readonly topology: Topology,
    private readonly meter: TrafficMeter,
    private readonly host: NetworkHost,
    private readonly random: RandomSource,
    public options: NetworkOptions = DEFAULT_NETWORK,
  ) {}

  /** Dials; the dialler gets `peer-up` or `dial-failed`. */
  dial(dialler: EmulatedProcess, target: PeerAddress): void {
    const sentAtMs = this.scheduler.nowMs;
    const found = this.host.lookUp(target);
    const failAfter = (delayMs: number): void =>
      this.at(sentAtMs + delayMs, () =>
        this.host.deliver(dialler, { type: 'dial-failed', target }),
      );
    if (found === 'absent' || found === dialler) {
      failAfter(this.options.dialTimeoutMs);
      return;
    }
    const travelMs = this.travelToTarget(dialler, found);
    if (found === 'refusing') {
      failAfter(2 * travelMs);
      return;
    }
    if (this.isCutEitherWay(dialler, found) || found.frozen) {
      failAfter(this.options.dialTimeoutMs);
      return;
    }
    this.meter.sentBytes(dialler.site.index, HANDSHAKE_BYTES);
    this.meter.sentBytes(found.site.index, HANDSHAKE_BYTES);
    this.at(sentAtMs + 3 * travelMs, () => this.accept(dialler, found, travelMs, failAfter));
  }

  /** Sends on the newest open link to the peer; dropped when there is none. */
  send(process: EmulatedProcess, peerId: string, message: PeerMessage): void {
    const end = process.linkTo(peerId);
    if (end !== undefined) {
      const bytes = this.meter.sent(process.site.index, message);
      this.transmit(end, message, bytes);
    }
  }

  /** Closes every link to the peer, without an event on this side. */
  hangUp(process: EmulatedProcess, peerId: string): void {
    for (const end of [...(process.links.get(peerId) ?? [])]) {
      this.closeEnd(end);
      this.notifyClosed(end);
    }
  }

  /** The process is gone. Its peers learn it from resets, or not at all when its machine is gone. */
  processGone(process: EmulatedProcess, machineGone: boolean): void {
    for (const end of [...process.links.values()].flat()) {
      end.open = false;
      this.stalledEnds.delete(end);
      if (!machineGone) {
        this.notifyClosed(end);
      }
    }
    process.links.clear();
  }

  /** After a heal: what waits on links that are whole again travels on. */
  resumeStalled(): void {
    for (const end of [...this.stalledEnds]) {
      if (!this.isCutEitherWay(end.process, end.other.process)) {
        this.stalledEnds.delete(end);
        end.unacknowledgedSinceMs = undefined;
        for (const message of end.stalled.splice(0)) {
          this.transmit(end, message, 0);
        }
      }
    }
  }

  private accept(
    dialler: EmulatedProcess,
    acceptor: EmulatedProcess,
    travelMs: number,
    failAfter: (delayMs: number) => void,
  ): void {
    if (!acceptor.alive || acceptor.frozen || !dialler.alive) {
      failAfter(acceptor.alive ? this.options.dialTimeoutMs : 4 * travelMs);
      return;
    }
    const near = new LinkEnd(dialler);
    const far = new LinkEnd(acceptor);
    near.other = far;
    far.other = near;
    const openAtMs = this.scheduler.nowMs + travelMs;
    far.lastArrivalMs = openAtMs;
    // Scheduled first, so that what the acceptor sends at once arrives on an open end.
    this.at(openAtMs, () => this.openDialled(near));
    this.openEnd(far);
  }

  private openDialled(end: LinkEnd): void {
    const { process, other } = end;
    if (!process.alive) {
      this.notifyClosed(end);
      return;
    }
    this.openEnd(end);
    if (!other.open) {
      this.peerClosed(end);
    }
  }

  private openEnd(end: LinkEnd): void {
    const { process } = end;
    const peer = end.other.process.identity;
    const ends = process.links.get(peer.id) ?? [];
    const outdated = ends.filter((one) => one.other.process !== end.other.process);
    for (const old of outdated) {
      this.peerClosed(old);
    }
    end.open = true;
    process.links.set(peer.id, [...(process.links.get(peer.id) ?? []), end]);
    this.host.deliver(process, { type: 'peer-up', peer });
  }

  private transmit(end: LinkEnd, message: PeerMessage, bytes: number): void {
    const from = end.process;
    const to = end.other.process;
    if (this.topology.hasCuts && this.topology.isCut(from.site, to.site)) {
      end.stalled.push(message);
      this.markUnacknowledged(end);
      return;
    }
    if (this.topology.hasCuts && this.topology.isCut(to.site, from.site)) {
      this.markUnacknowledged(end);
    }
    this.scheduleArrival(end, message, bytes);
    if (this.options.duplicateChance > 0 && this.random() < this.options.duplicateChance) {
      this.scheduleArrival(end, message, 0);
    }
  }

  private scheduleArrival(end: LinkEnd, message: PeerMessage, bytes: number): void {
    const travelMs = this.topology.travelMs(end.process.site, end.other.process.site);
    const earliestMs = this.scheduler.nowMs + travelMs;
    if (this.options.reorderChance > 0 && this.random() < this.options.reorderChance) {
      const heldBackMs = this.random() * MAX_HOLD_BACK_MS;
      this.scheduler.schedule(earliestMs + heldBackMs, new Arrival(this, end, message, bytes));
      return;
    }
    end.lastArrivalMs = Math.max(end.lastArrivalMs, earliestMs);
    this.scheduler.schedule(end.lastArrivalMs, new Arrival(this, end, message, bytes));
  }

  /** A message reaches the far side of `end`. */
  arrive(end: LinkEnd, message: PeerMessage, bytes: number): void {
    const receiver = end.other;
    if (receiver.open) {
      this.meter.receivedBytes(receiver.process.site.index, bytes);
      this.host.deliver(receiver.process, {
        type: 'message',
        from: end.process.identity,
        message,
      });
      return;
    }
    if (!end.open) {
      return;
    }
    if (this.host.lookUp(receiver.process.identity) === 'absent') {
      this.markUnacknowledged(end);
      return;
    }
    this.notifyClosed(receiver);
  }

  /** Tells the far side of `end` that this side is closed, in order after what was sent. */
  private notifyClosed(end: LinkEnd): void {
    const { process, other } = end;
    if (this.topology.isCut(process.site, other.process.site)) {
      return;
    }
    const travelMs = this.topology.travelMs(process.site, other.process.site);
    const arrivalMs = Math.max(end.lastArrivalMs, this.scheduler.nowMs + travelMs);
    this.at(arrivalMs, () => this.peerClosed(other));
  }

  /** The end learns that its link is gone. */
  private peerClosed(end: LinkEnd): void {
    if (!end.open) {
      return;
    }
    this.closeEnd(end);
    const peer = end.other.process.identity;
    if (!end.process.links.has(peer.id)) {
      this.host.deliver(end.process, { type: 'peer-down', peer });
    }
  }

  private closeEnd(end: LinkEnd): void {
    end.open = false;
    this.stalledEnds.delete(end);
    const peerId = end.other.process.identity.id;
    const rest = (end.process.links.get(peerId) ?? []).filter((one) => one !== end);
    if (rest.length === 0) {
      end.process.links.delete(peerId);
    } else {
      end.process.links.set(peerId, rest);
    }
  }

  private markUnacknowledged(end: LinkEnd): void {
    if (end.unacknowledgedSinceMs !== undefined) {
      return;
    }
    const sinceMs = this.scheduler.nowMs;
    end.unacknowledgedSinceMs = sinceMs;
    this.stalledEnds.add(end);
    this.at(sinceMs + this.options.stallTimeoutMs, () => {
      if (end.open && end.unacknowledgedSinceMs === sinceMs) {
        this.peerClosed(end);
        this.notifyClosed(end);
      }
    });
  }

  private isCutEitherWay(left: EmulatedProcess, right: EmulatedProcess): boolean {
    return (
      this.topology.hasCuts &&
      (this.topology.isCut(left.site, right.site) || this.topology.isCut(right.site, left.site))
    );
  }

  private travelToTarget(dialler: EmulatedProcess, target: EmulatedProcess | 'refusing'): number {
    const site = target === 'refusing' ? dialler.site : target.site;
    return this.topology.travelMs(dialler.site, site);
  }

  private at(atMs: number, run: () => void): void {
    this.scheduler.schedule(atMs, { run });
  }
}

/** A message on its way; a class rather than a closure because millions of them exist. */
class Arrival implements ScheduledTask {
  constructor(
    private readonly network: EmulatedNetwork,
    private readonly end: LinkEnd,
    private readonly message: PeerMessage,
    private readonly bytes: number,
  ) {}

  run(): void {
    this.network.arrive(this.end, this.message, this.bytes);
  }
}
