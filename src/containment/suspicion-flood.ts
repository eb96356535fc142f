/**
 * Floods suspicions over the links of the control plane: each node forwards a suspicion once when it is new to the
 * node, and sends all suspicions to a new peer.
 */
import type { ControlComponent, ControlEffect, ControlEvent } from '../control/control-event.js';
import type { Containment, SuspicionListener } from './containment.js';
import type { Suspicion } from './suspicion.js';
import { limitToBytes } from './suspicion-layout.js';

/** Maximum size of the message to a new peer, in bytes: about the 600 most suspected requests. */
const MAX_INITIAL_SYNC_BYTES = 32 * 1024;

/** Time between two removals of expired entries, in milliseconds. */
const EXPIRY_INTERVAL_MS = 10_000;

/** The flooding component of one node. */
export class SuspicionFlood implements ControlComponent {
  private readonly peers = new Set<string>();
  private wakeAtMs = Infinity;
  private readonly onChange: SuspicionListener;

  /** `offer` queues an event for the control plane. */
  constructor(
    private readonly containment: Containment,
    offer: (event: ControlEvent) => void,
  ) {
    this.onChange = (changed) => offer({ type: 'suspicions', changed });
    containment.subscribe(this.onChange);
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
        return sendTo(
          [event.peer.id],
          limitToBytes(this.containment.list(), MAX_INITIAL_SYNC_BYTES),
        );
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
    const changed = this.containment.learn(suspicions, this.onChange);
    const otherPeers = [...this.peers].filter((peer) => peer !== from);
    return sendTo(otherPeers, changed);
  }
}

function sendTo(peers: Iterable<string>, suspicions: readonly Suspicion[]): ControlEffect[] {
  const message = { type: 'suspicions', suspicions } as const;
  return suspicions.length === 0 ? [] : [...peers].map((to) => ({ type: 'send', to, message }));
}
