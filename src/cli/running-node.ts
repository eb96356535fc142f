/** A node that runs, as the command line sees it. */
import type { Settings } from '../settings/settings.js';

/** Ports on which the listeners of a node were opened. */
export interface NodePorts {
  readonly caller: number;
  readonly relay: number;
  readonly control: number;
  readonly admin: number;
}

/** A node whose listeners are open. */
export interface RunningNode {
  readonly ports: NodePorts;
  /** Planned stop: takes no new work, finishes what is in flight, tells the fleet. Idempotent. */
  stop(): Promise<void>;
  /** Closes everything at once. Idempotent. */
  abort(): void;
  /** Resolves when the node has stopped; rejects when it failed. */
  readonly stopped: Promise<void>;
}

/** Opens the listeners and starts everything; rejects when a listener can not be opened. */
export type NodeRunner = (settings: Settings) => Promise<RunningNode>;
