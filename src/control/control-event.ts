/**
 * Input events and output effects of the control plane's decision logic. The logic does no I/O and
 * reads no clock: the runtime, the emulator and the fuzzer all drive it through these types.
 */
import type { ClaimCommand } from '../claims/claim-command.js';
import type { Suspicion } from '../containment/suspicion.js';
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { Snapshot } from '../model/snapshot.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { OperatorWrite, WriteOutcome } from '../replication/operator-write.js';
import type { DocumentName, PeerMessage } from '../wire/message.js';

/** Documents that can be read from the platform. */
export type PlatformDocument = Extract<DocumentName, 'source' | 'machines'>;

/** Result of a read of the platform. */
export type PlatformAnswer =
  | {
      readonly outcome: 'document';
      readonly number: number;
      /** Keys to canonical JSON text: see `source-document.ts` and `machine.ts`. */
      readonly values: ReadonlyMap<string, string>;
    }
  /** The platform still has the version named in the read. */
  | { readonly outcome: 'not-modified' }
  /**
   * Malformed, oversized or with dangling references: refused as a whole. `number` is 0 if it could
   * not be read.
   */
  | {
      readonly outcome: 'invalid';
      readonly number: number;
      readonly faults: readonly ConfigurationFault[];
    }
  /** Unreachable, overloaded or too slow. */
  | { readonly outcome: 'unavailable'; readonly retryAfterMs?: number };

/** Input of {@link ControlComponent.handle}, which also receives the time of the event. */
export type ControlEvent =
  | { readonly type: 'start' }
  /** The time of `nextWakeAt()` was reached; the event may be slightly late. */
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
  /** An operator's write was received; `onOutcome` is called exactly once, possibly later. */
  | {
      readonly type: 'operator-write';
      readonly write: OperatorWrite;
      readonly onOutcome: (outcome: WriteOutcome) => void;
    }
  /** The request path claims an idempotency key or reports the outcome of a claimed request. */
  | { readonly type: 'claim'; readonly command: ClaimCommand }
  /** The request path changed its suspicions of requests that may crash endpoints. */
  | { readonly type: 'suspicions'; readonly changed: readonly Suspicion[] }
  /** A planned stop: the node announces its departure and releases its leases. */
  | { readonly type: 'stop' };

/** An action to execute; effects of one event are executed in order. */
export type ControlEffect =
  /** Open a link; followed by `peer-up` or `dial-failed`. */
  | { readonly type: 'dial'; readonly target: PeerAddress }
  /** Close every link to the peer; no `peer-down` follows. */
  | { readonly type: 'hang-up'; readonly peerId: string }
  /** Send on an open link; dropped if there is none. */
  | { readonly type: 'send'; readonly to: string; readonly message: PeerMessage }
  /** Read from the platform; must be aborted after `abortAfterMs`, with outcome `unavailable`. */
  | {
      readonly type: 'read-platform';
      readonly document: PlatformDocument;
      readonly readId: number;
      /** Number of the held version, for a conditional read; 0 if none is held. */
      readonly knownNumber: number;
      readonly abortAfterMs: number;
    }
  /** Close the connection to the platform, because this node is no longer a reader. */
  | { readonly type: 'close-platform' }
  /** The configuration in force changed. */
  | { readonly type: 'snapshot-changed'; readonly snapshot: Snapshot }
  /** Log a state change. */
  | { readonly type: 'state-change'; readonly what: string; readonly detail: string };

/** Destination for counter increments; names are Prometheus counter names. */
export interface CounterSink {
  /** Adds `by` (default 1) to the counter `name`. */
  add(name: string, by?: number): void;
}

/** Source of random numbers, uniform in [0, 1); seeded in tests. */
export type RandomSource = () => number;

/**
 * A part of the control plane. `handle` returns effects in order. `nextWakeAt` returns the time at
 * which the next `wake` event is needed, in milliseconds of the same monotonic clock as `nowMs`, or
 * Infinity.
 */
export interface ControlComponent {
  handle(event: ControlEvent, nowMs: number): ControlEffect[];
  nextWakeAt(): number;
}
