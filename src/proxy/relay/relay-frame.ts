/**
 * Frames of the relay protocol between the caller's node and the endpoint's node. Requests are multiplexed over
 * one connection and identified by `streamId`. A frame consists of a three-byte length, a one-byte kind, and the
 * fields in the order of its layout.
 */
import { DecodeStream, EncodeStream, type FieldType } from 'restructure';
import type { Verdict } from '../../model/verdict.js';
import { FrameError } from '../../wire/frame-error.js';
import { LENGTH_PREFIX_BYTES } from '../../wire/frame-reader.js';
import { oneOf, PlainStruct, shortText, text, varint } from '../../wire/field-types.js';
import type { HeaderList } from '../headers.js';
import type { SlotOffer } from '../waiting/slot-offer.js';

/**
 * - `none`: the message has no body.
 * - `held`: the frame contains the whole body.
 * - `sized`: body frames follow; their total length is known.
 * - `chunked`: body frames follow; their total length is unknown.
 */
export type BodyForm = 'none' | 'held' | 'sized' | 'chunked';

/** Starts a request. Remaining times are in milliseconds from `sentAtMs`. */
export interface RequestFrame {
  readonly kind: 'request';
  readonly streamId: number;
  /** On the sender's monotonic clock; used to estimate the transit delay. */
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
  /** Time until the answer should arrive; negative if it has passed. */
  readonly targetLeftMs: number | undefined;
  /** Time until the endpoint should have started on the request. */
  readonly startLeftMs: number | undefined;
  /** Rate limit of the endpoint that the sender knows, in requests per 1,000 s. */
  readonly knownMaxRatePerKs: number | undefined;
  readonly bodyForm: BodyForm;
  /** Length of a `sized` body; 0 for other forms. */
  readonly bodyBytes: number;
  /** Time for which the request would wait for a slot after a refusal for lack of capacity; undefined for none. */
  readonly slotWishLeftMs: number | undefined;
  /** The offered slot that the request is sent for; undefined if there is none. */
  readonly offerId: number | undefined;
  readonly bytes: Buffer;
}

/** Load of the endpoint, reported by its node. */
export interface FrameLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly isDraining: boolean;
  readonly isNodeStopping: boolean;
  /**
   * The incarnation of the endpoint, if it has stated that it leaves; empty otherwise. The sender of the request may
   * know another incarnation under the same name.
   */
  readonly leavingIncarnation: string;
  readonly failedPercent: number;
  /** Mean service time of the request's work class at the endpoint; undefined before the first measurement. */
  readonly serviceMs: number | undefined;
  /** Rate limit that the endpoint has stated, in requests per 1,000 s; {@link UNLIMITED_RATE} for none. */
  readonly maxRatePerKs: number | undefined;
  /** How long work takes, in percent of usual; undefined if the endpoint does not report it. */
  readonly slownessPercent: number | undefined;
  /** Time since the endpoint reported it; 0 without a report. */
  readonly slownessAgeMs: number;
}

/** Value of {@link FrameLoad.maxRatePerKs} for an endpoint that has stated that it has no limit. */
export const UNLIMITED_RATE = -1;

/** Head of an answer, with its body if `isHeld`. */
export interface AnswerFrame extends FrameLoad {
  readonly kind: 'answer';
  readonly streamId: number;
  readonly status: number;
  readonly headers: HeaderList;
  /** Times of the request at the endpoint's node, in milliseconds; 0 if they are not known. */
  readonly bodyMs: number;
  readonly queueMs: number;
  readonly endpointMs: number;
  /** Declared length of the body; undefined if it is chunked. */
  readonly contentLengthBytes: number | undefined;
  /** Whether the frame contains the whole body; otherwise body frames follow. */
  readonly isHeld: boolean;
  readonly bytes: Buffer;
}

/** The attempt failed; no further frames follow. */
export interface FailureFrame extends FrameLoad {
  readonly kind: 'failure';
  readonly streamId: number;
  readonly code: string;
  readonly status: number;
  readonly verdict: Verdict;
  readonly isRetryable: boolean;
  readonly retryAfterMs: number | undefined;
  /** Expected time until the node offers a slot of the endpoint; undefined if it will not. */
  readonly slotWaitMs: number | undefined;
}

/** Part of the body of a request or an answer. */
export interface BodyFrame {
  readonly kind: 'body';
  readonly streamId: number;
  readonly isLast: boolean;
  readonly bytes: Buffer;
}

/** Grants the sender of a body flow-control credit. */
export interface CreditFrame {
  readonly kind: 'credit';
  readonly streamId: number;
  readonly creditBytes: number;
}

/** The request is cancelled, or the answer is aborted. */
export interface CancelFrame {
  readonly kind: 'cancel';
  readonly streamId: number;
}

/** Cancels an attempt whose request was sent on another connection to the same node. */
export interface CancelAttemptFrame {
  readonly kind: 'cancel-attempt';
  readonly requestId: string;
}

/** A slot of an endpoint is free for a request that waits at the receiver's node. */
export interface SlotOfferFrame extends SlotOffer {
  readonly kind: 'slot-offer';
}

/** No request waits for the offered slot. */
export interface SlotDeclineFrame extends SlotOffer {
  readonly kind: 'slot-decline';
}

/** Liveness check, acknowledged immediately. */
export interface PingFrame {
  readonly kind: 'ping';
  /** On the sender's monotonic clock, in whole milliseconds; returned in the acknowledgement. */
  readonly pingSentAtMs: number;
}

/** Acknowledges a {@link PingFrame}. */
export interface AcknowledgementFrame {
  readonly kind: 'acknowledgement';
  readonly pingSentAtMs: number;
}

/** Announces free slots of an endpoint that the sender of the frame owns. */
export interface FreeSlotsFrame {
  readonly kind: 'free-slots';
  readonly service: string;
  /** See {@link ../../model/incarnation.ts}. */
  readonly incarnation: string;
  readonly freeSlots: number;
  /** As in {@link FrameLoad}. */
  readonly slownessPercent: number | undefined;
  readonly slownessAgeMs: number;
}

/** A frame that belongs to one request. */
export type StreamFrame =
  RequestFrame | AnswerFrame | FailureFrame | BodyFrame | CreditFrame | CancelFrame;

/** Any frame of the protocol. */
export type RelayFrame =
  | StreamFrame
  | CancelAttemptFrame
  | PingFrame
  | AcknowledgementFrame
  | FreeSlotsFrame
  | SlotOfferFrame
  | SlotDeclineFrame;

/** Frame kinds, indexed by their number on the wire; positions must never change. */
const KINDS = [
  'request',
  'answer',
  'failure',
  'body',
  'credit',
  'cancel',
  'ping',
  'acknowledgement',
  'cancel-attempt',
  'free-slots',
  'slot-offer',
  'slot-decline',
] as const;
const KIND_BYTES = 1;
/** Allows for a head of 64 KiB whose bytes each take two in UTF-8, and for fields that nodes add to it. */
const MAX_TEXT_BYTES = 256 * 1024;
const MAX_REQUEST_ID_BYTES = 256;
/** Header names and values contain no line breaks. */
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

/** An integer that may be negative or absent. */
const optionalInteger: FieldType<number | undefined> = {
  size: (value) => varint.size(foldSign(value)),
  encode: (stream, value) => varint.encode(stream, foldSign(value)),
  decode: (stream) => unfoldSign(varint.decode(stream)),
};

/** Maps absent to 0, non-negative integers to odd numbers and negative ones to even numbers. */
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

/** The remaining bytes of the frame. They are copied because the frame's memory is reused. */
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
  leavingIncarnation: shortText,
  failedPercent: varint,
  serviceMs: optionalInteger,
  maxRatePerKs: optionalInteger,
  slownessPercent: optionalInteger,
  slownessAgeMs: varint,
};

const slotFields = { offerId: varint, service: longText, endpoint: shortText };

type Layout<F extends RelayFrame> = FieldType<Omit<F, 'kind'>>;

const LAYOUTS: { readonly [K in RelayFrame['kind']]: Layout<Extract<RelayFrame, { kind: K }>> } = {
  request: new PlainStruct({
    streamId: varint,
    sentAtMs: varint,
    requestId: text(MAX_REQUEST_ID_BYTES),
    service: longText,
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
    knownMaxRatePerKs: optionalInteger,
    bodyForm,
    bodyBytes: varint,
    slotWishLeftMs: optionalInteger,
    offerId: optionalInteger,
    bytes: remainingBytes,
  }),
  answer: new PlainStruct({
    streamId: varint,
    status: varint,
    headers: headerList,
    ...loadFields,
    bodyMs: varint,
    queueMs: varint,
    endpointMs: varint,
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
    slotWaitMs: optionalInteger,
  }),
  body: new PlainStruct({ streamId: varint, isLast: flag, bytes: remainingBytes }),
  credit: new PlainStruct({ streamId: varint, creditBytes: varint }),
  cancel: new PlainStruct({ streamId: varint }),
  ping: new PlainStruct({ pingSentAtMs: varint }),
  acknowledgement: new PlainStruct({ pingSentAtMs: varint }),
  'cancel-attempt': new PlainStruct({ requestId: text(MAX_REQUEST_ID_BYTES) }),
  'free-slots': new PlainStruct({
    service: longText,
    incarnation: longText,
    freeSlots: varint,
    slownessPercent: optionalInteger,
    slownessAgeMs: varint,
  }),
  'slot-offer': new PlainStruct(slotFields),
  'slot-decline': new PlainStruct(slotFields),
};

/** Encodes a frame with its length prefix. Throws {@link FrameError} if a value does not fit its field. */
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

/** Decodes a frame body as returned by {@link FrameReader}. Throws {@link FrameError} if it is malformed. */
export function decodeRelayFrame(body: Uint8Array): RelayFrame {
  const kind = KINDS[body[0] ?? KINDS.length];
  if (kind === undefined) {
    throw new FrameError('unknown-type', `unknown relay frame kind ${body[0]}`);
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
      throw new FrameError('malformed', 'relay frame ends inside a field', { cause: err });
    }
    throw err;
  }
}
