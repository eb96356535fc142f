/**
 * Codec of the peer protocol: encodes messages into frames and decodes them. A frame consists of a three-byte
 * length, a head (`frame-head.ts`) and a payload with a layout from `message-layouts.ts`. Large payloads are
 * compressed where that makes them smaller.
 */
import { DecodeStream, EncodeStream, type FieldType } from 'restructure';
import { FrameError } from './frame-error.js';
import { decodeHead, encodeHead, HEAD_BYTES } from './frame-head.js';
import { FrameReader, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES } from './frame-reader.js';
import type { PeerMessage } from './message.js';
import {
  FIRST_EXTENDED_TYPE_NUMBER,
  MESSAGE_LAYOUTS,
  MESSAGE_TYPE_NUMBERS,
  MESSAGE_TYPES,
  type PeerMessageType,
} from './message-layouts.js';
import {
  COMPRESSION_THRESHOLD_BYTES,
  compressPayload,
  inflatePayload,
} from './payload-compression.js';

/** Size of an extended type number, in bytes. */
const EXTENSION_BYTES = 1;
const FRAME_HEADER_BYTES = LENGTH_PREFIX_BYTES + HEAD_BYTES;

/** Encodes a message as a frame. Throws {@link FrameError} `oversized`, or `malformed` for invalid values. */
export function encodeMessage(message: PeerMessage): Buffer {
  const typeNumber = MESSAGE_TYPE_NUMBERS[message.type];
  const headNumber = Math.min(typeNumber, FIRST_EXTENDED_TYPE_NUMBER);
  const frame = encodeFrame(headNumber, layoutOf(message.type), message);
  return isCompressible(message, frame.length) ? compressFrame(frame, message.type) : frame;
}

/** Size of {@link encodeMessage}'s frame, without the authentication tag and TLS record overhead of the link. */
export function encodedSize(message: PeerMessage): number {
  const layout = layoutOf(message.type) as FieldType<PeerMessage>;
  const plainBytes = FRAME_HEADER_BYTES + layout.size(message);
  return isCompressible(message, plainBytes) ? encodeMessage(message).length : plainBytes;
}

/** Decodes a frame's body. Throws {@link FrameError}. The message does not reference the body's memory. */
export function decodeMessage(body: Uint8Array): PeerMessage {
  const head = decodeHead(body);
  const payload = body.subarray(HEAD_BYTES);
  const plain = head.compressed ? inflatePayload(payload) : payload;
  const typeNumber = typeNumberOf(head.typeNumber, plain);
  const type = MESSAGE_TYPES.find((name) => MESSAGE_TYPE_NUMBERS[name] === typeNumber);
  if (type === undefined) {
    throw new FrameError('unknown-type', `type number ${typeNumber}`);
  }
  const layout = layoutOf(type) as FieldType<object>;
  const message = { type, ...decodeExact(layout, plain) } as PeerMessage;
  checkMessage(message);
  return message;
}

function typeNumberOf(headNumber: number, payload: Uint8Array): number {
  return headNumber < FIRST_EXTENDED_TYPE_NUMBER
    ? headNumber
    : FIRST_EXTENDED_TYPE_NUMBER + (payload[0] ?? NaN);
}

function layoutOf(type: PeerMessageType): FieldType<never> {
  const layout = MESSAGE_LAYOUTS[type] as FieldType<never>;
  const typeNumber = MESSAGE_TYPE_NUMBERS[type];
  return typeNumber < FIRST_EXTENDED_TYPE_NUMBER
    ? layout
    : extendedLayout(typeNumber - FIRST_EXTENDED_TYPE_NUMBER, layout);
}

/** Adds the type number to the payload. Decoding skips it, because the type is resolved beforehand. */
function extendedLayout<T>(extension: number, layout: FieldType<T>): FieldType<T> {
  return {
    size: (value) => EXTENSION_BYTES + layout.size(value),
    encode(stream, value) {
      stream.writeUInt8(extension);
      layout.encode(stream, value);
    },
    decode(stream) {
      stream.pos += EXTENSION_BYTES;
      return layout.decode(stream);
    },
  };
}

/** Encodes a value of any layout as a frame: length, head and uncompressed payload. */
export function encodeFrame<T>(typeNumber: number, layout: FieldType<T>, value: T): Buffer {
  const bodyBytes = HEAD_BYTES + layout.size(value);
  if (bodyBytes > MAX_FRAME_BYTES) {
    throw new FrameError(
      'oversized',
      `body of ${bodyBytes} bytes exceeds the limit of ${MAX_FRAME_BYTES}`,
    );
  }
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + bodyBytes);
  writeHeader(frame, encodeHead({ typeNumber, compressed: false }));
  layout.encode(new EncodeStream(frame.subarray(FRAME_HEADER_BYTES)), value);
  return frame;
}

/** Decodes a payload and throws {@link FrameError} `malformed` unless every byte is consumed. */
export function decodeExact<T>(layout: FieldType<T>, payload: Uint8Array): T {
  const stream = new DecodeStream(payload);
  let value: T;
  try {
    value = layout.decode(stream);
  } catch (cause) {
    if (cause instanceof FrameError) {
      throw cause;
    }
    throw new FrameError('malformed', 'payload ends inside a field', { cause });
  }
  if (stream.pos !== stream.length) {
    throw new FrameError('malformed', `${stream.length - stream.pos} bytes after the last field`);
  }
  return value;
}

/** Decodes messages from a byte stream. After an error, the stream cannot be decoded any further. */
export class FrameDecoder {
  private readonly reader = new FrameReader();

  /** Returns the messages that `chunk` completes. Throws {@link FrameError}. */
  push(chunk: Buffer): PeerMessage[] {
    this.reader.push(chunk);
    const messages: PeerMessage[] = [];
    for (let body = this.reader.next(); body !== undefined; body = this.reader.next()) {
      messages.push(decodeMessage(body));
    }
    return messages;
  }

  /** Must be called when the stream ends; throws {@link FrameError} `truncated` inside a frame. */
  finish(): void {
    this.reader.finish();
  }
}

function isCompressible(message: PeerMessage, frameBytes: number): boolean {
  return (
    (message.type === 'delta' || message.type === 'snapshot-chunk') &&
    frameBytes > COMPRESSION_THRESHOLD_BYTES
  );
}

function compressFrame(frame: Buffer, type: PeerMessageType): Buffer {
  const compressed = compressPayload(frame.subarray(FRAME_HEADER_BYTES));
  if (compressed === undefined) {
    return frame;
  }
  const compressedFrame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + compressed.length);
  writeHeader(
    compressedFrame,
    encodeHead({ typeNumber: MESSAGE_TYPE_NUMBERS[type], compressed: true }),
  );
  compressedFrame.set(compressed, FRAME_HEADER_BYTES);
  return compressedFrame;
}

function writeHeader(frame: Buffer, head: number): void {
  frame.writeUIntBE(frame.length - LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES);
  frame[LENGTH_PREFIX_BYTES] = head;
}

/** Checks constraints that a layout cannot express. */
function checkMessage(message: PeerMessage): void {
  if (message.type === 'snapshot-chunk' && message.index >= message.count) {
    throw new FrameError(
      'malformed',
      `chunk index ${message.index} with a count of ${message.count}`,
    );
  }
}
