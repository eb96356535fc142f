/** Errors in encoding and decoding frames of the peer protocol. */

/**
 * - `oversized`: a received frame or an outgoing message exceeds the size limit.
 * - `truncated`: the stream ended inside a frame.
 * - `wrong-version`: the frame has a different protocol version.
 * - `unknown-type`: no message has this type number, or the type is not allowed at this point.
 * - `malformed`: the payload does not match the type's layout.
 * - `inflated-oversized`: a compressed payload exceeds the size limit when inflated.
 * - `forged`: the authentication tag of a frame does not match.
 */
export const FRAME_ERROR_CODES = [
  'oversized',
  'truncated',
  'wrong-version',
  'unknown-type',
  'malformed',
  'inflated-oversized',
  'forged',
] as const;

/** See {@link FRAME_ERROR_CODES}. */
export type FrameErrorCode = (typeof FRAME_ERROR_CODES)[number];

/** Thrown for a frame that cannot be decoded or a message that cannot be encoded. */
export class FrameError extends Error {
  override readonly name = 'FrameError';

  constructor(
    readonly code: FrameErrorCode,
    detail: string,
    options?: ErrorOptions,
  ) {
    super(`${code} frame: ${detail}`, options);
  }
}
