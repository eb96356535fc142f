/** Compression of large payloads: raw deflate, with a bound on what a payload may inflate to. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { FrameError } from './frame-error.js';
import { MAX_FRAME_BYTES } from './frame-reader.js';

/** Payloads up to this size are sent as they are, in bytes. */
export const COMPRESSION_THRESHOLD_BYTES = 512;

/** The compressed payload, or undefined when it would not be smaller. */
export function compressPayload(payload: Uint8Array): Buffer | undefined {
  const compressed = deflateRawSync(payload);
  return compressed.length < payload.length ? compressed : undefined;
}

/**
 * The payload as it was before compression. Throws {@link FrameError} `inflated-oversized` as soon as
 * the output passes {@link MAX_FRAME_BYTES}, or `malformed`.
 */
export function inflatePayload(compressed: Uint8Array): Buffer {
  try {
    return inflateRawSync(compressed, { maxOutputLength: MAX_FRAME_BYTES });
  } catch (cause) {
    if (cause instanceof RangeError) {
      throw new FrameError('inflated-oversized', `more than ${MAX_FRAME_BYTES} bytes`, { cause });
    }
    throw new FrameError('malformed', 'payload does not inflate', { cause });
  }
}
