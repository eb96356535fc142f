/**
 * Frames of the relay protocol: what the caller's node and the endpoint's node say to each other of
 * requests. Many requests share one connection; `streamId` tells them apart. A frame is a length of
 * three bytes, a byte for its kind, and the fields in the order of its layout.
 */
import { DecodeStream, EncodeStream, type FieldType } from 'restructure';
import type { Verdict } from '../../model/verdict.js';
import { FrameError } from '../../wire/frame-error.js';
import { LENGTH_PREFIX_BYTES } from '../../wire/frame-reader.js';
import { oneOf, PlainStruct, shortText, text, varint } from '../../wire/field-types.js';
import type { HeaderList } from '../headers.js';

/**
 * - `none`: the message has no body.
 * - `held`: the whole body is in the frame.
 * - `sized`: frames of the body follow, of a known length in all.
 * - `chunked`: frames of the body follow, of an unknown length.
 */
export type BodyForm = 'none' | 'held' | 'sized' | 'chunked';

/** Sends a request. Times left are in milliseconds, counted from `sentAtMs`. */
export interface RequestFrame {
  readonly kind: 'request';
  readonly streamId: number;
  /** On the sender's monotonic clock; shows how long the frame was on its way. */
  readonly sentAtMs: number;
  readonly requestId: string;
  readonly service: string;
  readonly endpoint: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly remainingMs: number;
  readonly retriesLeft: number;
  readonly priority: number;
  readonly workClass: string;
  /** Left until the answer should be there; negative when that has passed. */
  readonly targetLeftMs: number | undefined;
  /** Left until the endpoint should have started. */
  readonly startLeftMs: number | undefined;
  readonly bodyForm: BodyForm;
  /** Length of a `sized` body; 0 for other forms. */
  readonly bodyBytes: number;
  readonly bytes: Buffer;
}

/** What the endpoint's node says of the endpoint's load. */
export interface FrameLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly isDraining: boolean;
  readonly isNodeStopping: boolean;
  readonly failedPercent: number;
  /** Mean time of the request's class of work at the endpoint; undefined before a measurement. */
  readonly serviceMs: number | undefined;
}

/** The head of an answer, and its body where that is `held`. */
export interface AnswerFrame extends FrameLoad {
  readonly kind: 'answer';
  readonly streamId: number;
  readonly status: number;
  readonly headers: HeaderList;
  /** Declared length of the body; undefined for a chunked one. */
  readonly contentLengthBytes: number | undefined;
  /** Whether the whole body is in the frame; otherwise frames of it follow. */
  readonly isHeld: boolean;
  readonly bytes: Buffer;
}

/** The attempt failed; nothing follows. */
export interface FailureFrame extends FrameLoad {
  readonly kind: 'failure';
  readonly streamId: number;
  readonly code: string;
  readonly status: number;
  readonly verdict: Verdict;
  readonly isRetryable: boolean;
  readonly retryAfterMs: number | undefined;
}

/** A part of a request's or an answer's body. */
export interface BodyFrame {
  readonly kind: 'body';
  readonly streamId: number;
  readonly isLast: boolean;
  readonly bytes: Buffer;
}

/** The receiver of a body has room for more of it. */
export interface CreditFrame {
  readonly kind: 'credit';
  readonly streamId: number;
  readonly creditBytes: number;
}

/** The request is given up, or the rest of an answer will not come. */
export interface CancelFrame {
  readonly kind: 'cancel';
  readonly streamId: number;
}

/** Asks for a sign of life, which is given at once. */
export interface PingFrame {
  readonly kind: 'ping';
  /** On the sender's monotonic clock, in whole milliseconds; given back in the answer. */
  readonly pingSentAtMs: number;
}

/** Answers a {@link PingFrame}. */
export interface AcknowledgementFrame {
  readonly kind: 'acknowledgement';
  readonly pingSentAtMs: number;
}

/** A frame of one request. */
export type StreamFrame =
  RequestFrame | AnswerFrame | FailureFrame | BodyFrame | CreditFrame | CancelFrame;

/** One frame. */
export type RelayFrame = StreamFrame | PingFrame | AcknowledgementFrame;

/** Kinds by their numbers on the wire; positions must never change. */
const KINDS = [
  'request',
  'answer',
  'failure',
  'body',
  'credit',
  'cancel',
  'ping',
  'acknowledgement',
] as const;
const KIND_BYTES = 1;
/** Room for a head of 64 KiB whose bytes each take two in UTF-8, and for what nodes add to it. */
const MAX_TEXT_BYTES = 256 * 1024;
const MAX_REQUEST_ID_BYTES = 256;
/** Header names and values hold no line ends, so one separates them. */
const HEADER_SEPARATOR = '\n';

const longText = text(MAX_TEXT_BYTES);
const flag = oneOf([false, true]);
const bodyForm = oneOf<BodyForm>(['none', 'held', 'sized', 'chunked']);

const headerList: FieldType<HeaderList> = {
  size: (headers) => longText.size(headers.join(HEADER_SEPARATOR)),
  encode: (stream, headers) => longText.encode(stream, headers.join(HEADER_SEPARATOR)),
  decode: (stream) => {
    const joined = longText.decode(stream);
    return joined === '' ? [] : joined.split(HEADER_SEPARATOR);
  },
};

/** A whole number that may be negative or absent. */
const optionalInteger: FieldType<number | undefined> = {
  size: (value) => varint.size(foldSign(value)),
  encode: (stream, value) => varint.encode(stream, foldSign(value)),
  decode: (stream) => unfoldSign(varint.decode(stream)),
};

/** 0 stands for none, odd numbers for those from 0 on, even ones for those below. */
function foldSign(value: number | undefined): number {
  if (value === undefined) {
    return 0;
  }
  const integer = Math.round(value);
  return integer >= 0 ? integer * 2 + 1 : -integer * 2;
}

function unfoldSign(folded: number): number | undefined {
  if (folded === 0) {
    return undefined;
  }
  return folded % 2 === 1 ? (folded - 1) / 2 : -folded / 2;
}

/** All that is left of the frame. The bytes are copied: the frame's memory is used again. */
const remainingBytes: FieldType<Buffer> = {
  size: (bytes) => bytes.length,
  encode: (stream, bytes) => {
    stream.buffer.set(bytes, stream.pos);
    stream.pos += bytes.length;
  },
  decode: (stream) => {
    const bytes = Buffer.from(stream.buffer.subarray(stream.pos));
    stream.pos = stream.length;
    return bytes;
  },
};

const loadFields = {
  inFlight: varint,
  slots: varint,
  isDraining: flag,
  isNodeStopping: flag,
  failedPercent: varint,
  serviceMs: optionalInteger,
};

type Layout<F extends RelayFrame> = FieldType<Omit<F, 'kind'>>;

const LAYOUTS: { readonly [K in RelayFrame['kind']]: Layout<Extract<RelayFrame, { kind: K }>> } = {
  request: new PlainStruct({
    streamId: varint,
    sentAtMs: varint,
    requestId: text(MAX_REQUEST_ID_BYTES),
    service: shortText,
    endpoint: shortText,
    method: shortText,
    target: longText,
    headers: headerList,
    remainingMs: varint,
    retriesLeft: varint,
    priority: varint,
    workClass: longText,
    targetLeftMs: optionalInteger,
    startLeftMs: optionalInteger,
    bodyForm,
    bodyBytes: varint,
    bytes: remainingBytes,
  }),
  answer: new PlainStruct({
    streamId: varint,
    status: varint,
    headers: headerList,
    ...loadFields,
    contentLengthBytes: optionalInteger,
    isHeld: flag,
    bytes: remainingBytes,
  }),
  failure: new PlainStruct({
    streamId: varint,
    code: shortText,
    status: varint,
    verdict: oneOf<Verdict>(['not-run', 'may-have-run', 'ran']),
    isRetryable: flag,
    retryAfterMs: optionalInteger,
    ...loadFields,
  }),
  body: new PlainStruct({ streamId: varint, isLast: flag, bytes: remainingBytes }),
  credit: new PlainStruct({ streamId: varint, creditBytes: varint }),
  cancel: new PlainStruct({ streamId: varint }),
  ping: new PlainStruct({ pingSentAtMs: varint }),
  acknowledgement: new PlainStruct({ pingSentAtMs: varint }),
};

/** The bytes of a frame, its length among them. Throws {@link FrameError} for bad values. */
export function encodeRelayFrame(frame: RelayFrame): Buffer {
  const layout = LAYOUTS[frame.kind] as FieldType<RelayFrame>;
  const bodyBytes = KIND_BYTES + layout.size(frame);
  const bytes = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + bodyBytes);
  bytes.writeUIntBE(bodyBytes, 0, LENGTH_PREFIX_BYTES);
  bytes.writeUInt8(KINDS.indexOf(frame.kind), LENGTH_PREFIX_BYTES);
  const stream = new EncodeStream(bytes);
  stream.pos = LENGTH_PREFIX_BYTES + KIND_BYTES;
  layout.encode(stream, frame);
  return bytes;
}

/** Reads a frame's body, as {@link FrameReader} cuts it. Throws {@link FrameError}. */
export function decodeRelayFrame(body: Uint8Array): RelayFrame {
  const kind = KINDS[body[0] ?? KINDS.length];
  if (kind === undefined) {
    throw new FrameError('unknown-type', `relay frame of kind ${body[0]}`);
  }
  const stream = new DecodeStream(body);
  stream.pos = KIND_BYTES;
  return { kind, ...decodeFields(LAYOUTS[kind], stream) } as RelayFrame;
}

function decodeFields(layout: FieldType<object>, stream: DecodeStream): object {
  try {
    return layout.decode(stream);
  } catch (err) {
    if (err instanceof RangeError) {
      throw new FrameError('malformed', 'the frame ends inside a field', { cause: err });
    }
    throw err;
  }
}
