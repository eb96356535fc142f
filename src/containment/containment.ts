/**
 * Stops requests that crash every endpoint they run on from being sent to further endpoints. Learns of crashes
 * from the endpoints on its machine and from other nodes, and shares them with other nodes; see
 * `docs/DESIGN.md`, _Containment_.
 *
 * Without containment, each copy of such a request counts as a new request. With seven copies a second at three
 * nodes with six endpoints, endpoints crashed 32 times in 14 s and a share of 0.26 of all other requests was served;
 * with containment, 3 crashes and a share of 1.00 (`npm run crashes`).
 */
import type { CounterSink } from '../control/control-event.js';
import { cryptography } from '../model/cryptography.js';
import { RequestFingerprint, type FingerprintedParts } from './request-fingerprint.js';
import {
  CRASH_ID_DIGITS,
  CRASHES_TO_CONTAIN,
  type Standing,
  type Suspicion,
  type SuspicionReport,
} from './suspicion.js';
import { SuspicionTable } from './suspicion-table.js';

/** Maximum number of fingerprints in one log line. */
const MAX_LOGGED_FINGERPRINTS = 16;
/** Minimum time between two removals of expired entries, in milliseconds. */
const EXPIRY_INTERVAL_MS = 1_000;

/** Dependencies that the node provides. */
export interface ContainmentOptions {
  /** Prefix of the crash ids of this node; unique among all processes. */
  readonly nodeName: string;
  /** Header that names a request's caller, in lower case; undefined when there is none. */
  readonly callerHeader: string | undefined;
  /** The node's clock, in milliseconds. */
  readonly nowMs: () => number;
  readonly counters: CounterSink;
  /** Logs a change of state in one line. */
  readonly logStateChange: (event: string, detail: string) => void;
}

/** Receives changed suspicions, to be shared with other nodes. */
export type SuspicionListener = (changed: readonly Suspicion[]) => void;

/** The part of containment that the request path uses. */
export interface CallContainment {
  standingOf(parts: FingerprintedParts): Standing;
  /** Time for which the request remains contained, in milliseconds. */
  containedForMs(parts: FingerprintedParts): number;
  /** Records that an endpoint's process ended; `calls` are the requests that it was processing, latest first. */
  endpointEnded(endpoint: string, calls: readonly FingerprintedParts[]): void;
  /** Records that an endpoint answered the request successfully and completely. */
  answered(parts: FingerprintedParts): void;
  fingerprintOf(parts: FingerprintedParts): string;
}

/** Containment state of one node. */
export class Containment implements CallContainment {
  private readonly table = new SuspicionTable();
  /** Cached by request object, so that a node computes the digests of a request once. */
  private readonly fingerprints = new WeakMap<FingerprintedParts, RequestFingerprint>();
  private readonly listeners = new Set<SuspicionListener>();
  private crashCount = 0;
  private lastExpiryAtMs = -Infinity;

  constructor(private readonly options: ContainmentOptions) {}

  /** Adds a listener for all changes except those passed to {@link learn} by the listener itself. */
  subscribe(listener: SuspicionListener): void {
    this.listeners.add(listener);
  }

  /** Digest of all entries, equal at nodes with equal entries; 0 when there are none. */
  get digest(): number {
    return this.table.digest;
  }

  /** Number of entries, including cleared ones. */
  get size(): number {
    return this.table.size;
  }

  get containedCount(): number {
    return this.table.containedCount(this.options.nowMs());
  }

  standingOf(parts: FingerprintedParts): Standing {
    return this.mayBeSuspected(parts)
      ? this.table.standingOf(this.fingerprintOf(parts), this.options.nowMs())
      : 'clear';
  }

  containedForMs(parts: FingerprintedParts): number {
    return this.table.containedForMs(this.fingerprintOf(parts), this.options.nowMs());
  }

  endpointEnded(endpoint: string, calls: readonly FingerprintedParts[]): void {
    this.crashCount += 1;
    const { nodeName, counters, logStateChange, nowMs } = this.options;
    const crash = crashIdOf(`${nodeName} ${this.crashCount}`);
    const changed = this.table.recordCrash(
      calls.map((call) => this.fingerprintOf(call)),
      crash,
      nowMs(),
    );
    counters.add('ferryspool_endpoints_ended_total');
    const fingerprints = changed.map(({ fingerprint }) => fingerprint);
    const loggedFingerprints = fingerprints.slice(0, MAX_LOGGED_FINGERPRINTS).join(' ');
    logStateChange(
      'endpoint-ended',
      `${endpoint}, crash ${crash}, ${fingerprints.length} requests in flight: ${loggedFingerprints}`,
    );
    this.tell(changed, undefined);
  }

  answered(parts: FingerprintedParts): void {
    if (this.mayBeSuspected(parts)) {
      this.tell(this.table.clear(this.fingerprintOf(parts), this.options.nowMs()), undefined);
    }
  }

  /** Clears a request for all callers on behalf of an operator; false when no crash counted against it. */
  release(fingerprint: string): boolean {
    const changed = this.table.release(fingerprint, this.options.nowMs());
    this.tell(changed, undefined);
    return changed.length > 0;
  }

  /** Merges suspicions of another node; returns the changed ones and passes them to all listeners but `from`. */
  learn(suspicions: readonly Suspicion[], from?: SuspicionListener): readonly Suspicion[] {
    const changed = this.table.merge(suspicions, this.options.nowMs());
    this.tell(changed, from);
    return changed;
  }

  /** All suspicions, those with the most counted crashes first. */
  list(): Suspicion[] {
    return this.table.list(this.options.nowMs());
  }

  /** All suspicions with their standings, for operators. */
  report(): SuspicionReport[] {
    const nowMs = this.options.nowMs();
    return this.table.list(nowMs).map((suspicion) => ({
      ...suspicion,
      standing: this.table.standingOf(suspicion.fingerprint, nowMs),
      containedForMs: Math.round(this.table.containedForMs(suspicion.fingerprint, nowMs)),
    }));
  }

  /** Removes expired entries; to be called regularly. */
  tick(): void {
    const nowMs = this.options.nowMs();
    if (this.table.size > 0 && nowMs - this.lastExpiryAtMs >= EXPIRY_INTERVAL_MS) {
      this.lastExpiryAtMs = nowMs;
      this.table.expire(nowMs);
    }
  }

  fingerprintOf(parts: FingerprintedParts): string {
    return this.digestsOf(parts).fullDigest;
  }

  private mayBeSuspected(parts: FingerprintedParts): boolean {
    return this.table.size > 0 && this.table.hasHeadDigest(this.digestsOf(parts).headDigest);
  }

  private digestsOf(parts: FingerprintedParts): RequestFingerprint {
    let digests = this.fingerprints.get(parts);
    if (digests === undefined) {
      digests = new RequestFingerprint(parts, this.options.callerHeader);
      this.fingerprints.set(parts, digests);
    }
    return digests;
  }

  private tell(changed: readonly Suspicion[], from: SuspicionListener | undefined): void {
    if (changed.length === 0) {
      return;
    }
    for (const { fingerprint, crashes, cleared } of changed) {
      if (crashes.length - cleared.length >= CRASHES_TO_CONTAIN) {
        this.options.logStateChange(
          'request-contained',
          `${fingerprint} after ${crashes.join(' ')}`,
        );
      }
    }
    this.listeners.forEach((listener) => {
      if (listener !== from) {
        listener(changed);
      }
    });
  }
}

function crashIdOf(text: string): string {
  return cryptography().createHash('sha256').update(text).digest('hex').slice(0, CRASH_ID_DIGITS);
}

/** Containment that never suspects a request. */
export const NO_CONTAINMENT: CallContainment = {
  standingOf: () => 'clear',
  containedForMs: () => 0,
  endpointEnded: () => undefined,
  answered: () => undefined,
  fingerprintOf: () => '',
};
