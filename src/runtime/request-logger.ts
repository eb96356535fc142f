/**
 * Writes decisions on requests as log lines, at a limited rate, so that a node under load does not
 * spend its time on logging. Lines beyond the limit are dropped and their number is logged.
 */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { RequestDecision, RequestLog } from '../proxy/request-log.js';
import type { Logger } from './logger.js';

/** Average number of lines per second. */
const LINES_PER_SECOND = 40;
/** Lines that may be written in a burst after an idle period. */
const MAX_BURST_LINES = 400;
const MS_PER_SECOND = 1_000;
/** Minimum time between two reports of dropped lines, in milliseconds. */
const DROPPED_REPORT_INTERVAL_MS = 1_000;

/** Logs the decisions of one node. */
export class RequestLogger implements RequestLog {
  private tokens = MAX_BURST_LINES;
  private refilledAtMs: number;
  private droppedLines = 0;
  private lastReportedAtMs = -Infinity;

  constructor(
    private readonly logger: Logger,
    private readonly now: () => number = () => MACHINE_CLOCK.now(),
  ) {
    this.refilledAtMs = now();
  }

  record({ event, ...fields }: RequestDecision): void {
    this.refill();
    if (this.tokens < 1) {
      this.droppedLines += 1;
      return;
    }
    this.tokens -= 1;
    this.reportDropped(this.refilledAtMs);
    this.logger.info(event, fields);
  }

  private refill(): void {
    const nowMs = this.now();
    const addedTokens = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * LINES_PER_SECOND;
    this.tokens = Math.min(MAX_BURST_LINES, this.tokens + addedTokens);
    this.refilledAtMs = nowMs;
  }

  private reportDropped(nowMs: number): void {
    if (this.droppedLines > 0 && nowMs - this.lastReportedAtMs >= DROPPED_REPORT_INTERVAL_MS) {
      this.lastReportedAtMs = nowMs;
      this.logger.warn('log-lines-dropped', { lines: this.droppedLines, cause: 'rate' });
      this.droppedLines = 0;
    }
  }
}
