/**
 * Traces a request through the logs of all nodes, in causal order. Entries are not sorted by time, because the
 * clocks of machines differ. Instead, attempts are sorted by number, and within an attempt the entries of the
 * node next to the endpoint precede those of the caller's node, which receives the outcome later.
 */
import { ATTEMPT_SEPARATOR } from '../proxy/request-log.js';
import type { LogEntry } from './log-entry.js';

/** State of a node, as known to it when it wrote a log entry. */
export interface NodeState {
  /** Number of the active configuration; undefined before the first. */
  readonly configuration: number | undefined;
  readonly isStoreReachable: boolean;
  /** Zones whose endpoints received no new requests. */
  readonly evacuatedZones: readonly string[];
  readonly unresponsivePeers: readonly string[];
  /** Whether the node was shutting down. */
  readonly isStopping: boolean;
}

/** One log entry of a request, with the state of the node that wrote it. */
export interface TraceStep {
  readonly entry: LogEntry;
  readonly state: NodeState;
}

/** Sort key of a log entry within a request. */
interface Position {
  readonly attempt: number;
  /** 0 for the node next to the endpoint, 1 for the caller's node, 2 for its answer to the caller. */
  readonly stage: number;
}

const LAST_STAGE = 2;
const CALLER_STAGE = 1;
const ENDPOINT_STAGE = 0;

/** Returns the steps of the request to which the caller assigned `requestId`. */
export function traceRequest(entries: readonly LogEntry[], requestId: string): TraceStep[] {
  const steps: TraceStep[] = [];
  const states = new Map<string, NodeState>();
  for (const entry of entries) {
    const state = nextState(states.get(entry.machine) ?? INITIAL_STATE, entry);
    states.set(entry.machine, state);
    if (belongsToRequest(entry, requestId)) {
      steps.push({ entry, state });
    }
  }
  return steps.sort((left, right) => comparePositions(left.entry, right.entry));
}

const INITIAL_STATE: NodeState = {
  configuration: undefined,
  isStoreReachable: true,
  evacuatedZones: [],
  unresponsivePeers: [],
  isStopping: false,
};

function nextState(state: NodeState, { event, fields }: LogEntry): NodeState {
  switch (event) {
    case 'node-started':
      return { ...INITIAL_STATE, configuration: state.configuration };
    case 'configuration-in-force':
      return { ...state, configuration: Number(fields.number) };
    case 'zone-evacuated':
      return { ...state, evacuatedZones: [...state.evacuatedZones, String(fields.zone)] };
    case 'zone-taken-back':
      return {
        ...state,
        evacuatedZones: state.evacuatedZones.filter((zone) => zone !== fields.zone),
      };
    case 'store-lost':
      return { ...state, isStoreReachable: false };
    case 'store-regained':
      return { ...state, isStoreReachable: true };
    case 'peer-silent':
      return { ...state, unresponsivePeers: [...state.unresponsivePeers, String(fields.peer)] };
    case 'peer-heard-again':
      return {
        ...state,
        unresponsivePeers: state.unresponsivePeers.filter((peer) => peer !== fields.peer),
      };
    case 'node-stopping':
      return { ...state, isStopping: true };
    default:
      return state;
  }
}

function belongsToRequest({ fields }: LogEntry, requestId: string): boolean {
  const { request } = fields;
  return (
    typeof request === 'string' &&
    (request === requestId || request.startsWith(`${requestId}${ATTEMPT_SEPARATOR}`))
  );
}

function comparePositions(left: LogEntry, right: LogEntry): number {
  const first = positionOf(left);
  const second = positionOf(right);
  if (first.attempt !== second.attempt) {
    return first.attempt < second.attempt ? -1 : 1;
  }
  return first.stage - second.stage;
}

function positionOf({ event, fields }: LogEntry): Position {
  if (event === 'request-failed' || event === 'request-abandoned') {
    return { attempt: Infinity, stage: LAST_STAGE };
  }
  if (typeof fields.attempt === 'number') {
    return { attempt: fields.attempt, stage: CALLER_STAGE };
  }
  const suffix = /\.([0-9]+)$/.exec(String(fields.request))?.[1];
  return { attempt: Number(suffix ?? 0), stage: ENDPOINT_STAGE };
}
