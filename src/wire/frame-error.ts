/** Errors of the peer protocol's frames. */

/**
 * - `oversized`: a frame, or a message to be sent, is longer than the limit.
 * - `truncated`: the stream ended inside a frame.
 * - `wrong-version`: another version of the protocol.
 * - `unknown-type`: no message has this type number, or it may not come at this point.
 * - `malformed`: the payload does not follow the type's layout.
 * - `inflated-oversized`: a compressed payload inflates past the limit.
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

/** Why a frame can not be taken or sent; see {@link FRAME_ERROR_CODES}. */
export type FrameErrorCode = (typeof FRAME_ERROR_CODES)[number];

/** A frame that can not be taken, or a message that can not be sent as one. */
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
