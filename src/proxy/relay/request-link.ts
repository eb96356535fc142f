import type { StreamFrame } from './relay-frame.js';

/** Interface of a relayed request to its connection. */
export interface RequestLink {
  /** Returns false if the frame cannot be encoded. */
  readonly send: (frame: StreamFrame) => boolean;
  /** The request has ended; called once. */
  readonly ended: () => void;
  readonly isStopping: () => boolean;
}
