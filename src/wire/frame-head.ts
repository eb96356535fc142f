/**
 * The first byte of every body: the protocol version in the three high bits, then one bit that marks a
 * compressed payload, then four bits for the type number.
 */
import { FrameError } from './frame-error.js';

/** Version of the peer protocol; nodes with different versions reject each other's frames. */
export const PROTOCOL_VERSION = 1;
/** Size of the head, in bytes. */
export const HEAD_BYTES = 1;

const VERSION_SHIFT = 5;
const COMPRESSED_BIT = 0x10;
const TYPE_MASK = 0x0f;

export interface FrameHead {
  readonly typeNumber: number;
  readonly compressed: boolean;
}

export function encodeHead(head: FrameHead): number {
  return (
    (PROTOCOL_VERSION << VERSION_SHIFT) |
    (head.compressed ? COMPRESSED_BIT : 0) |
    (head.typeNumber & TYPE_MASK)
  );
}

/** Decodes the head of a body. Throws {@link FrameError} `wrong-version`, or `malformed` when empty. */
export function decodeHead(body: Uint8Array): FrameHead {
  const byte = body[0];
  if (byte === undefined) {
    throw new FrameError('malformed', 'empty body');
  }
  const version = byte >> VERSION_SHIFT;
  if (version !== PROTOCOL_VERSION) {
    throw new FrameError('wrong-version', `version ${version}, expected ${PROTOCOL_VERSION}`);
  }
  return { typeNumber: byte & TYPE_MASK, compressed: (byte & COMPRESSED_BIT) !== 0 };
}
