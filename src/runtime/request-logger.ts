/**
 * Writes decisions on requests as log lines, at a bounded rate, so that a node under load does not
 * spend its time on its log. What goes beyond the rate is counted, and a line says how many.
 */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { RequestDecision, RequestLog } from '../proxy/request-log.js';
import type { Logger } from './logger.js';

/** Lines a second, on average. */
const LINES_PER_SECOND = 40;
/** Lines that may be written at once after a quiet time. */
const MAX_BURST_LINES = 400;
const MS_PER_SECOND = 1_000;
/** Least time between two lines that tell of dropped ones, in milliseconds. */
const DROPPED_REPORT_INTERVAL_MS = 1_000;

/** The log of decisions of one node. */
export class RequestLogger implements RequestLog {
  private allowance = MAX_BURST_LINES;
  private countedAtMs: number;
  private droppedLines = 0;
  private reportedAtMs = -Infinity;

  constructor(
    private readonly logger: Logger,
    private readonly now: () => number = () => MACHINE_CLOCK.now(),
  ) {
    this.countedAtMs = now();
  }

  record({ event, ...fields }: RequestDecision): void {
    this.refill();
    if (this.allowance < 1) {
      this.droppedLines += 1;
      return;
    }
    this.allowance -= 1;
    this.reportDropped(this.countedAtMs);
    this.logger.info(event, fields);
  }

  private refill(): void {
    const nowMs = this.now();
    const earned = ((nowMs - this.countedAtMs) / MS_PER_SECOND) * LINES_PER_SECOND;
    this.allowance = Math.min(MAX_BURST_LINES, this.allowance + earned);
    this.countedAtMs = nowMs;
  }

  private reportDropped(nowMs: number): void {
    if (this.droppedLines > 0 && nowMs - this.reportedAtMs >= DROPPED_REPORT_INTERVAL_MS) {
      this.reportedAtMs = nowMs;
      this.logger.warn('log-lines-dropped', { lines: this.droppedLines, cause: 'rate' });
      this.droppedLines = 0;
    }
  }
}
