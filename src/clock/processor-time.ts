/**
 * Processor time of this process by kind of work. Work is not nested and ends at known places, so that all time since the
 * end of the last piece of work belongs to the next one: the wake-up, the reading and parsing before it included. The
 * times of all kinds add up to what the process has used.
 */

const US_PER_SECOND = 1_000_000;

/**
 * - `start`: from the start of the process until its listeners are open.
 * - `request-sent`, `repeat-sent`: a caller's first or further try was read and its first attempt sent.
 * - `request-redirected`: a failed attempt was followed by another one.
 * - `request-rejected`: no endpoint was asked.
 * - `request-refused`: the caller was told that endpoints have no capacity.
 * - `request-failed`: the caller was told another error.
 * - `request-answered`: an answer was passed on to the caller.
 * - `attempt-admitted`, `attempt-refused`: an attempt of another node arrived.
 * - `endpoint-answered`: the endpoint of this node answered; head and rest count separately.
 * - `relay-written`: frames were written to another node.
 * - `relay-read`: other frames of another node were read.
 * - `relay-liveness`: only pings and acknowledgements were read.
 * - `configuration`: the configuration, or the endpoints that it lists, were applied.
 * - `periodic`: the periodic checks.
 */
export type WorkKind =
  | 'start'
  | 'request-sent'
  | 'repeat-sent'
  | 'request-redirected'
  | 'request-rejected'
  | 'request-refused'
  | 'request-failed'
  | 'request-answered'
  | 'attempt-admitted'
  | 'attempt-refused'
  | 'endpoint-answered'
  | 'relay-written'
  | 'relay-read'
  | 'relay-liveness'
  | 'configuration'
  | 'periodic';

/** Work of one kind since the start of the process. */
export interface WorkTotal {
  readonly kind: WorkKind;
  readonly count: number;
  readonly processorSeconds: number;
}

/** Totals of one process. */
export class ProcessorTime {
  private readonly totals = new Map<WorkKind, { count: number; usedUs: number }>();
  private attributedUs = 0;

  /** `usedUs` returns the processor time that the process has used, in microseconds. */
  constructor(private readonly usedUs: () => number) {}

  /** A piece of work has ended: the time since the end of the last one was used for it. */
  workEnded(kind: WorkKind): void {
    const nowUs = this.usedUs();
    const total = this.totals.get(kind) ?? { count: 0, usedUs: 0 };
    total.count += 1;
    total.usedUs += nowUs - this.attributedUs;
    this.totals.set(kind, total);
    this.attributedUs = nowUs;
  }

  /** The totals of all kinds that have occurred. */
  *byKind(): IterableIterator<WorkTotal> {
    for (const [kind, { count, usedUs }] of this.totals) {
      yield { kind, count, processorSeconds: usedUs / US_PER_SECOND };
    }
  }
}

/** The processor time of this process, all threads included. */
export const PROCESSOR_TIME = new ProcessorTime(() => {
  const { user, system } = process.cpuUsage();
  return user + system;
});
