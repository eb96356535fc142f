/** What an answer states about its endpoint, other than its load. */

/** Digits of a rate before and after the decimal point. */
const RATE_FORMAT = /^[0-9]{1,9}(\.[0-9]{1,30})?$/;

export interface AnswerStatement {
  /**
   * Requests per second that the endpoint accepts from all nodes together: Infinity if the answer names no limit,
   * undefined if the limit that it names can't be parsed.
   */
  readonly maxRatePerS: number | undefined;
  /** Whether the endpoint will end and accepts no new requests; cannot be withdrawn. */
  readonly isLeaving: boolean;
}

/**
 * Parses the header that names the rate limit, which must occur once and be a decimal number. Returns Infinity without
 * the header, and undefined if it can't be parsed.
 */
export function readRateLimit(header: string | string[] | undefined): number | undefined {
  if (header === undefined) {
    return Infinity;
  }
  const isRate = typeof header === 'string' && RATE_FORMAT.test(header);
  return isRate ? Number(header) : undefined;
}
