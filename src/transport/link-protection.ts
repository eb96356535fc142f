/**
 * Protection of the frames after the handshake. On a link without TLS, every body is sealed with
 * AES-256-GCM under the session key, with a tag of eight bytes and the frame's sequence number in the
 * nonce. An attacker on the network path can't read, modify, inject, replay or reorder frames. A single
 * failure closes the link, which allows only one guess of a tag per link. TLS provides this protection
 * itself.
 */
import { createCipheriv, createDecipheriv } from 'node:crypto';
import { FrameError } from '../wire/frame-error.js';
import { LENGTH_PREFIX_BYTES } from '../wire/frame-reader.js';
import { SESSION_VECTOR_BYTES, type DirectionKeys } from './handshake-proof.js';

/** Size of the authentication tag that sealing adds to each frame, in bytes. */
export const TAG_BYTES = 8;

const CIPHER = 'aes-256-gcm';
const SEQUENCE_OFFSET = SESSION_VECTOR_BYTES - 8;

/** Seals outgoing frames and opens incoming ones. */
export interface LinkProtection {
  /** Seals a complete frame including its length prefix. */
  seal(frame: Buffer): Buffer;
  /** Returns the body as it was before sealing. Throws {@link FrameError} `forged`. */
  open(body: Buffer): Buffer;
}

/** For links over TLS: frames are not changed. */
export const PROTECTED_BY_TLS: LinkProtection = {
  seal: (frame) => frame,
  open: (body) => body,
};

/** Protection with session keys. */
export class SealedLink implements LinkProtection {
  private sent = 0n;
  private received = 0n;

  constructor(
    private readonly sendKeys: DirectionKeys,
    private readonly receiveKeys: DirectionKeys,
  ) {}

  seal(frame: Buffer): Buffer {
    const nonce = frameNonce(this.sendKeys.vector, this.sent);
    this.sent += 1n;
    const options = { authTagLength: TAG_BYTES };
    const cipher = createCipheriv(CIPHER, this.sendKeys.key, nonce, options);
    const body = cipher.update(frame.subarray(LENGTH_PREFIX_BYTES));
    cipher.final();
    const prefix = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES);
    prefix.writeUIntBE(body.length + TAG_BYTES, 0, LENGTH_PREFIX_BYTES);
    return Buffer.concat([prefix, body, cipher.getAuthTag()]);
  }

  open(body: Buffer): Buffer {
    if (body.length < TAG_BYTES) {
      throw new FrameError('forged', 'no tag');
    }
    const nonce = frameNonce(this.receiveKeys.vector, this.received);
    this.received += 1n;
    const options = { authTagLength: TAG_BYTES };
    const decipher = createDecipheriv(CIPHER, this.receiveKeys.key, nonce, options);
    decipher.setAuthTag(body.subarray(body.length - TAG_BYTES));
    const plain = decipher.update(body.subarray(0, body.length - TAG_BYTES));
    try {
      decipher.final();
    } catch (cause) {
      throw new FrameError('forged', 'tag does not match', { cause });
    }
    return plain;
  }
}

/** The vector XORed with the frame's sequence number, as in TLS 1.3. */
function frameNonce(vector: Buffer, sequence: bigint): Buffer {
  const nonce = Buffer.from(vector);
  const low = nonce.readBigUInt64BE(SEQUENCE_OFFSET);
  nonce.writeBigUInt64BE(low ^ sequence, SEQUENCE_OFFSET);
  return nonce;
}
