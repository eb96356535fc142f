/** Verdict: whether a request was executed. Every error and answer includes one. */

/** Header that contains the verdict, in answers to callers and between nodes. */
export const VERDICT_HEADER = 'ferryspool-verdict';

/**
 * - `not-run`: the request provably did not start on any endpoint and is safe to retry.
 * - `may-have-run`: the request was forwarded, and its outcome is unknown.
 * - `ran`: the endpoint answered.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Whether a header value is a verdict. */
export function isVerdict(text: unknown): text is Verdict {
  return text === 'not-run' || text === 'may-have-run' || text === 'ran';
}
