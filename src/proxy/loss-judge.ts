/**
 * Tells the end of an endpoint's process from the loss of single connections. A process that ends takes all
 * its connections with it, and nothing listens at its address any more; after a reset, a cut link, a silent
 * connection or a refusal for lack of room at least one of these does not hold.
 */
import type { CancelTimer } from './scheduler.js';

/**
 * Time in which the connections of a process that has ended are reported one after the other, in
 * milliseconds: those of one that had nine requests at work came within 1.4 ms.
 */
const SETTLE_MS = 5;
/**
 * Time after a loss of all connections in which the news that the endpoint has started again tells that its
 * process had ended, in milliseconds. A process that is back before the probe would else end under one
 * request again and again, and nobody would be blamed; news of a start comes within a second or two.
 */
const REBIRTH_NEWS_MS = 3_000;

/** A request at the endpoint. */
export interface EndpointWork {
  /** Whether its connection is open and its answer awaited. */
  isConnected(): boolean;
}

/** What the judge needs of the endpoint's gate. */
export interface LossJudgeOptions<W extends EndpointWork> {
  /** Requests that the endpoint has got and may be at work on, the latest first. */
  readonly atWork: () => readonly W[];
  readonly probeListening: (report: (isListening: boolean | undefined) => void) => void;
  readonly schedule: (delayMs: number, action: () => void) => CancelTimer;
  /** The process ended while it was at work on these, the latest first. */
  readonly onEnd: (work: readonly W[]) => void;
}

/** One loss or several that are looked at together. */
interface Judgement<W> {
  /** What was at work at the first loss. */
  readonly atWork: readonly W[];
  readonly lost: Set<W>;
  readonly answered: Set<W>;
  readonly waiting: ((hasEnded: boolean) => void)[];
}

/** The judge of one incarnation of an endpoint. */
export class LossJudge<W extends EndpointWork> {
  private judgement: Judgement<W> | undefined;
  /** What was at work when all connections were lost though something listens. */
  private unexplained: readonly W[] | undefined;
  /** Whether the endpoint is known to have started again since. */
  private hasSuccessor = false;

  constructor(private readonly options: LossJudgeOptions<W>) {}

  /** The connection of `work` was lost; `report` gets, soon, whether the process ended. */
  lost(work: W, report: (hasEnded: boolean) => void): void {
    if (this.judgement === undefined) {
      const others = this.options.atWork().filter((one) => one !== work);
      this.judgement = {
        atWork: [work, ...others],
        lost: new Set(),
        answered: new Set(),
        waiting: [],
      };
      this.options.schedule(SETTLE_MS, () => this.settle());
    }
    this.judgement.lost.add(work);
    this.judgement.waiting.push(report);
  }

  /** The endpoint answered in whole. */
  answered(work: W): void {
    this.judgement?.answered.add(work);
  }

  /** The endpoint has started again: the process that is judged here has ended, whatever listens. */
  succeeded(): void {
    const { unexplained } = this;
    this.hasSuccessor = true;
    this.unexplained = undefined;
    if (unexplained !== undefined) {
      this.options.onEnd(unexplained);
    }
  }

  private settle(): void {
    const { judgement } = this;
    if (judgement === undefined) {
      return;
    }
    const { atWork, lost } = judgement;
    if (atWork.some((one) => !lost.has(one) && one.isConnected())) {
      this.conclude(false);
    } else if (this.hasSuccessor) {
      this.conclude(true);
    } else {
      this.options.probeListening((isListening) => this.takeProbe(judgement, isListening));
    }
  }

  private takeProbe(judgement: Judgement<W>, isListening: boolean | undefined): void {
    const hasEnded = isListening === false || this.hasSuccessor;
    if (!hasEnded && isListening === true) {
      this.keepUnexplained(unansweredOf(judgement));
    }
    this.conclude(hasEnded);
  }

  private keepUnexplained(work: readonly W[]): void {
    this.unexplained = work;
    this.options.schedule(REBIRTH_NEWS_MS, () => {
      if (this.unexplained === work) {
        this.unexplained = undefined;
      }
    });
  }

  private conclude(hasEnded: boolean): void {
    const { judgement } = this;
    this.judgement = undefined;
    if (judgement !== undefined && hasEnded) {
      this.options.onEnd(unansweredOf(judgement));
    }
    judgement?.waiting.forEach((report) => report(hasEnded));
  }
}

function unansweredOf<W>({ atWork, answered }: Judgement<W>): W[] {
  return atWork.filter((one) => !answered.has(one));
}
