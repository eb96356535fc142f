import type { StreamFrame } from './relay-frame.js';

/** Interface of a relayed request to its connection. */
export interface RequestLink {
  readonly send: (frame: StreamFrame) => void;
  /** The request has ended; called once. */
  readonly ended: () => void;
  readonly isStopping: () => boolean;
}
