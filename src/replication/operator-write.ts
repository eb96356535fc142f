/** Operators' writes: what may be asked for and what may be answered. */
import type { ConfigurationFault } from '../model/configuration-error.js';

/** Changes in one write at most; they are accepted together or not at all. */
export const MAX_CHANGES_PER_WRITE = 256;

/**
 * What must hold of a resource in the merged configuration for a change to be made: that there is
 * none, that there is one, or that its version is the one named.
 */
export type Precondition =
  | { readonly type: 'absent' }
  | { readonly type: 'exists' }
  | { readonly type: 'version'; readonly version: string };

/** A put (`json` is the resource) or a delete (`json` is null) of one resource. */
export interface ResourceChange {
  /** `kind/name`. */
  readonly key: string;
  readonly json: string | null;
  readonly precondition?: Precondition | undefined;
}

/** One or more changes that are accepted together. */
export interface OperatorWrite {
  readonly changes: readonly ResourceChange[];
}

/** Why a write was provably not accepted. */
export type NotAcceptedReason =
  /** This fleet has no voters: the settings declare none, or they have not formed a group yet. */
  | 'no-voters'
  /** No voter could be reached, or none that leads a majority. */
  | 'no-majority'
  /** The primary's queue is full. */
  | 'overloaded'
  /** The node that took the write lags too far behind the operators' revision. */
  | 'stale-base'
  /** A newer primary put another operation in its place. */
  | 'superseded';

/** What became of a write. */
export type WriteOutcome =
  /** A majority of voters holds it; it is never undone. */
  | { readonly outcome: 'accepted'; readonly revision: number }
  /** Not accepted: a precondition does not hold. `currentVersion` is absent when there is none. */
  | {
      readonly outcome: 'conflict';
      readonly key: string;
      readonly currentVersion?: string | undefined;
    }
  /** Not accepted: malformed, too large, or it would leave references dangling. */
  | { readonly outcome: 'invalid'; readonly faults: readonly ConfigurationFault[] }
  /** Proved not to be accepted, now or later; it is safe to write again. */
  | { readonly outcome: 'not-accepted'; readonly reason: NotAcceptedReason }
  /** It may have been accepted, or may be yet: read before writing again. */
  | { readonly outcome: 'unknown' };
