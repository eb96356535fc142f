/** Raw deflate compression of large payloads, with a limit on the inflated size. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { FrameError } from './frame-error.js';
import { MAX_FRAME_BYTES } from './frame-reader.js';

/** Frames up to this size are sent uncompressed, in bytes. */
export const COMPRESSION_THRESHOLD_BYTES = 512;

/** Returns the compressed payload, or undefined if it is not smaller. */
export function compressPayload(payload: Uint8Array): Buffer | undefined {
  const compressed = deflateRawSync(payload);
  return compressed.length < payload.length ? compressed : undefined;
}

/**
 * Inflates a payload. Throws {@link FrameError} `inflated-oversized` as soon as the output exceeds
 * {@link MAX_FRAME_BYTES}, or `malformed` for invalid deflate data.
 */
export function inflatePayload(compressed: Uint8Array): Buffer {
  try {
    return inflateRawSync(compressed, { maxOutputLength: MAX_FRAME_BYTES });
  } catch (cause) {
    if (cause instanceof RangeError) {
      throw new FrameError(
        'inflated-oversized',
        `inflated payload exceeds ${MAX_FRAME_BYTES} bytes`,
        { cause },
      );
    }
    throw new FrameError('malformed', 'payload is not valid deflate data', { cause });
  }
}
