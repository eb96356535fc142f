/**
 * What a soak has seen: callers' requests, arrivals at back ends, faults and planned work. Times are in
 * milliseconds on the clock of the soak.
 */
import type { SoakFaultKind } from './fault-plan.js';

/** A caller's request and its end. */
export interface SoakCall {
  readonly id: string;
  readonly machine: number;
  /** Number of the node's process on that machine. */
  readonly life: number;
  readonly isSafe: boolean;
  readonly target: string;
  readonly body: string;
  /** Configuration that the route came with; undefined for routes that all have. */
  readonly addedBy: number | undefined;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly deadlineMs: number;
  /** The time-out of its route. */
  readonly timeoutMs: number;
  /** When its last byte had been handed to the connection; Infinity when that never happened. */
  readonly sentWholeAtMs: number;
  /** 0 where the connection ended without a head, or there was none. */
  readonly status: number;
  readonly isWhole: boolean;
  readonly isSigned: boolean;
  readonly answer: string;
  /** Whether a connection was open, so that the node may have read the request. */
  readonly wasSent: boolean;
  /** The port of its connection at the caller's side; undefined where none was open. */
  readonly callerPort: number | undefined;
  /** Whether the caller left before the answer. */
  readonly isGivenUp: boolean;
  /** Requests that waited before it on its connection as it was sent; none when absent. */
  readonly aheadCount?: number;
  /** How its connection stood when it ended; undefined where the caller does not see that. */
  readonly connectionEnd?: ConnectionEnd;
}

/**
 * - `answered`: its answer came.
 * - `behind-close`: an answer before its own closed the connection.
 * - `closed`: the connection ended in good order, or its caller left.
 * - `reset`: the connection was reset, or broke as it was written to.
 * - `malformed`: bytes came that are no answer.
 * - `failed`: there was no connection.
 */
export type ConnectionEnd =
  'answered' | 'behind-close' | 'closed' | 'reset' | 'malformed' | 'failed';

/**
 * - `open`: it has not ended.
 * - `answered`: the whole answer that the request asked for went out.
 * - `failed`: another whole answer went out: a refusal, or a fault of the back end.
 * - `broke-off`: the back end ended its connection before, or in the same moment.
 * - `cut`: the other side closed it before, so the mesh ended what may have been at work.
 */
export type ArrivalOutcome = 'open' | 'answered' | 'failed' | 'broke-off' | 'cut';

/** A request that reached a back end. */
export interface SoakArrival {
  readonly id: string;
  readonly backend: string;
  readonly machine: number;
  /** When its head was there, which tells the time it has. */
  readonly headAtMs: number;
  /** When it was there whole. */
  readonly atMs: number;
  readonly target: string;
  readonly method: string;
  readonly body: string;
  readonly callerService: string;
  readonly deadlineMs: number;
  /** Whether the back end began to work on it. */
  readonly hasRun: boolean;
  /** How long the back end works on it if nothing ends that before, in milliseconds; 0 where it does not run. */
  workMs?: number;
  /** Whether its answer names a rate limit; false when absent. */
  readonly namesLimit?: boolean;
  /** Whether its answer says that the back end leaves; false when absent. */
  readonly saysLeaving?: boolean;
  /** Whether the back end ended its connection without a whole answer. */
  brokeOff: boolean;
  /** How its exchange with the back end ended. */
  outcome: ArrivalOutcome;
  /** When its exchange with the back end ended; Infinity while it has not. */
  endedAtMs: number;
}

/** A time in which a fault struck machines. */
export interface FaultWindow {
  readonly kind: SoakFaultKind;
  /** Machines that are not in touch for it; undefined when none is. */
  readonly machines: readonly number[] | undefined;
  /** Machines whose own links it harmed; none when absent. */
  readonly linksOf?: readonly number[];
  /** Whether connections through these links were closed, or lost what was said on them. */
  readonly losesConnections?: boolean;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A planned stop of a node and how it ended. */
export interface SoakStop {
  readonly machine: number;
  readonly atMs: number;
  readonly tookMs: number;
  readonly code: number | null | undefined;
  /** Whether the process had said that it is up; before, it may not know of the signal yet. */
  readonly hadStarted: boolean;
}

/** A back end ended under a request. */
export interface SoakCrash {
  readonly target: string;
  readonly backend: string;
  readonly atMs: number;
}

/** From when on a back end names a rate limit. */
export interface SoakLimit {
  readonly backend: string;
  readonly atMs: number;
  /** Undefined when it names none any more. */
  readonly ratePerS: number | undefined;
}

/** A node was told to read its settings again. */
export interface SoakReload {
  readonly machine: number;
  readonly atMs: number;
}

/** A time in which the soak's own process stood still, so that it saw nothing. */
export interface SoakPause {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A time in which a node's process waited long for a core, or did nothing but run. */
export interface SoakCoreTime {
  readonly machine: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly ranMs: number;
  readonly waitedMs: number;
}

/** A connection through a link that went silent for good while new ones worked. */
export interface SoakSilence {
  /** The link, by its kind and its machine. */
  readonly link: string;
  /** The first line that its dialler said. */
  readonly opening: string;
  readonly atMs: number;
  /** Time from the first to the last bytes of its dialler since then. */
  readonly usedForMs: number;
}

/** A caller's connection that went silent for good; times are Infinity for what never was. */
export interface CallerSilence {
  readonly machine: number;
  /** Its port at the caller's side. */
  readonly callerPort: number;
  readonly atMs: number;
  /** From when on what its caller, and what its node says is lost. */
  readonly callerLostAtMs: number;
  readonly nodeLostAtMs: number;
  /** First bytes of the node since it went silent. */
  readonly nodeSaidAtMs: number;
  readonly callerEndedAtMs: number;
  readonly nodeEndedAtMs: number;
}

/** All that a soak has seen. */
export interface SoakRecord {
  /** The time of day at which its clock began, by which the logs of its nodes can be read. */
  readonly beganAt: string;
  readonly calls: readonly SoakCall[];
  readonly arrivals: readonly SoakArrival[];
  readonly windows: readonly FaultWindow[];
  readonly stops: readonly SoakStop[];
  readonly reloads: readonly SoakReload[];
  readonly crashes: readonly SoakCrash[];
  /** In the order of their times. */
  readonly limits: readonly SoakLimit[];
  /** When each configuration was acknowledged, by its number; numbers rise by one. */
  readonly configuredAtMs: ReadonlyMap<number, number>;
  /** When the draining of each back end was acknowledged. */
  readonly drainedAtMs: ReadonlyMap<string, number>;
  readonly serviceOfMachine: readonly string[];
  readonly silences: readonly SoakSilence[];
  readonly callerSilences: readonly CallerSilence[];
  readonly pauses: readonly SoakPause[];
  readonly coreTimes: readonly SoakCoreTime[];
  readonly ownEnds: readonly string[];
  /** From when on nothing was harmed any more. */
  readonly calmFromMs: number;
  readonly endedAtMs: number;
  readonly terms: SoakTerms;
}

/** The bounds of the deployment, in milliseconds but for counts. */
export interface SoakTerms {
  readonly contactMs: number;
  readonly configApplyMs: number;
  readonly rollbackSlackMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  /** Time from a request's last byte within which a connection may end as if it had not been read. */
  readonly lossSlackMs: number;
  readonly recoveryMs: number;
  /** Time after which a node closes a caller's connection on which nothing comes. */
  readonly idleTimeoutMs: number;
  readonly maxAttempts: number;
  /** Configurations after which a route that came with one is dropped. */
  readonly routeLifeInConfigurations: number;
}
