/** How one endpoint is picked out of those that may get a request. Pure. */
import type { Endpoint } from '../model/resource.js';
import type { EndpointRecord } from './endpoint-record.js';

/** An endpoint and what this node has seen of it. */
export interface Candidate {
  readonly endpoint: Endpoint;
  readonly record: EndpointRecord;
}

/** What kind of work is to be done. */
export interface WorkProfile {
  /** Requests of one class take about equally long. */
  readonly workClass: string;
  /** Time within which an answer is worth most, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Class by which endpoints turn such work away; the class of work when absent. */
  readonly refusalClass?: string;
  /** Whether the work waits behind all other, so that it goes where a slot may be free. */
  readonly isLate?: boolean;
}

/** What a choice depends on besides the candidates. */
export interface ChoiceContext {
  /** Zone and region of this node. */
  readonly zone: string;
  readonly region: string;
  /** The machine that this node runs on; endpoints on others are a hop away. */
  readonly machineId?: string;
  /** Undefined where nothing is known of the work. */
  readonly work?: WorkProfile | undefined;
}

/** A way to choose. */
export interface EndpointStrategy {
  /** Undefined only when there is no candidate. */
  choose(
    candidates: readonly Candidate[],
    context: ChoiceContext,
    nowMs: number,
  ): Candidate | undefined;
}
