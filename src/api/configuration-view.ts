/** What the resource API reads: the configuration in force and its changes. */
import type { Snapshot } from '../model/snapshot.js';

/** Told of each snapshot that comes into force, in order. Must not throw. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** Ends a subscription. */
export type Unsubscribe = () => void;

/** The configuration in force on this node. */
export interface ConfigurationView {
  /** The snapshot in force; one without resources under `NO_SNAPSHOT_VERSION` before the first. */
  current(): Snapshot;
  /** Calls `listener` on every later swap, in the same tick as the swap. */
  subscribe(listener: SnapshotListener): Unsubscribe;
}
