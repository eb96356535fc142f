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
const LOSS_COLLECTION_MS = 5;
/**
 * Time after a loss of all connections in which the news that the endpoint has started again tells that its
 * process had ended, in milliseconds. A process that is back before the probe would else end under one
 * request again and again, and nobody would be blamed; news of a start comes within a second or two.
 */
const RESTART_REPORT_TIMEOUT_MS = 3_000;

/** A request at the endpoint. */
export interface EndpointRequest {
  /** Whether its connection is open and its answer awaited. */
  isConnected(): boolean;
}

/** What the judge needs of the endpoint's gate. */
export interface ProcessExitDetectorOptions<R extends EndpointRequest> {
  /** Requests that the endpoint has got and may be at work on, the latest first. */
  readonly inProgress: () => readonly R[];
  readonly probeListening: (report: (isListening: boolean | undefined) => void) => void;
  readonly schedule: (delayMs: number, action: () => void) => CancelTimer;
  /** The process ended while it was at work on these, the latest first. */
  readonly onExit: (requests: readonly R[]) => void;
}

/** One loss or several that are looked at together. */
interface LossCheck<R> {
  /** What was at work at the first loss. */
  readonly inProgress: readonly R[];
  readonly lost: Set<R>;
  readonly answered: Set<R>;
  readonly callbacks: ((hasExited: boolean) => void)[];
}

/** The judge of one incarnation of an endpoint. */
export class ProcessExitDetector<R extends EndpointRequest> {
  private currentCheck: LossCheck<R> | undefined;
  /** What was at work when all connections were lost though something listens. */
  private unexplainedLoss: readonly R[] | undefined;
  /** Whether the endpoint is known to have started again since. */
  private hasRestarted = false;

  constructor(private readonly options: ProcessExitDetectorOptions<R>) {}

  /** The connection of `work` was lost; `report` gets, soon, whether the process ended. */
  connectionLost(request: R, report: (hasExited: boolean) => void): void {
    if (this.currentCheck === undefined) {
      const others = this.options.inProgress().filter((one) => one !== request);
      this.currentCheck = {
        inProgress: [request, ...others],
        lost: new Set(),
        answered: new Set(),
        callbacks: [],
      };
      this.options.schedule(LOSS_COLLECTION_MS, () => this.evaluate());
    }
    this.currentCheck.lost.add(request);
    this.currentCheck.callbacks.push(report);
  }

  /** The endpoint answered in whole. */
  answered(request: R): void {
    this.currentCheck?.answered.add(request);
  }

  /** The endpoint has started again: the process that is judged here has ended, whatever listens. */
  endpointRestarted(): void {
    const { unexplainedLoss } = this;
    this.hasRestarted = true;
    this.unexplainedLoss = undefined;
    if (unexplainedLoss !== undefined) {
      this.options.onExit(unexplainedLoss);
    }
  }

  private evaluate(): void {
    const { currentCheck } = this;
    if (currentCheck === undefined) {
      return;
    }
    const { inProgress, lost } = currentCheck;
    if (inProgress.some((one) => !lost.has(one) && one.isConnected())) {
      this.conclude(false);
    } else if (this.hasRestarted) {
      this.conclude(true);
    } else {
      this.options.probeListening((isListening) =>
        this.handleProbeResult(currentCheck, isListening),
      );
    }
  }

  private handleProbeResult(check: LossCheck<R>, isListening: boolean | undefined): void {
    const hasExited = isListening === false || this.hasRestarted;
    if (!hasExited && isListening === true) {
      this.retainUnexplainedLoss(unansweredOf(check));
    }
    this.conclude(hasExited);
  }

  private retainUnexplainedLoss(requests: readonly R[]): void {
    this.unexplainedLoss = requests;
    this.options.schedule(RESTART_REPORT_TIMEOUT_MS, () => {
      if (this.unexplainedLoss === requests) {
        this.unexplainedLoss = undefined;
      }
    });
  }

  private conclude(hasExited: boolean): void {
    const { currentCheck } = this;
    this.currentCheck = undefined;
    if (currentCheck !== undefined && hasExited) {
      this.options.onExit(unansweredOf(currentCheck));
    }
    currentCheck?.callbacks.forEach((report) => report(hasExited));
  }
}

function unansweredOf<R>({ inProgress, answered }: LossCheck<R>): R[] {
  return inProgress.filter((one) => !answered.has(one));
}
