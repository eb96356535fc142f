/** Access of the resource API to the current configuration and its changes. */
import type { Snapshot } from '../model/snapshot.js';

/** Called with each snapshot that becomes current, in order. Must not throw. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** Ends a subscription. */
export type Unsubscribe = () => void;

/** The current configuration of this node. */
export interface ConfigurationView {
  /** The current snapshot; before the first, an empty one with `NO_SNAPSHOT_VERSION`. */
  current(): Snapshot;
  /** Calls `listener` on every later change of snapshot, in the same tick as the change. */
  subscribe(listener: SnapshotListener): Unsubscribe;
}
