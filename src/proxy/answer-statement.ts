/** What an answer states about its endpoint, other than its load. */

const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;
/** Digits of a rate before and after the decimal point. */
const RATE_FORMAT = /^[0-9]{1,9}(\.[0-9]{1,30})?$/;

/**
 * - `stated`: requests per second that the endpoint accepts from all nodes together; Infinity if it has no limit.
 * - `unstated`: the answer does not tell.
 * - `unreadable`: the answer names a limit that can't be parsed.
 */
export type StatedRateLimit =
  | { readonly kind: 'stated'; readonly maxRatePerS: number }
  | { readonly kind: 'unstated' }
  | { readonly kind: 'unreadable' };

export interface AnswerStatement {
  readonly rateLimit: StatedRateLimit;
  /** Whether the endpoint will end and accepts no new requests; cannot be withdrawn. */
  readonly isLeaving: boolean;
}

/**
 * Parses the header that names the rate limit, which must occur once and be a decimal number. Without the header, only
 * a successful answer tells that there is no limit: refusals and errors may be sent by a part of the endpoint that does
 * not know it.
 */
export function readRateLimit(
  header: string | string[] | undefined,
  isSuccess: boolean,
): StatedRateLimit {
  if (header === undefined) {
    return isSuccess ? { kind: 'stated', maxRatePerS: Infinity } : { kind: 'unstated' };
  }
  const isRate = typeof header === 'string' && RATE_FORMAT.test(header);
  return isRate ? { kind: 'stated', maxRatePerS: Number(header) } : { kind: 'unreadable' };
}

/** Whether the status reports success. */
export function isSuccessStatus(status: number | undefined): boolean {
  return status !== undefined && status >= FIRST_SUCCESS_STATUS && status <= LAST_SUCCESS_STATUS;
}
