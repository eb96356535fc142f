/** Where the resource API hands operators' writes to, and what can become of one. */
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { Resource, ResourceKey } from '../model/resource.js';

/** What must be true of the resource for the write to be accepted. */
export type WritePrecondition =
  /** There is no such resource. */
  | { readonly type: 'absent' }
  /** There is one, at any version. */
  | { readonly type: 'exists' }
  /** It is at this resource version; see `resource-version.ts`. */
  | { readonly type: 'version'; readonly version: string };

/** One write. */
export interface WriteRequest {
  readonly key: ResourceKey;
  /** The new content, checked against the schema; `undefined` deletes. */
  readonly resource: Resource | undefined;
  readonly precondition: WritePrecondition;
}

/** What became of a write. */
export type WriteOutcome =
  /** Held by a majority of the voters: it will never be undone. */
  | { readonly outcome: 'accepted'; readonly operatorRevision: number }
  /** Not accepted: the precondition does not hold. `currentVersion` is absent when there is none. */
  | { readonly outcome: 'conflict'; readonly currentVersion?: string }
  /** Not accepted: the configuration would not be valid, for example a dangling reference. */
  | { readonly outcome: 'invalid'; readonly faults: readonly ConfigurationFault[] }
  /** Not accepted, proved: for example no majority was asked. */
  | { readonly outcome: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** It may have been accepted, or may yet be; read the resource to find out. */
  | { readonly outcome: 'unknown'; readonly reason: string };

/** Takes writes. A rejected promise counts as `unknown`. */
export interface WritePort {
  submitWrite(request: WriteRequest): Promise<WriteOutcome>;
}

/** Time after which a refused write may be tried again when nothing better is known. */
const REFUSED_RETRY_AFTER_MS = 5_000;

/** Refuses every write; for a node that takes part in no acceptance. */
export const refusingWritePort: WritePort = {
  submitWrite: () =>
    Promise.resolve({
      outcome: 'refused',
      reason: 'this node accepts no writes',
      retryAfterMs: REFUSED_RETRY_AFTER_MS,
    }),
};
