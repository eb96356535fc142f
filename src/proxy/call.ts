/** A request on its way through a node, and the attempts to get it answered. */
import type { Readable } from 'node:stream';
import type { Endpoint } from '../model/resource.js';
import type { HeaderList } from './headers.js';
import type { RequestBody } from './request-body.js';
import type { RequestError } from './request-error.js';

/** One attempt's request, as sent to an endpoint or to its node. */
export interface Call {
  /** Unique for each attempt in the fleet; names the attempt in cancellations. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Headers of the message, without those of connections and nodes. */
  readonly headers: HeaderList;
  readonly body: RequestBody;
  /** On the node's monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Machine identity of the caller's node. */
  readonly callerNode: string;
  /** Attempts after the first that the receivers of this attempt may make among them. */
  readonly retriesLeft: number;
  /** Rank among the requests that wait for the endpoint; 0 goes first. */
  readonly priority: number;
  /** Whether the attempt may run again elsewhere, though it may have run; false when absent. */
  readonly isRepeatable?: boolean;
  /** Requests of one class take about equally long; the name of their route. */
  readonly workClass: string;
  /** Until when the answer should be there; the deadline when absent. On the node's clock. */
  readonly targetAtMs?: number | undefined;
  /** Until when the request waits for a slot of the endpoint. On the node's clock. */
  readonly startByMs?: number | undefined;
  /** How much longer than usual the call was on its way to this node, in milliseconds. */
  readonly travelLostMs?: number;
}

/** What an endpoint, and the node that owns it, said of its load. */
export interface LoadReport {
  /** Requests that run or wait. */
  readonly inFlight: number;
  readonly slots: number;
  readonly draining: boolean;
  /** Whether the endpoint's node is about to stop; it comes back soon. */
  readonly isNodeStopping?: boolean;
  /** Share of the latest requests that failed, from 0 to 1; by the endpoint's node. */
  readonly failureShare?: number;
  /** Mean time that the endpoint takes for the request's class of work, in milliseconds; by its node. */
  readonly serviceMs?: number | undefined;
}

/**
 * - `held`: the whole body is here.
 * - `streamed`: the body is still to be read.
 */
export type AnswerBody =
  | { readonly kind: 'held'; readonly bytes: Buffer }
  | {
      readonly kind: 'streamed';
      readonly stream: Readable;
      /** Whether the body arrived in full; to be asked once the stream has closed. */
      readonly isWhole: () => boolean;
      /** Asks a sender that waits for its receiver to send so many bytes more; none waits when absent. */
      readonly collect?: (bytes: number) => void;
    };

/** An answer. */
export interface Answer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: AnswerBody;
  /** Declared length in bytes; undefined for a chunked body. */
  readonly contentLength: number | undefined;
  readonly load: LoadReport | undefined;
}

/**
 * Why an attempt's answer is in doubt: nothing arrives on the connection to the `peer` while a new one
 * works (`connection`), or nothing at all is heard of it (`peer`).
 */
export type SilentThing = 'connection' | 'peer';

/** A sign that the answer of an attempt may not come. */
export interface SilenceSign {
  readonly silent: SilentThing;
  /** Time since anything was heard, in milliseconds; undefined where it is not known. */
  readonly quietMs?: number;
}

/** Gets the outcome of one attempt: answered or failed, once, unless the attempt is aborted. */
export interface AttemptObserver {
  answered(answer: Answer): void;
  failed(error: RequestError, load?: LoadReport): void;
  /** The answer is in doubt; it may still come. */
  suspected?(sign: SilenceSign): void;
}

/** An attempt under way. */
export interface Attempt {
  /** Gives the attempt up: nothing more is reported, and the endpoint is told to cancel. */
  abort(): void;
  /** Whether the endpoint has provably not got the request; it never will once the attempt is aborted. */
  isUnsent(): boolean;
}

/** A way to an endpoint. */
export interface EndpointPath {
  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt;
}
