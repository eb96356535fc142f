/**
 * Whether an answer that has begun may go on after its request's deadline. Endpoints may fall silent in the middle of an
 * answer or send without end; callers get a final answer soon after the deadline all the same.
 */
import type { Answer } from './call.js';

/** Time after the deadline within which an answer that is still arriving may be completed, in milliseconds. */
export const MAX_ANSWER_OVERRUN_MS = 300;
/** Time without a byte after which an answer no longer counts as arriving, in milliseconds. */
export const ANSWER_QUIET_MS = 100;

/** The progress of one answer. */
export class AnswerProgress {
  private lastBytesAtMs: number;

  /** Must be created after the body's reader has been attached, since it would start the flow. */
  constructor(
    private readonly answer: Pick<Answer, 'body' | 'contentLength'>,
    private readonly nowMs: () => number,
  ) {
    const { body } = answer;
    this.lastBytesAtMs = nowMs();
    if (body.kind === 'streamed') {
      body.stream.on('data', () => {
        this.lastBytesAtMs = nowMs();
      });
    }
  }

  /** Time since the last bytes of the answer arrived, in milliseconds. */
  get quietMs(): number {
    return this.nowMs() - this.lastBytesAtMs;
  }

  /**
   * Whether the answer may go on. One of which a part was forwarded may while it waits for its receiver to read, and,
   * with a declared length, while bytes arrive: its end can be expected. Any other may for a short time.
   */
  mayContinue(deadlineAtMs: number, wasForwarded: boolean): boolean {
    const { body, contentLength } = this.answer;
    if (body.kind === 'held' || (wasForwarded && body.stream.isPaused())) {
      return true;
    }
    const isInTime = this.nowMs() < deadlineAtMs + MAX_ANSWER_OVERRUN_MS;
    const hasExpectedEnd = wasForwarded && contentLength !== undefined;
    return this.quietMs < ANSWER_QUIET_MS && (isInTime || hasExpectedEnd);
  }
}
