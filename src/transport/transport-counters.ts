/** Counters of the peer protocol. Bytes are those of frames, without the overhead of TLS, TCP and IP. */
import type { CounterSink } from '../control/control-event.js';
import { FRAME_ERROR_CODES, type FrameErrorCode } from '../wire/frame-error.js';
import { MESSAGE_TYPES, type PeerMessageType } from '../wire/message-layouts.js';
import { REFUSAL_REASONS, type RefusalReason } from './handshake-error.js';

/** Names of the counters that do not depend on a reason, an error code or a message type. */
export const TRANSPORT_COUNTERS = {
  linksOpened: 'ferryspool_peer_links_opened_total',
  linksClosed: 'ferryspool_peer_links_closed_total',
  linksReplaced: 'ferryspool_peer_links_replaced_total',
  linksSlow: 'ferryspool_peer_links_slow_total',
  dials: 'ferryspool_peer_dials_total',
  dialsFailed: 'ferryspool_peer_dials_failed_total',
  messagesDropped: 'ferryspool_peer_messages_dropped_total',
  messagesUnencodable: 'ferryspool_peer_messages_unencodable_total',
  handshakeSentBytes: 'ferryspool_peer_sent_handshake_bytes_total',
  handshakeReceivedBytes: 'ferryspool_peer_received_handshake_bytes_total',
} as const;

const COUNTER_HELP: Readonly<Record<keyof typeof TRANSPORT_COUNTERS, string>> = {
  linksOpened: 'Links on which the peer proved itself',
  linksClosed: 'Open links that ended, for whatever reason',
  linksReplaced: 'Open links that gave way to another link to the same peer',
  linksSlow: 'Links closed because more bytes than the bound waited to be sent',
  dials: 'Links dialled',
  dialsFailed: 'Dials that no link answered',
  messagesDropped: 'Messages to a peer without an open link',
  messagesUnencodable: 'Messages that no frame can hold',
  handshakeSentBytes: 'Bytes of handshake frames sent',
  handshakeReceivedBytes: 'Bytes of handshake frames received',
};

const DIRECTIONS = ['sent', 'received'] as const;
type Direction = (typeof DIRECTIONS)[number];

/** Calls `declare` for every counter, so that each is exposed before its first event. */
export function declareTransportCounters(declare: (name: string, help: string) => void): void {
  for (const [key, help] of Object.entries(COUNTER_HELP)) {
    declare(TRANSPORT_COUNTERS[key as keyof typeof TRANSPORT_COUNTERS], help);
  }
  for (const reason of REFUSAL_REASONS) {
    declare(refusedHandshakeCounter(reason), `Handshakes that ended without a link: ${reason}`);
  }
  for (const code of FRAME_ERROR_CODES) {
    declare(refusedFrameCounter(code), `Frames on open links that were refused: ${code}`);
  }
  for (const direction of DIRECTIONS) {
    for (const type of MESSAGE_TYPES) {
      declare(messageCounter(direction, type), `Messages ${direction}: ${type}`);
      declare(messageBytesCounter(direction, type), `Bytes of frames ${direction}: ${type}`);
    }
  }
}

/** Counter of the bytes of one type of message, such as `…_sent_heartbeat_bytes_total`. */
export function messageBytesCounter(direction: Direction, type: PeerMessageType): string {
  return `ferryspool_peer_${direction}_${metricName(type)}_bytes_total`;
}

/** Counter of the messages of one type. */
export function messageCounter(direction: Direction, type: PeerMessageType): string {
  return `ferryspool_peer_${direction}_${metricName(type)}_messages_total`;
}

/** Counter of the handshakes that ended for one reason. */
export function refusedHandshakeCounter(reason: RefusalReason): string {
  return `ferryspool_peer_handshakes_refused_${metricName(reason)}_total`;
}

/** Counter of the frames on open links that were refused for one reason. */
export function refusedFrameCounter(code: FrameErrorCode): string {
  return `ferryspool_peer_frames_refused_${metricName(code)}_total`;
}

function metricName(name: string): string {
  return name.replaceAll('-', '_');
}

function namesByType(name: (type: PeerMessageType) => string): Map<PeerMessageType, string> {
  return new Map(MESSAGE_TYPES.map((type) => [type, name(type)]));
}

const MESSAGE_NAMES = {
  sent: namesByType((type) => messageCounter('sent', type)),
  received: namesByType((type) => messageCounter('received', type)),
};
const BYTES_NAMES = {
  sent: namesByType((type) => messageBytesCounter('sent', type)),
  received: namesByType((type) => messageBytesCounter('received', type)),
};

/** Counts one message of `bytes` on the wire. */
export function countMessage(
  counters: CounterSink,
  direction: Direction,
  type: PeerMessageType,
  bytes: number,
): void {
  counters.add(MESSAGE_NAMES[direction].get(type) ?? type);
  counters.add(BYTES_NAMES[direction].get(type) ?? type, bytes);
}
