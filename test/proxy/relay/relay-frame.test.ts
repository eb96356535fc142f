/** Tests of encoding and decoding relay frames, including malformed ones. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  decodeRelayFrame,
  encodeRelayFrame,
  type RelayFrame,
} from '../../../src/proxy/relay/relay-frame.js';
import { FrameError } from '../../../src/wire/frame-error.js';
import { LENGTH_PREFIX_BYTES } from '../../../src/wire/frame-reader.js';

const count = fc.nat();
const shortText = fc.string({ maxLength: 60 });
const bytes = fc.uint8Array({ maxLength: 200 }).map((list) => Buffer.from(list));
const optionalMs = fc.option(fc.integer({ min: -1e6, max: 1e6 }), { nil: undefined });
const headers = fc.array(fc.stringMatching(/^[a-zA-Z0-9-]{1,12}$/), { minLength: 2, maxLength: 8 });
const load = {
  inFlight: count,
  slots: count,
  isDraining: fc.boolean(),
  isNodeStopping: fc.boolean(),
  leavingIncarnation: shortText,
  failedPercent: fc.integer({ min: 0, max: 100 }),
  serviceMs: fc.option(fc.integer({ min: 0, max: 1_000_000 }), { nil: undefined }),
  maxRatePerKs: fc.option(fc.integer({ min: -1, max: 1e12 }), { nil: undefined }),
  slownessPercent: fc.option(fc.integer({ min: 1, max: 10_000 }), { nil: undefined }),
  slownessAgeMs: count,
};

const frames: fc.Arbitrary<RelayFrame> = fc.oneof(
  fc.record({
    kind: fc.constant('request' as const),
    streamId: count,
    sentAtMs: count,
    requestId: shortText,
    service: shortText,
    endpoint: shortText,
    method: shortText,
    target: shortText,
    headers,
    remainingMs: count,
    retriesLeft: count,
    priority: count,
    workClass: shortText,
    targetLeftMs: optionalMs,
    startLeftMs: optionalMs,
    knownMaxRatePerKs: fc.option(fc.integer({ min: -1, max: 1e12 }), { nil: undefined }),
    bodyForm: fc.constantFrom(
      'none' as const,
      'held' as const,
      'sized' as const,
      'chunked' as const,
    ),
    bodyBytes: count,
    slotWishLeftMs: optionalMs,
    offerId: fc.option(count, { nil: undefined }),
    bytes,
  }),
  fc.record({
    kind: fc.constant('answer' as const),
    streamId: count,
    status: count,
    headers,
    ...load,
    bodyMs: count,
    queueMs: count,
    endpointMs: count,
    contentLengthBytes: fc.option(count, { nil: undefined }),
    isHeld: fc.boolean(),
    bytes,
  }),
  fc.record({
    kind: fc.constant('failure' as const),
    streamId: count,
    code: shortText,
    status: count,
    verdict: fc.constantFrom('not-run' as const, 'may-have-run' as const, 'ran' as const),
    isRetryable: fc.boolean(),
    retryAfterMs: fc.option(count, { nil: undefined }),
    slotWaitMs: fc.option(count, { nil: undefined }),
    ...load,
  }),
  fc.record({
    kind: fc.constant('body' as const),
    streamId: count,
    isLast: fc.boolean(),
    bytes,
  }),
  fc.record({ kind: fc.constant('credit' as const), streamId: count, creditBytes: count }),
  fc.record({
    kind: fc.constant('free-slots' as const),
    service: shortText,
    incarnation: shortText,
    freeSlots: count,
    slownessPercent: load.slownessPercent,
    slownessAgeMs: count,
  }),
  fc.record({ kind: fc.constant('cancel' as const), streamId: count }),
  fc.record({
    kind: fc.constantFrom('ping' as const, 'acknowledgement' as const),
    pingSentAtMs: count,
  }),
  fc.record({ kind: fc.constant('cancel-attempt' as const), requestId: shortText }),
  fc.record({
    kind: fc.constantFrom('slot-offer' as const, 'slot-decline' as const),
    offerId: count,
    service: shortText,
    endpoint: shortText,
  }),
);

/** The frame without undefined fields. */
function defined(frame: RelayFrame): unknown {
  return Object.fromEntries(Object.entries(frame).filter(([, value]) => value !== undefined));
}

describe('relay frames', () => {
  it('round-trip through encoding and decoding', () => {
    fc.assert(
      fc.property(frames, (frame) => {
        const encoded = encodeRelayFrame(frame);
        expect(encoded.readUIntBE(0, LENGTH_PREFIX_BYTES)).to.equal(
          encoded.length - LENGTH_PREFIX_BYTES,
        );
        expect(decodeRelayFrame(encoded.subarray(LENGTH_PREFIX_BYTES))).to.deep.equal(
          defined(frame),
        );
      }),
      { numRuns: 300, seed: 24 },
    );
  });

  it('reject a request ID longer than 256 bytes', () => {
    const [request] = fc.sample(
      frames.filter(({ kind }) => kind === 'request'),
      { numRuns: 1, seed: 1 },
    );
    const withId = (length: number): RelayFrame =>
      ({ ...request, requestId: 'x'.repeat(length) }) as RelayFrame;
    expect(() => encodeRelayFrame(withId(256))).to.not.throw();
    expect(() => encodeRelayFrame(withId(257))).to.throw(FrameError);
  });

  it('are rejected if they are truncated or of an unknown kind', () => {
    fc.assert(
      fc.property(frames, fc.nat({ max: 400 }), (frame, cut) => {
        const body = encodeRelayFrame(frame).subarray(LENGTH_PREFIX_BYTES);
        const shortened = body.subarray(0, Math.min(cut, body.length));
        try {
          decodeRelayFrame(shortened);
        } catch (err) {
          expect(err).to.be.instanceOf(FrameError);
        }
      }),
      { numRuns: 300, seed: 25 },
    );
    expect(() => decodeRelayFrame(Buffer.from([11]))).to.throw(FrameError);
    expect(() => decodeRelayFrame(Buffer.alloc(0))).to.throw(FrameError);
  });
});
