/**
 * What the logs of all nodes say of one request, in the order in which it happened. Machines' clocks
 * differ, so lines are not put in order by time: the node beside an endpoint decides on an attempt
 * before the caller's node learns of it, and attempts follow each other by number.
 */
import { ATTEMPT_SEPARATOR } from '../proxy/request-log.js';
import type { LogEntry } from './log-entry.js';

/** What a machine believed when it wrote a line. */
export interface MachineState {
  /** Number of the configuration in force; undefined before the first. */
  readonly configuration: number | undefined;
  /** Whether the store answered. */
  readonly isStoreReached: boolean;
  /** Zones whose endpoints got no new work. */
  readonly evacuatedZones: readonly string[];
  /** Machines of which nothing was heard. */
  readonly silentPeers: readonly string[];
  /** Whether the node was about to stop. */
  readonly isStopping: boolean;
}

/** One step of a request. */
export interface StoryStep {
  readonly entry: LogEntry;
  readonly state: MachineState;
}

/** Where a line stands among those of a request. */
interface Position {
  readonly attempt: number;
  /** 0 for the node beside the endpoint, 1 for the caller's node, 2 for its answer to the caller. */
  readonly stage: number;
}

const LAST_STAGE = 2;
const CALLER_STAGE = 1;
const ENDPOINT_STAGE = 0;

/** The steps of the request that its caller named `requestId`. */
export function tellStory(entries: readonly LogEntry[], requestId: string): StoryStep[] {
  const steps: StoryStep[] = [];
  const states = new Map<string, MachineState>();
  for (const entry of entries) {
    const state = nextState(states.get(entry.machine) ?? INITIAL_STATE, entry);
    states.set(entry.machine, state);
    if (isOfRequest(entry, requestId)) {
      steps.push({ entry, state });
    }
  }
  return steps.sort((left, right) => comparePositions(left.entry, right.entry));
}

const INITIAL_STATE: MachineState = {
  configuration: undefined,
  isStoreReached: true,
  evacuatedZones: [],
  silentPeers: [],
  isStopping: false,
};

function nextState(state: MachineState, { event, fields }: LogEntry): MachineState {
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
      return { ...state, isStoreReached: false };
    case 'store-regained':
      return { ...state, isStoreReached: true };
    case 'peer-silent':
      return { ...state, silentPeers: [...state.silentPeers, String(fields.peer)] };
    case 'peer-heard-again':
      return { ...state, silentPeers: state.silentPeers.filter((peer) => peer !== fields.peer) };
    case 'node-stopping':
      return { ...state, isStopping: true };
    default:
      return state;
  }
}

function isOfRequest({ fields }: LogEntry, requestId: string): boolean {
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
