/** Requests that a node forwards, the answers to them, and the attempts that obtain an answer. */
import type { Readable } from 'node:stream';
import type { SlownessReport } from '../admission/reported-slowness.js';
import type { Endpoint } from '../model/resource.js';
import type { HeaderList } from './headers.js';
import type { RequestBody } from './request-body.js';
import type { RequestError } from './request-error.js';
import type { EndpointNodeTimes } from './request-times.js';
import type { SlotListener, SlotOffer, SlotWish } from './waiting/slot-offer.js';

/** One attempt's request, as sent to an endpoint or to its node. */
export interface Call {
  /** Unique in the fleet for each attempt; identifies the attempt in cancellations. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Headers of the message, without hop-by-hop headers and headers between nodes. */
  readonly headers: HeaderList;
  readonly body: RequestBody;
  /** On the node's monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Machine id of the caller's node. */
  readonly callerNode: string;
  /** Retries that the receivers of this attempt may make in total. */
  readonly retriesLeft: number;
  /** Rank among the requests that are queued for the endpoint; 0 is the highest. */
  readonly priority: number;
  /** Whether the request may run again elsewhere although this attempt may have run; false when absent. */
  readonly isRepeatable?: boolean;
  /** The name of the route; requests of one class take about equally long. */
  readonly workClass: string;
  /** When the answer is due; the deadline when absent. On the node's clock. */
  readonly targetAtMs?: number | undefined;
  /** Until when the request may wait for a slot of the endpoint. On the node's clock. */
  readonly startByMs?: number | undefined;
  /** Rate limit of the endpoint that the caller's node knows; undefined if it knows none. */
  readonly knownMaxRatePerS?: number | undefined;
  /** How much longer than usual the call took to reach this node, in milliseconds. */
  readonly travelLostMs?: number;
  /** Present if the request would wait for a slot after a refusal for lack of capacity. */
  readonly slotWish?: SlotWish | undefined;
  /** The offered slot that the request is sent for; undefined if there is none. */
  readonly offerId?: number | undefined;
}

/** The load of an endpoint, as reported by the endpoint and by the node that owns it. */
export interface LoadReport {
  /** Requests that are running or queued. */
  readonly inFlight: number;
  readonly slots: number;
  readonly draining: boolean;
  /** Whether the endpoint's node is about to stop; it is expected to restart soon. */
  readonly isNodeStopping?: boolean;
  /** Share of the latest requests that failed, from 0 to 1; reported by the endpoint's node. */
  readonly failureShare?: number;
  /** Mean service time of the request's class of work, in milliseconds; reported by the endpoint's node. */
  readonly serviceMs?: number | undefined;
  /** The incarnation of the endpoint, if it has stated that it leaves. */
  readonly leavingIncarnation?: string | undefined;
  /** Rate limit that the endpoint has stated; Infinity for none, undefined if it is not known. */
  readonly maxRatePerS?: number | undefined;
  /** How long work takes at present; undefined if the endpoint does not report it. */
  readonly slowness?: SlownessReport | undefined;
}

/**
 * - `held`: the body is buffered in full.
 * - `streamed`: the body is read from a stream.
 */
export type AnswerBody =
  | { readonly kind: 'held'; readonly bytes: Buffer }
  | {
      readonly kind: 'streamed';
      readonly stream: Readable;
      /** Whether the body arrived in full; valid once the stream has closed. */
      readonly isComplete: () => boolean;
      /** Lets the sender send `bytes` more than its window, once; absent when the sender has no such window. */
      readonly extendWindow?: (bytes: number) => void;
    };

export interface Answer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: AnswerBody;
  /** Declared length in bytes; undefined for a chunked body. */
  readonly contentLength: number | undefined;
  readonly load: LoadReport | undefined;
  /** Times of the attempt at the endpoint's node; undefined if they are not known. */
  readonly nodeTimes?: EndpointNodeTimes | undefined;
}

/**
 * What is unresponsive:
 *
 * - `connection`: nothing arrives on the connection to the peer, although a new connection to it works.
 * - `peer`: nothing is received from the peer at all.
 */
export type UnresponsiveTarget = 'connection' | 'peer';

/** The reason for a suspicion that an attempt will not be answered. */
export interface AttemptSuspicion {
  readonly silent: UnresponsiveTarget;
  /** Time since anything was received, in milliseconds; undefined if it is not known. */
  readonly quietMs?: number;
}

/** Receives the outcome of one attempt: answered or failed, exactly once, unless the attempt is aborted. */
export interface AttemptObserver {
  answered(answer: Answer): void;
  failed(error: RequestError, load?: LoadReport): void;
  /** The attempt is suspected to fail; it may still be answered. */
  suspected?(suspicion: AttemptSuspicion): void;
}

/** An attempt in progress. */
export interface Attempt {
  /** Abandons the attempt: nothing more is reported, and the endpoint is asked to cancel the request. */
  abort(): void;
  /** Whether the endpoint has provably not received the request; once the attempt is aborted, it never will. */
  isUnsent(): boolean;
}

/** Submits calls to endpoints, directly or through another node. */
export interface EndpointPath {
  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt;
  /** Declines a slot that this node offered to `listener`. */
  slotDeclined?(offer: SlotOffer, listener: SlotListener): void;
}
