/**
 * Spreads what is known of requests under which endpoints ended over the links of the control plane: each
 * node passes on once what is new to it, and tells a new peer what it knows.
 */
import type { ControlComponent, ControlEffect, ControlEvent } from '../control/control-event.js';
import type { Containment, SuspicionListener } from './containment.js';
import type { Suspicion } from './suspicion.js';
import { fitting } from './suspicion-layout.js';

/** Bytes that a new peer is told, at most: the 600 most suspected requests or so. */
const MAX_GREETING_BYTES = 32 * 1024;

/** Time between two looks for what has expired, in milliseconds. */
const EXPIRY_INTERVAL_MS = 10_000;

/** The flood of one node. */
export class SuspicionFlood implements ControlComponent {
  private readonly peers = new Set<string>();
  private wakeAtMs = Infinity;
  private readonly tell: SuspicionListener;

  /** `offer` queues an event for the control plane. */
  constructor(
    private readonly containment: Containment,
    offer: (event: ControlEvent) => void,
  ) {
    this.tell = (changed) => offer({ type: 'suspicions', changed });
    containment.subscribe(this.tell);
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    const effects = this.react(event);
    if (this.containment.size === 0) {
      this.wakeAtMs = Infinity;
    } else if (nowMs >= this.wakeAtMs || this.wakeAtMs === Infinity) {
      this.wakeAtMs = nowMs + EXPIRY_INTERVAL_MS;
    }
    return effects;
  }

  nextWakeAt(): number {
    return this.wakeAtMs;
  }

  private react(event: ControlEvent): ControlEffect[] {
    switch (event.type) {
      case 'wake':
        this.containment.tick();
        return [];
      case 'peer-up':
        this.peers.add(event.peer.id);
        return sendTo([event.peer.id], fitting(this.containment.list(), MAX_GREETING_BYTES));
      case 'peer-down':
        this.peers.delete(event.peer.id);
        return [];
      case 'suspicions':
        return sendTo(this.peers, event.changed);
      case 'message':
        return event.message.type === 'suspicions'
          ? this.learn(event.from.id, event.message.suspicions)
          : [];
      default:
        return [];
    }
  }

  private learn(from: string, suspicions: readonly Suspicion[]): ControlEffect[] {
    const changed = this.containment.learn(suspicions, this.tell);
    const others = [...this.peers].filter((peer) => peer !== from);
    return sendTo(others, changed);
  }
}

function sendTo(peers: Iterable<string>, suspicions: readonly Suspicion[]): ControlEffect[] {
  const message = { type: 'suspicions', suspicions } as const;
  return suspicions.length === 0 ? [] : [...peers].map((to) => ({ type: 'send', to, message }));
}
