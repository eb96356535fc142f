/** Operators' writes: requests and outcomes. */
import type { ConfigurationFault } from '../model/configuration-error.js';

/** Maximum number of changes in one write, which are accepted together or not at all. */
export const MAX_CHANGES_PER_WRITE = 256;

/**
 * Condition on a resource in the merged configuration that must hold for a change to be made: the
 * resource is absent, exists, or has the given version.
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

/** One or more changes that are accepted atomically. */
export interface OperatorWrite {
  readonly changes: readonly ResourceChange[];
}

/** Why a write was provably not accepted. */
export type NotAcceptedReason =
  /** This fleet has no voters: the settings declare none, or they have not formed a group yet. */
  | 'no-voters'
  /** No voter could be reached, or none of those reached is a primary with a majority. */
  | 'no-majority'
  /** The primary's queue is full. */
  | 'overloaded'
  /** The node that received the write is too far behind the operators' revision. */
  | 'stale-base'
  /** A newer primary committed another operation under its number. */
  | 'superseded';

export type WriteOutcome =
  /** Stored by a majority of the voters; never undone. */
  | { readonly outcome: 'accepted'; readonly revision: number }
  /**
   * Not accepted: a precondition does not hold. `currentVersion` is absent if no resource exists.
   */
  | {
      readonly outcome: 'conflict';
      readonly key: string;
      readonly currentVersion?: string | undefined;
    }
  /** Not accepted: malformed, too large, or it would leave references dangling. */
  | { readonly outcome: 'invalid'; readonly faults: readonly ConfigurationFault[] }
  /** Provably not accepted, now or later; the write can be retried safely. */
  | { readonly outcome: 'not-accepted'; readonly reason: NotAcceptedReason }
  /** It may have been accepted, or may still be: read before writing again. */
  | { readonly outcome: 'unknown' };
