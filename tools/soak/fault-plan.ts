/** Draws the faults of a soak from its seed. Pure: the same seed gives the same plan. */
import type { RandomSource } from '../../src/control/control-event.js';
import { between, pick } from './draws.js';
import type { LinkState, StalledWay } from './link-proxy.js';
import type { InvalidVariant } from './soak-configuration.js';

/** How a back end misbehaves. `mute`: nothing comes, or the first half of an answer and nothing more. */
export type BackendFault = 'errors' | 'reset' | 'mute' | 'slow' | 'refuse' | 'cut-answer';

/** How the store misbehaves towards all nodes. */
export type StoreOutage = 'busy' | 'reset' | 'silent' | 'lag';

/** How the store treats some machines while it serves the others. */
export type StoreRefusal = 'throttled' | 'busy' | 'reset' | 'silent' | 'slow';

/** Links that can be harmed: from other nodes and callers, to the store and to a back end, where it has one. */
export type LinkFaultKind = 'relay-link' | 'store-link' | 'backend-link' | 'caller-link';

/** One thing that is done to the deployment; it ends after `forMs` where that makes sense. */
export type SoakFault =
  | { readonly kind: 'kill'; readonly machines: readonly number[]; readonly forMs: number }
  | {
      readonly kind: 'stop';
      readonly machines: readonly number[];
      /** Time from its next start to a second stop; there is none when absent. */
      readonly againAfterMs?: number;
      readonly forMs: number;
    }
  | { readonly kind: 'freeze'; readonly machines: readonly number[]; readonly forMs: number }
  | {
      /** The node's process gets the processor in short turns only. */
      readonly kind: 'late';
      readonly machines: readonly number[];
      readonly runMs: number;
      readonly restMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'reload'; readonly machines: readonly number[]; readonly forMs: number }
  | {
      readonly kind: LinkFaultKind;
      readonly machines: readonly number[];
      readonly state: LinkState;
      readonly delayMs: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'narrow';
      readonly machines: readonly number[];
      readonly bytesPerS: number;
      readonly forMs: number;
    }
  | {
      /** One open connection to each machine's node is slow: its bytes are late, none is lost. */
      readonly kind: 'stall';
      readonly machines: readonly number[];
      readonly way: StalledWay;
      readonly rank: number;
      readonly delayMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'store-outage'; readonly outage: StoreOutage; readonly forMs: number }
  | {
      /** The store does not serve these machines, but the others and the operator. */
      readonly kind: 'store-refusal';
      readonly machines: readonly number[];
      readonly refusal: StoreRefusal;
      /** Whether the watches that these machines wait for are cut. */
      readonly cutsWatches: boolean;
      readonly forMs: number;
    }
  | { readonly kind: 'store-compact'; readonly forMs: number }
  | {
      /** The store is down for `forMs`, then restored from a backup taken `lostMs` before the outage. */
      readonly kind: 'store-restore';
      readonly lostMs: number;
      readonly forMs: number;
      /** Time from the restore until the lost writes are repeated. */
      readonly rewriteMs: number;
    }
  | {
      readonly kind: 'backend-fault';
      readonly machines: readonly number[];
      readonly fault: BackendFault;
      readonly share: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'backend-limit';
      readonly machines: readonly number[];
      /** Limits that the back end names one after the other, in requests per second; each for an equal time. */
      readonly ratesPerS: readonly number[];
      readonly forMs: number;
    }
  | {
      /** The back end says in its answers that it leaves, serves on and ends; the store lists it as ready. */
      readonly kind: 'backend-leave';
      readonly machines: readonly number[];
      readonly servesMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'backend-crash'; readonly machines: readonly number[]; readonly forMs: number }
  | {
      readonly kind: 'backend-drain';
      readonly machines: readonly number[];
      /** Whether it comes back at another address; at the same one when absent. */
      readonly moves?: boolean;
      /** Time for which it serves on; somewhat longer than the bound when absent. */
      readonly servesMs?: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'configure';
      /** Routes that nobody uses, in this configuration and those after it; as many as before when absent. */
      readonly fillers?: number;
      readonly forMs: number;
    }
  /** A configuration that is not valid is written. */
  | { readonly kind: 'misconfigure'; readonly variant: InvalidVariant; readonly forMs: number };

/** The kinds of faults. */
export type SoakFaultKind = SoakFault['kind'];

/** A fault and when it begins, after the first one may. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: SoakFault;
}

/** What a plan is drawn for. */
export interface PlanParams {
  readonly machines: number;
  readonly durationMs: number;
  readonly random: RandomSource;
}

/** Mean time between two faults. */
const MEAN_GAP_MS = 1_100;
const MIN_FAULT_MS = 400;
const MAX_FAULT_MS = 4_000;
const MAX_LINK_DELAY_MS = 400;
/** Share of the machines that a fault of many strikes at most. */
const MAX_STRUCK_SHARE = 0.5;

const LINK_STATES: readonly LinkState[] = ['delay', 'silence', 'one-way', 'refuse'];
const STORE_OUTAGES: readonly StoreOutage[] = ['busy', 'reset', 'silent', 'lag'];
const BACKEND_FAULTS: readonly BackendFault[] = [
  'errors',
  'reset',
  'mute',
  'slow',
  'refuse',
  'cut-answer',
];

/** Kinds, each as often as it is to be drawn. */
const DRAWN_KINDS = [
  'kill',
  'kill',
  'stop',
  'stop',
  'freeze',
  'relay-link',
  'relay-link',
  'store-link',
  'store-link',
  'store-outage',
  'store-compact',
  'backend-fault',
  'backend-fault',
  'backend-crash',
  'backend-drain',
  'backend-drain',
  'configure',
  'configure',
  'configure',
] as const satisfies readonly SoakFaultKind[];

/** Draws a plan; its faults are in the order of their times and may overlap. */
export function planSoak(params: PlanParams): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < params.durationMs) {
    plan.push({ atMs, fault: drawFault(params) });
    atMs += -Math.log(1 - params.random()) * MEAN_GAP_MS;
  }
  return plan;
}

/** One line of text. */
export function describeFault(fault: SoakFault): string {
  const { kind, forMs, ...rest } = fault;
  return `${kind} ${JSON.stringify(rest)} for ${Math.round(forMs)} ms`;
}

function drawFault({ machines, random }: PlanParams): SoakFault {
  const kind = pick(DRAWN_KINDS, random);
  const forMs = between(MIN_FAULT_MS, MAX_FAULT_MS, random);
  const one = [Math.floor(random() * machines)];
  switch (kind) {
    case 'kill':
      return { kind, machines: drawMachines(machines, random), forMs };
    case 'freeze':
    case 'stop':
    case 'backend-crash':
    case 'backend-drain':
      return { kind, machines: one, forMs };
    case 'relay-link':
    case 'store-link':
      return {
        kind,
        machines: drawMachines(machines, random),
        state: pick(LINK_STATES, random),
        delayMs: random() * MAX_LINK_DELAY_MS,
        forMs,
      };
    case 'store-outage':
      return { kind, outage: pick(STORE_OUTAGES, random), forMs };
    case 'backend-fault':
      return { kind, machines: one, fault: pick(BACKEND_FAULTS, random), share: random(), forMs };
    case 'store-compact':
    case 'configure':
      return { kind, forMs };
  }
}

/** One machine mostly; now and then up to half of them, and seldom all. */
export function drawMachines(machines: number, random: RandomSource): number[] {
  const all = Array.from({ length: machines }, (_, idx) => idx);
  const dice = random();
  const mostStruck = Math.max(1, Math.floor(machines * MAX_STRUCK_SHARE));
  const count = dice < 0.7 ? 1 : dice < 0.95 ? 1 + Math.floor(random() * mostStruck) : machines;
  for (let idx = 0; idx < count; idx += 1) {
    const other = idx + Math.floor(random() * (machines - idx));
    [all[idx], all[other]] = [all[other] ?? 0, all[idx] ?? 0];
  }
  return all.slice(0, count);
}
