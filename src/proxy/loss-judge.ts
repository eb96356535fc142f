/**
 * Distinguishes the exit of an endpoint's process from the loss of individual connections. When a
 * process exits, all of its connections close and nothing listens at its address any more. After a
 * reset, a network failure, an unresponsive connection or a refusal for lack of capacity, at least
 * one of these conditions does not hold.
 */
import type { CancelTimer } from './scheduler.js';

/**
 * Time for which losses are collected before they are evaluated, in milliseconds. The connections
 * of an exited process are reported one after the other: those of a process with nine requests in
 * progress were reported within 1.4 ms.
 */
const LOSS_COLLECTION_MS = 5;
/**
 * Time after the loss of all connections in which a report that the endpoint has restarted proves
 * that its process had exited, in milliseconds. Without this period, a process that restarts before
 * the probe could exit under the same request again and again without the request being held
 * responsible. Reports of a restart arrive within one or two seconds.
 */
const RESTART_REPORT_TIMEOUT_MS = 3_000;

/** A request that was sent to the endpoint. */
export interface EndpointRequest {
  /** Whether its connection is open and its response is awaited. */
  isConnected(): boolean;
}

/** Dependencies of the detector, provided by the endpoint's gate. */
export interface ProcessExitDetectorOptions<R extends EndpointRequest> {
  /** Requests that the endpoint has received and may be processing, latest first. */
  readonly inProgress: () => readonly R[];
  readonly probeListening: (report: (isListening: boolean | undefined) => void) => void;
  readonly schedule: (delayMs: number, action: () => void) => CancelTimer;
  /** Called when the process exited while processing `requests`, which are ordered latest first. */
  readonly onExit: (requests: readonly R[]) => void;
}

/** One or more losses that are evaluated together. */
interface LossCheck<R> {
  /** Requests in progress at the first loss. */
  readonly inProgress: readonly R[];
  readonly lost: Set<R>;
  readonly answered: Set<R>;
  readonly callbacks: ((hasExited: boolean) => void)[];
}

/** Detects the exit of the process of one incarnation of an endpoint. */
export class ProcessExitDetector<R extends EndpointRequest> {
  private currentCheck: LossCheck<R> | undefined;
  /**
   * Requests that were in progress when all connections were lost although a process was listening.
   */
  private unexplainedLoss: readonly R[] | undefined;
  /** Whether the endpoint is known to have restarted since this incarnation. */
  private hasRestarted = false;

  constructor(private readonly options: ProcessExitDetectorOptions<R>) {}

  /**
   * Handles the loss of the connection of `request`; `report` soon receives whether the process
   * exited.
   */
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

  /** Records that the request received a complete response. */
  answered(request: R): void {
    this.currentCheck?.answered.add(request);
  }

  /**
   * Records that the endpoint has restarted: the process of this incarnation has exited, even if
   * another one is listening.
   */
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
