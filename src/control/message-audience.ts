/** Determines which parts of the control plane handle a message. */
import type { PeerMessage } from '../wire/message.js';
import type { ControlEvent } from './control-event.js';

/** Whether a message is routine overlay traffic, which does not keep a transient link open. */
export function isOverlayTraffic(message: PeerMessage): boolean {
  switch (message.type) {
    case 'heartbeat':
    case 'versions':
    case 'delta':
    case 'members':
    case 'rejection':
    case 'suspicions':
      return true;
    default:
      return false;
  }
}

/**
 * Whether components receive the event; messages only for dissemination or membership are excluded.
 */
export function isForComponents(event: ControlEvent): boolean {
  if (event.type !== 'message') {
    return true;
  }
  switch (event.message.type) {
    case 'fetch':
    case 'snapshot-chunk':
    case 'fetch-refused':
      return false;
    case 'suspicions':
      return true;
    default:
      return !isOverlayTraffic(event.message);
  }
}
