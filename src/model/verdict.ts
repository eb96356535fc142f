/** Verdict: what may be said of a request's execution. Every error and answer carries one. */

/** Header that carries the verdict to callers and between nodes. */
export const VERDICT_HEADER = 'ferryspool-verdict';

/**
 * - `not-run`: proved not to have started anywhere; it is safe to send again.
 * - `may-have-run`: it was sent on and no proof of its fate exists.
 * - `ran`: the endpoint answered.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Whether `text` is a verdict, as read from a header. */
export function isVerdict(text: unknown): text is Verdict {
  return text === 'not-run' || text === 'may-have-run' || text === 'ran';
}
