/** Strategies that select one of the endpoints eligible for a request. Pure. */
import type { Endpoint } from '../model/resource.js';
import type { EndpointRecord } from './endpoint-record.js';

/** An endpoint and this node's record of it. */
export interface Candidate {
  readonly endpoint: Endpoint;
  readonly record: EndpointRecord;
  /** Whether the endpoint's node has just announced a free slot. */
  readonly isAnnounced?: boolean;
}

/** The kind of work that a request causes. */
export interface WorkProfile {
  /** Class of work; requests of one class have similar service times. */
  readonly workClass: string;
  /** Target latency, after which a response loses value, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Class by which endpoints refuse such work; the class of work when absent. */
  readonly refusalClass?: string;
  /** Whether the work is queued behind all other work, so that it prefers endpoints with a free slot. */
  readonly isLate?: boolean;
}

/** Inputs of a selection besides the candidates. */
export interface ChoiceContext {
  /** Zone and region of this node. */
  readonly zone: string;
  readonly region: string;
  /** The machine that this node runs on; endpoints on other machines cost a hop. */
  readonly machineId?: string;
  /**
   * Probability that a request has to wait at an endpoint that has not announced a free slot, from 0 to 1; 0 if no
   * candidate has.
   */
  readonly waitShare?: number;
  /** Undefined when the kind of work is not known. */
  readonly work?: WorkProfile | undefined;
}

/** Selects one of the candidates. */
export interface EndpointStrategy {
  /** Undefined only when there is no candidate. */
  choose(
    candidates: readonly Candidate[],
    context: ChoiceContext,
    nowMs: number,
  ): Candidate | undefined;
}
