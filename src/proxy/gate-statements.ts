/** Applies, logs and counts what the endpoint of one gate states about itself. */
import { RecentCount } from '../admission/recent-count.js';
import type { CounterSink } from '../control/control-event.js';
import type { EndpointStatement } from '../routing/endpoint-statement.js';
import type { AnswerStatement } from './answer-statement.js';
import type { RateLimitReport } from './endpoint-states.js';

/** Time over which the requests to an endpoint are counted, in milliseconds. */
const SENT_WINDOW_MS = 4_000;

/** How much of the endpoint's rate limit this node uses. */
export type RateLimitUse = Omit<RateLimitReport, 'maxRatePerS'>;

export interface GateStatementsOptions {
  readonly endpointName: string;
  readonly statement: EndpointStatement;
  readonly counters: CounterSink;
  readonly nowMs: () => number;
  readonly logStateChange: (what: string, detail: string) => void;
  /** Called when the rate limit has changed. */
  readonly onRateLimit: () => void;
  /** Called once, when the endpoint states that it leaves. */
  readonly onLeaving: () => void;
}

/** The statements of one endpoint at its gate. */
export class GateStatements {
  private readonly sent = new RecentCount(SENT_WINDOW_MS);
  private refused = 0;
  private hasUnreadableRateLimit = false;

  constructor(private readonly options: GateStatementsOptions) {}

  get rateLimitUse(): RateLimitUse {
    return { recentlySent: this.sent.at(this.options.nowMs()), refused: this.refused };
  }

  /** Applies the statement of an answer to a request that was sent at `sentAtMs`. */
  applyAnswer({ rateLimit, isLeaving }: AnswerStatement, sentAtMs: number): void {
    const { statement, counters, onLeaving } = this.options;
    if (isLeaving && statement.markLeaving()) {
      counters.add('ferryspool_endpoints_leaving_total');
      this.log('leaves');
      onLeaving();
    }
    switch (rateLimit.kind) {
      case 'stated':
        return this.applyRateLimit(rateLimit.maxRatePerS, sentAtMs);
      case 'unreadable':
        return this.recordUnreadableRateLimit();
      case 'unstated':
        return;
    }
  }

  private applyRateLimit(maxRatePerS: number, sentAtMs: number): void {
    const { statement, nowMs } = this.options;
    if (statement.applyAnswer(maxRatePerS, sentAtMs, nowMs())) {
      this.recordRateLimit(`names ${rateLimitText(maxRatePerS)}`);
    }
  }

  /** Applies the rate limit that a caller's node knows; see {@link EndpointStatement.applyReport}. */
  applyReport(maxRatePerS: number): void {
    const { statement, nowMs } = this.options;
    if (statement.applyReport(maxRatePerS, nowMs())) {
      this.recordRateLimit(`has ${rateLimitText(maxRatePerS)}, as reported by a peer`);
    }
  }

  recordSent(): void {
    this.sent.record(this.options.nowMs());
  }

  /** Records that a request was refused because of the rate limit. */
  recordRefusal(): void {
    this.refused += 1;
    this.options.counters.add('ferryspool_rate_limit_refusals_total');
  }

  private recordRateLimit(change: string): void {
    this.options.counters.add('ferryspool_endpoint_rate_limit_changes_total');
    this.log(change);
    this.options.onRateLimit();
  }

  /** Counts each occurrence and logs the first. */
  private recordUnreadableRateLimit(): void {
    this.options.counters.add('ferryspool_endpoint_rate_limits_unreadable_total');
    if (!this.hasUnreadableRateLimit) {
      this.hasUnreadableRateLimit = true;
      this.log('names a rate limit that is not a number');
    }
  }

  private log(change: string): void {
    this.options.logStateChange('endpoint', `${this.options.endpointName} ${change}`);
  }
}

function rateLimitText(maxRatePerS: number): string {
  return maxRatePerS === Infinity ? 'no rate limit' : `a limit of ${maxRatePerS}/s`;
}
