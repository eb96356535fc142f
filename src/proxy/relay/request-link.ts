/** The connection of a relayed request, as the request sees it. */
import type { StreamFrame } from './relay-frame.js';

/** What a request needs of its connection. */
export interface RequestLink {
  readonly send: (frame: StreamFrame) => void;
  /** The request is over; called once. */
  readonly ended: () => void;
  readonly isStopping: () => boolean;
}
