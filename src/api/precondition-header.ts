/** Parses the preconditions of writes from HTTP headers. Pure; throws {@link ApiError}. */
import { ApiError } from './api-error.js';
import type { WritePrecondition } from './write-port.js';

/** Headers that carry a precondition, in Node's lower-case form. */
export interface PreconditionHeaders {
  readonly 'if-match'?: string | undefined;
  readonly 'if-none-match'?: string | undefined;
}

const ENTITY_TAG_PATTERN = /^"?([0-9a-f]{1,64})"?$/;

/**
 * `If-None-Match: *` creates, `If-Match: *` replaces any version, `If-Match: "VERSION"` replaces
 * exactly that version. A write without a precondition is refused.
 */
export function parsePrecondition(headers: PreconditionHeaders): WritePrecondition {
  const ifMatch = headers['if-match'];
  const ifNoneMatch = headers['if-none-match'];
  if (ifMatch !== undefined && ifNoneMatch !== undefined) {
    throw new ApiError('MALFORMED_REQUEST', 'expected If-Match or If-None-Match, not both');
  }
  if (ifNoneMatch !== undefined) {
    return parseIfNoneMatch(ifNoneMatch);
  }
  if (ifMatch === undefined) {
    throw new ApiError('PRECONDITION_REQUIRED', 'expected If-Match or If-None-Match: *');
  }
  if (ifMatch === '*') {
    return { type: 'exists' };
  }
  const version = ENTITY_TAG_PATTERN.exec(ifMatch)?.[1];
  if (version === undefined) {
    throw new ApiError('MALFORMED_REQUEST', 'If-Match: expected * or one resource version');
  }
  return { type: 'version', version };
}

function parseIfNoneMatch(ifNoneMatch: string): WritePrecondition {
  if (ifNoneMatch !== '*') {
    throw new ApiError('MALFORMED_REQUEST', 'If-None-Match: expected *');
  }
  return { type: 'absent' };
}
