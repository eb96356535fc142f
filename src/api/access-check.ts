/** Access control of the resource API: bearer tokens, compared in constant time. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { ApiError } from './api-error.js';

const BEARER_PATTERN = /^bearer +([\x21-\x7e]+)$/i;

/** Throws {@link ApiError} if `authorization` does not permit the request. */
export type AccessCheck = (authorization: string | undefined, writes: boolean) => void;

/**
 * If an admin token is set, every request must present it. Without one, all reads are allowed and all
 * writes are refused.
 */
export function createAccessCheck(adminToken: string | undefined): AccessCheck {
  if (adminToken === undefined) {
    return refuseWrites;
  }
  const expected = digest(adminToken);
  return (authorization) => {
    const presented = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (presented === undefined) {
      throw new ApiError('TOKEN_REQUIRED', 'expected Authorization: Bearer TOKEN');
    }
    // Digests have equal lengths, so that the comparison does not reveal the token's length.
    if (!timingSafeEqual(digest(presented), expected)) {
      throw new ApiError('TOKEN_REFUSED', 'the token is not valid');
    }
  };
}

function refuseWrites(_authorization: string | undefined, writes: boolean): void {
  if (writes) {
    throw new ApiError('WRITES_DISABLED', 'this node has no adminToken and accepts no writes');
  }
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
