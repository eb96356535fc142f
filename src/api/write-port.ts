/** Port to which the resource API submits operators' writes, with their possible outcomes. */
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { Resource, ResourceKey } from '../model/resource.js';

/** Condition on the resource for the write to be accepted. */
export type WritePrecondition =
  /** The resource does not exist. */
  | { readonly type: 'absent' }
  /** The resource exists, at any version. */
  | { readonly type: 'exists' }
  /** The resource is at this version; see `resource-version.ts`. */
  | { readonly type: 'version'; readonly version: string };

/** One write. */
export interface WriteRequest {
  readonly key: ResourceKey;
  /** The new content, validated against the schema; `undefined` deletes the resource. */
  readonly resource: Resource | undefined;
  readonly precondition: WritePrecondition;
}

/** Outcome of a write. */
export type WriteOutcome =
  /** Held by a majority of the voters, so that it will never be undone. */
  | { readonly outcome: 'accepted'; readonly operatorRevision: number }
  /** Not accepted: the precondition does not hold. `currentVersion` is absent if there is no resource. */
  | { readonly outcome: 'conflict'; readonly currentVersion?: string }
  /** Not accepted: the configuration would not be valid, for example a dangling reference. */
  | { readonly outcome: 'invalid'; readonly faults: readonly ConfigurationFault[] }
  /** Proven not accepted, for example because no majority received the write. */
  | { readonly outcome: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** It may have been accepted or may still be; read the resource to find out. */
  | { readonly outcome: 'unknown'; readonly reason: string };

/** Accepts writes. A rejected promise counts as `unknown`. */
export interface WritePort {
  submitWrite(request: WriteRequest): Promise<WriteOutcome>;
}

/** Default delay before a refused write may be retried, in milliseconds. */
const REFUSED_RETRY_AFTER_MS = 5_000;

/** Refuses every write; for a node that does not participate in replication. */
export const refusingWritePort: WritePort = {
  submitWrite: () =>
    Promise.resolve({
      outcome: 'refused',
      reason: 'this node accepts no writes',
      retryAfterMs: REFUSED_RETRY_AFTER_MS,
    }),
};
