import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { expect } from 'chai';
import fc from 'fast-check';
import { decodeMessage, encodedSize, encodeMessage, FrameDecoder } from '../../src/wire/codec.js';
import { FrameError, type FrameErrorCode } from '../../src/wire/frame-error.js';
import { encodeHead } from '../../src/wire/frame-head.js';
import { FrameReader, MAX_FRAME_BYTES } from '../../src/wire/frame-reader.js';
import type { PeerMessage } from '../../src/wire/message.js';
import { MESSAGE_TYPE_NUMBERS, MESSAGE_TYPES } from '../../src/wire/message-layouts.js';
import { arbitraryMessage, HEARTBEAT, sampleChunk } from './message-arbitraries.js';

const PROPERTY = { seed: 4_711, numRuns: 100 };

function errorCode(action: () => unknown): FrameErrorCode | undefined {
  try {
    action();
    return undefined;
  } catch (error) {
    if (error instanceof FrameError) {
      return error.code;
    }
    throw error;
  }
}

function frame(body: Buffer): Buffer {
  const prefix = Buffer.alloc(3);
  prefix.writeUIntBE(body.length, 0, 3);
  return Buffer.concat([prefix, body]);
}

function head(type: number, compressed = false): Buffer {
  return Buffer.from([encodeHead({ typeNumber: type, compressed })]);
}

function bodyOf(message: PeerMessage): Buffer {
  return Buffer.from(encodeMessage(message).subarray(3));
}

describe('codec', () => {
  for (const type of MESSAGE_TYPES) {
    it(`decodes every encoded ${type}, also when split into chunks, and computes its size`, () => {
      fc.assert(
        fc.property(arbitraryMessage(type), fc.infiniteStream(fc.nat(400)), (message, cuts) => {
          const bytes = encodeMessage(message);
          expect(encodedSize(message)).to.equal(bytes.length);
          expect(decodeMessage(bytes.subarray(3))).to.deep.equal(message);
          expect(decodeInPieces(Buffer.concat([bytes, bytes]), cuts)).to.deep.equal([
            message,
            message,
          ]);
        }),
        PROPERTY,
      );
    });
  }

  it('throws only FrameError for arbitrary bytes', () => {
    const damaged = fc
      .tuple(fc.constantFrom(...MESSAGE_TYPES), fc.context())
      .chain(([type]) => fc.tuple(arbitraryMessage(type), fc.nat(200), fc.nat(255)));
    fc.assert(
      fc.property(damaged, fc.uint8Array({ maxLength: 60 }), ([message, at, byte], noise) => {
        const body = bodyOf(message);
        body[at % body.length] = byte;
        errorCode(() => decodeMessage(body));
        errorCode(() => decodeMessage(body.subarray(0, at % body.length)));
        errorCode(() => new FrameDecoder().push(Buffer.from(noise)));
      }),
      { ...PROPERTY, numRuns: 2_000 },
    );
  });

  it('encodes a heartbeat in 12 bytes', () => {
    expect(encodeMessage(HEARTBEAT)).to.have.length(12);
  });

  it('compresses a large snapshot chunk', () => {
    const plain = bodyOf({ ...sampleChunk(1), entries: [] } as PeerMessage);
    const large = sampleChunk(100);
    expect(plain[0]).to.equal(head(4)[0]);
    expect(bodyOf(large)[0]).to.equal(head(4, true)[0]);
    expect(encodedSize(large) * 4).to.be.below(JSON.stringify(large).length);
  });

  it('rounds a fraction of a millisecond up', () => {
    const refusal = { type: 'fetch-refused', document: 'source', retryAfterMs: 1.2 } as const;
    expect(decodeMessage(bodyOf(refusal))).to.deep.equal({ ...refusal, retryAfterMs: 2 });
  });

  const bomb = deflateRawSync(Buffer.alloc(MAX_FRAME_BYTES + 1));
  const invalidUtf8 = Buffer.from([1, 0xff]);
  const longNumber = Buffer.alloc(9, 0xff);
  const unsafeNumber = Buffer.from([0, ...Buffer.alloc(7, 0xff), 0x7f]);
  const identity = { id: 'a', incarnation: 1, address: '10.0.0.1', zone: 'z', region: 'r' };
  const members: PeerMessage = {
    type: 'members',
    updates: [{ member: { ...identity, controlPort: 1, relayPort: 2 }, status: 'alive' }],
  };
  const invalidStatus = bodyOf(members);
  invalidStatus[invalidStatus.length - 1] = 9;
  const chunk = { ...sampleChunk(0), index: 0, count: 1 } as PeerMessage;
  const invalidIndex = bodyOf(chunk);
  invalidIndex[invalidIndex.length - 3] = 1;

  const faults: readonly [string, Buffer, FrameErrorCode][] = [
    ['HTTP request', Buffer.from('GET / HTTP/1.1\r\n\r\n'), 'oversized'],
    ['frame one byte over the limit', Buffer.from([0x10, 0x00, 0x01]), 'oversized'],
    ['maximum length prefix', Buffer.alloc(64, 0xff), 'oversized'],
    ['empty frame', Buffer.alloc(3), 'malformed'],
    ['version 0', frame(Buffer.from([0x00])), 'wrong-version'],
    ['next version', frame(Buffer.from([0x40, ...Buffer.alloc(8)])), 'wrong-version'],
    ['extended type without a number', frame(head(15)), 'unknown-type'],
    [
      'unassigned extended type number',
      frame(Buffer.concat([head(15), Buffer.from([1])])),
      'unknown-type',
    ],
    ['largest type number', frame(Buffer.concat([head(15), Buffer.from([255])])), 'unknown-type'],
    ['truncated payload', frame(bodyOf(HEARTBEAT).subarray(0, 5)), 'malformed'],
    ['payload too long', frame(Buffer.concat([bodyOf(HEARTBEAT), head(0)])), 'malformed'],
    ['more items than bytes', frame(Buffer.concat([head(6), longNumber.fill(0x7f)])), 'malformed'],
    ['number of nine bytes', frame(Buffer.concat([head(5), Buffer.alloc(10, 0x80)])), 'malformed'],
    ['number above 2^53', frame(Buffer.concat([head(5), unsafeNumber])), 'malformed'],
    ['text that is not UTF-8', frame(Buffer.concat([head(9), invalidUtf8])), 'malformed'],
    ['unknown document', frame(Buffer.concat([head(5), Buffer.from([3, 0])])), 'malformed'],
    ['unknown status', frame(invalidStatus), 'malformed'],
    ['chunk index beyond the count', frame(invalidIndex), 'malformed'],
    ['invalid deflate data', frame(Buffer.concat([head(3, true), longNumber])), 'malformed'],
    [
      'replication body with invalid JSON',
      frame(Buffer.concat([head(11), Buffer.from('\x01{')])),
      'malformed',
    ],
    [
      'replication body without a type',
      frame(Buffer.concat([head(11), Buffer.from('\x02{}')])),
      'malformed',
    ],
    ['inflated over the limit', frame(Buffer.concat([head(3, true), bomb])), 'inflated-oversized'],
  ];
  for (const [name, bytes, code] of faults) {
    it(`rejects: ${name}`, () => {
      expect(errorCode(() => new FrameDecoder().push(bytes))).to.equal(code);
    });
  }

  it('detects a stream that ends inside a frame', () => {
    const encoded = encodeMessage(HEARTBEAT);
    for (let length = 0; length <= encoded.length; length += 1) {
      const decoder = new FrameDecoder();
      decoder.push(encoded.subarray(0, length));
      const expected = length % encoded.length === 0 ? undefined : 'truncated';
      expect(
        errorCode(() => {
          decoder.finish();
        }),
      ).to.equal(expected);
    }
  });

  const unencodable: readonly [string, PeerMessage, FrameErrorCode][] = [
    ['too large', bigRejection(MAX_FRAME_BYTES), 'oversized'],
    [
      'negative number',
      { type: 'lease-request', slot: 's', round: -1, durationMs: 1 },
      'malformed',
    ],
    [
      'infinite duration',
      { type: 'lease-request', slot: 's', round: 1, durationMs: Infinity },
      'malformed',
    ],
    ['invalid digest', { type: 'heartbeat', versionsDigest: 'xyz' }, 'malformed'],
    ['oversized slot', { type: 'lease-release', slot: 's'.repeat(256), round: 1 }, 'malformed'],
  ];
  for (const [name, message, code] of unencodable) {
    it(`refuses to encode: ${name}`, () => {
      expect(errorCode(() => encodeMessage(message))).to.equal(code);
    });
  }

  it('requires an inflation limit: the test payload inflates beyond the frame limit', () => {
    expect(inflateRawSync(bomb).length).to.be.above(MAX_FRAME_BYTES);
    expect(bomb.length).to.be.below(MAX_FRAME_BYTES / 500);
  });

  it('allocates memory only for received bytes when a large frame is declared', () => {
    const before = process.memoryUsage().arrayBuffers;
    const readers = Array.from({ length: 200 }, () => {
      const reader = new FrameReader();
      reader.push(Buffer.from([0x10, 0x00, 0x00]));
      reader.push(Buffer.from([0x20]));
      expect(reader.next()).to.equal(undefined);
      return reader;
    });
    const grown = process.memoryUsage().arrayBuffers - before;
    expect(grown).to.be.below(readers.length * 1_024);
  });
});

function bigRejection(length: number): PeerMessage {
  return {
    type: 'rejection',
    version: { number: 1, digest: '0'.repeat(32) },
    reason: 'x'.repeat(length),
  };
}

function decodeInPieces(bytes: Buffer, cuts: Iterator<number>): PeerMessage[] {
  const decoder = new FrameDecoder();
  const messages: PeerMessage[] = [];
  let start = 0;
  while (start < bytes.length) {
    const end = start + 1 + Number(cuts.next().value);
    messages.push(...decoder.push(Buffer.from(bytes.subarray(start, end))));
    start = end;
  }
  decoder.finish();
  expect(MESSAGE_TYPE_NUMBERS).to.have.any.keys(...messages.map((message) => message.type));
  return messages;
}
