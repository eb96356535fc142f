/** Which part of the control plane a message is for. */
import type { PeerMessage } from '../wire/message.js';
import type { ControlEvent } from './control-event.js';

/** Messages that flow on overlay links by themselves: they do not keep any other link open. */
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

/** Messages of dissemination and membership alone; components do not get to see them. */
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
