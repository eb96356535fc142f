/** What an answer states about its endpoint, other than its load. */

/** Digits of a rate before and after the decimal point. */
const RATE_FORMAT = /^[0-9]{1,9}(\.[0-9]{1,30})?$/;

export interface AnswerStatement {
  /**
   * Requests per second that the endpoint accepts from all nodes together: Infinity if the answer names no limit,
   * undefined if the limit that it names can't be parsed.
   */
  readonly maxRatePerS: number | undefined;
}

/** Parses the header that names the rate limit; it must occur once and be a decimal number. */
export function readStatement(rateLimit: string | string[] | undefined): AnswerStatement {
  if (rateLimit === undefined) {
    return { maxRatePerS: Infinity };
  }
  const isRate = typeof rateLimit === 'string' && RATE_FORMAT.test(rateLimit);
  return { maxRatePerS: isRate ? Number(rateLimit) : undefined };
}
