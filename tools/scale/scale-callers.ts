/** Callers at the real nodes during a scale run: a bounded open loop of reads. */
import { CallClient, type CallTarget } from '../shared/call-client.js';
import { startOpenLoop, type OpenLoop } from '../shared/open-loop.js';
import { SERVED_SERVICE } from './scale-configuration.js';

const CALLS_PER_SECOND = 30;
const MAX_OUTSTANDING = 100;
const MAX_CONNECTIONS_PER_NODE = 16;
const DEADLINE_MS = 3_000;
const GIVE_UP_MS = 6_000;
const ANSWER_BYTES = 500;

/** What became of the calls. */
export interface CallTotals {
  readonly started: number;
  readonly served: number;
  readonly dropped: number;
  readonly callsPerSecond: number;
}

export const NO_CALLS: CallTotals = { started: 0, served: 0, dropped: 0, callsPerSecond: 0 };

/** Callers at work. */
export class ScaleCallers {
  private readonly client = new CallClient(MAX_CONNECTIONS_PER_NODE);
  private readonly loop: OpenLoop;
  private served = 0;

  constructor(targets: readonly CallTarget[], durationMs: number, random: () => number) {
    this.loop = startOpenLoop({
      ratePerSecond: CALLS_PER_SECOND,
      durationMs,
      maxOutstanding: MAX_OUTSTANDING,
      random,
      start: (index) => this.call(targets[index % targets.length], index),
    });
  }

  /** Ends arrivals and waits for the calls under way. */
  async finish(): Promise<CallTotals> {
    this.loop.stop();
    const { started, dropped } = await this.loop.finished;
    this.client.close();
    return { started, dropped, served: this.served, callsPerSecond: CALLS_PER_SECOND };
  }

  private async call(target: CallTarget | undefined, index: number): Promise<void> {
    if (target === undefined) {
      return;
    }
    const { end, contentFault } = await this.client.send(target, {
      callId: `scale-${index}`,
      method: 'GET',
      path: `/${SERVED_SERVICE}/read`,
      bodyBytes: 0,
      workMs: 1,
      answerBytes: ANSWER_BYTES,
      deadlineMs: DEADLINE_MS,
      giveUpMs: GIVE_UP_MS,
    });
    const isServed = end.type === 'answered' && end.status === 200 && contentFault === undefined;
    this.served += isServed ? 1 : 0;
  }
}
