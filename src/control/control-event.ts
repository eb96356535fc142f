/**
 * Events into and effects out of the control plane's decision logic. The logic does no I/O and reads
 * no clock: the runtime, the emulator and the fuzzer all drive it through these types.
 */
import type { ClaimCommand } from '../claims/claim-command.js';
import type { Suspicion } from '../containment/suspicion.js';
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { Snapshot } from '../model/snapshot.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { OperatorWrite, WriteOutcome } from '../replication/operator-write.js';
import type { DocumentName, PeerMessage } from '../wire/message.js';

/** The two documents that the platform offers for reading. */
export type PlatformDocument = Extract<DocumentName, 'source' | 'machines'>;

/** What a read of the platform gave. */
export type PlatformAnswer =
  | {
      readonly outcome: 'document';
      readonly number: number;
      /** Keys to canonical JSON text: see `source-document.ts` and `machine.ts`. */
      readonly values: ReadonlyMap<string, string>;
    }
  /** The platform still has the version named in the read. */
  | { readonly outcome: 'not-modified' }
  /** Malformed, oversized or dangling: refused whole. `number` is 0 where it could not be read. */
  | {
      readonly outcome: 'invalid';
      readonly number: number;
      readonly faults: readonly ConfigurationFault[];
    }
  /** Unreachable, overloaded or too slow. */
  | { readonly outcome: 'unavailable'; readonly retryAfterMs?: number };

/** Something that happened; `handle` gets it with the time at which it happened. */
export type ControlEvent =
  | { readonly type: 'start' }
  /** The time of `nextWakeAt()` has come, or a little more. */
  | { readonly type: 'wake' }
  | { readonly type: 'peer-up'; readonly peer: PeerIdentity }
  /** The last link to the peer closed. */
  | { readonly type: 'peer-down'; readonly peer: PeerIdentity }
  | { readonly type: 'dial-failed'; readonly target: PeerAddress }
  | { readonly type: 'message'; readonly from: PeerIdentity; readonly message: PeerMessage }
  | {
      readonly type: 'platform-answer';
      readonly document: PlatformDocument;
      readonly readId: number;
      readonly answer: PlatformAnswer;
    }
  /** An operator's write came to this node; `onOutcome` is called exactly once, perhaps later. */
  | {
      readonly type: 'operator-write';
      readonly write: OperatorWrite;
      readonly onOutcome: (outcome: WriteOutcome) => void;
    }
  /** The request path claims an idempotency key, or tells how a claimed request ended. */
  | { readonly type: 'claim'; readonly command: ClaimCommand }
  /** The request path has learnt something of requests under which endpoints ended. */
  | { readonly type: 'suspicions'; readonly changed: readonly Suspicion[] }
  /** A planned stop: tell the fleet, give leases back. */
  | { readonly type: 'stop' };

/** Something to be done; effects of one event are executed in order. */
export type ControlEffect =
  /** Open a link; answered by `peer-up` or `dial-failed`. */
  | { readonly type: 'dial'; readonly target: PeerAddress }
  /** Close every link to the peer; no `peer-down` follows. */
  | { readonly type: 'hang-up'; readonly peerId: string }
  /** Send on an open link; dropped when there is none. */
  | { readonly type: 'send'; readonly to: string; readonly message: PeerMessage }
  /** Read the platform; must be abandoned after `abortAfterMs`, with `unavailable`. */
  | {
      readonly type: 'read-platform';
      readonly document: PlatformDocument;
      readonly readId: number;
      /** Number of the version held, for a conditional read; 0 for none. */
      readonly knownNumber: number;
      readonly abortAfterMs: number;
    }
  /** Close the connection to the platform: this node no longer may read. */
  | { readonly type: 'close-platform' }
  /** The configuration in force changed. */
  | { readonly type: 'snapshot-changed'; readonly snapshot: Snapshot }
  /** A change of state worth one line in the log. */
  | { readonly type: 'state-change'; readonly what: string; readonly detail: string };

/** Where components add to counters; names are Prometheus counter names. */
export interface CounterSink {
  /** Adds `by` (default 1) to the counter `name`. */
  add(name: string, by?: number): void;
}

/** Random numbers for decisions, uniform in [0, 1); seeded in tests. */
export type RandomSource = () => number;

/**
 * A part of the control plane. `handle` returns effects in order; `nextWakeAt` is the time of the
 * next `wake` it needs, in milliseconds of the same monotonic clock as `nowMs`, or Infinity.
 */
export interface ControlComponent {
  handle(event: ControlEvent, nowMs: number): ControlEffect[];
  nextWakeAt(): number;
}
