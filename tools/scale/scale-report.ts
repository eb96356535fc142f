/** The report of one run, as written to the reports folder. */
import type { ConvergenceSummary } from './convergence.js';
import type { PhaseFigures } from './fleet-sample.js';
import type { CallTotals } from './scale-callers.js';

/** Names of the phases, in order. */
export const PHASE_NAMES = [
  'cold-start',
  'quiet',
  'changes',
  'restarts',
  'zone-dies',
  'zone-returns',
  'region-cut',
  'region-heals',
] as const;
export type PhaseName = (typeof PHASE_NAMES)[number];

/** One phase. */
export interface PhaseReport {
  readonly name: PhaseName;
  readonly figures: PhaseFigures;
  /** From publication, or from the start of a node, to the version in force. */
  readonly convergence: ConvergenceSummary | undefined;
  /** From the start of a recovery until every running node held the newest version. */
  readonly recoveryMs: number | undefined;
  /** What happened so often: changes, restarts, nodes that died. */
  readonly events: number;
}

/** One run. */
export interface ScaleReport {
  readonly commit: string;
  /** Whether the working tree differed from the commit. */
  readonly isModified: boolean;
  readonly startedAt: string;
  readonly nodeVersion: string;
  readonly processors: number;
  readonly nodes: number;
  /** Whether nodes of a process shared documents: no processor time and memory of a node then. */
  readonly sharesDocuments: boolean;
  readonly hollowNodes: number;
  readonly realNodes: number;
  readonly processes: number;
  readonly services: number;
  readonly resources: number;
  readonly documentBytes: number;
  readonly compression: { readonly changes: number; readonly restarts: number };
  readonly phases: readonly PhaseReport[];
  /** Live heap of one hollow node after collection, above that of a process without nodes. */
  readonly liveMiBPerNode: number;
  /** Resident memory of a process without nodes, in MiB. */
  readonly emptyProcessMiB: number;
  readonly peakResidentMiB: number;
  readonly calls: CallTotals;
  /** Whether the real nodes held the newest version at the end. */
  readonly realNodesHoldNewest: boolean;
  /** Real nodes that held a reader lease at the end. */
  readonly realReaders: number;
  readonly seconds: number;
  /** Why figures tell of the machine rather than of the product; empty where they do not. */
  readonly machineLimits: readonly string[];
}
