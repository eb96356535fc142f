/** What an emulated fleet is made of, and what happens to it. */
import type { ColdStart } from '../../src/model/resource.js';
import type { ProcessorCosts } from './emulated-processor.js';

/** A service; each of its endpoints has a node beside it. */
export interface ServiceShape {
  readonly name: string;
  readonly endpoints: number;
  readonly slots: number;
  /** Speeds of the endpoints, assigned in turn; 1 is the speed at which work takes its planned time. All 1 if absent. */
  readonly speeds?: readonly number[];
  /** What an endpoint can handle while it is cold; its endpoints are never cold if absent. */
  readonly coldStart?: ColdStart;
}

/** A kind of request: of callers where it has a rate, else of endpoints that work on another one. */
export interface RequestClass {
  readonly name: string;
  readonly service: string;
  /** Requests a second of all callers together; 0 where only endpoints make them. */
  readonly ratePerSecond: number;
  /** Mean time of work at an endpoint, in milliseconds. */
  readonly workMs: number;
  /** Mean length of the body, in bytes; 0 for none. */
  readonly uploadBytes: number;
  readonly answerBytes: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  readonly repeatable: boolean;
  /** Worth of an answer in time. */
  readonly worth: number;
  /** Part of it that an answer after the target, but before the deadline, is worth. */
  readonly lateShare: number;
  /** Times that a refused caller comes back. */
  readonly callerRetries: number;
  /** Share of its remaining time for which a refused caller waits at most before its next try; no maximum if absent. */
  readonly maxRetryWaitShare?: number;
  /** Classes of the calls that the work on a request makes, holding its slot. */
  readonly calls: readonly string[];
  /** Share of the requests that make the calls; all if absent. */
  readonly callShare?: number;
  /** Whether the calls are made at the same time; one after the other if absent. */
  readonly hasParallelCalls?: boolean;
}

/** What befalls the callers, or one node beside an endpoint, drawn anew for each seed. */
export type Fault =
  /** One endpoint of the service takes `factor` times as long. */
  | (FaultPeriod & {
      readonly kind: 'slow-endpoint';
      readonly service: string;
      readonly factor: number;
    })
  /** One endpoint of the service begins its answers and does not end them. */
  | (FaultPeriod & { readonly kind: 'silent-answers'; readonly service: string })
  /** One endpoint of the service names a rate limit. */
  | (FaultPeriod & {
      readonly kind: 'limited-endpoint';
      readonly service: string;
      readonly maxRatePerS: number;
    })
  /** The process of a node dies with its endpoint, and comes back. */
  | (FaultPeriod & { readonly kind: 'crashed-node'; readonly service: string })
  /** The process of one endpoint ends and starts again, cold, while its node goes on. */
  | (FaultPeriod & { readonly kind: 'restarted-endpoint'; readonly service: string })
  /** A zone is evacuated; its endpoints are cold when it is taken back. */
  | (FaultPeriod & { readonly kind: 'evacuated-zone'; readonly zone: string })
  /** What is sent to the endpoints of a service is held before it arrives, up to `holdMs`. */
  | (FaultPeriod & {
      readonly kind: 'held-requests';
      readonly service: string;
      readonly holdMs: number;
    })
  /** Callers of a class come `factor` times as often. */
  | (FaultPeriod & {
      readonly kind: 'burst';
      readonly requestClass: string;
      readonly factor: number;
    })
  /** The link of a node carries fewer bytes. */
  | (FaultPeriod & {
      readonly kind: 'narrow-link';
      readonly service: string;
      readonly bytesPerMs: number;
    })
  /** Nothing passes the link of a node; what was sent arrives once it is well. */
  | (FaultPeriod & { readonly kind: 'silent-link'; readonly service: string });

/** When a fault holds. */
interface FaultPeriod {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A fleet and its day. */
export interface Scenario {
  readonly name: string;
  readonly title: string;
  /** Time in which callers' requests arrive, in milliseconds. */
  readonly durationMs: number;
  /** Nodes without endpoints, at which callers' requests arrive unless they are beside endpoints. */
  readonly edgeNodes: number;
  /** The services on whose machines callers are. */
  readonly callersBeside?: readonly string[];
  readonly zones: number;
  readonly linkBytesPerMs: number;
  /** Processor time of a node for its work; none if absent. */
  readonly processorCosts?: ProcessorCosts;
  /** Longest time until a node knows of a changed entry or an evacuation, in milliseconds; 0 if absent. */
  readonly newsDelayMs?: number;
  readonly services: readonly ServiceShape[];
  readonly classes: readonly RequestClass[];
  readonly faults: readonly Fault[];
}
