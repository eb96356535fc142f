/**
 * Keeps requests that end each endpoint which runs them from running on. Learns from the endpoints beside
 * this node and from other nodes, and tells them; see `docs/DESIGN.md`, _Containment_.
 *
 * Without it each copy of such a request was a new one: seven a second, at three nodes with six endpoints,
 * ended 32 of these in 14 s and left 0.26 of all other requests served; now 3, and 1.00 (`npm run crashes`).
 */
import type { CounterSink } from '../control/control-event.js';
import { cryptography } from '../model/cryptography.js';
import { RequestFingerprint, type FingerprintedParts } from './request-fingerprint.js';
import {
  CRASH_NAME_DIGITS,
  CRASHES_TO_CONTAIN,
  type Standing,
  type Suspicion,
  type SuspicionReport,
} from './suspicion.js';
import { SuspicionTable } from './suspicion-table.js';

/** Fingerprints that a line of the log names at most. */
const MAX_SHOWN = 16;
/** Least time between two looks for what has expired, in milliseconds. */
const EXPIRY_INTERVAL_MS = 1_000;

/** What containment needs of its node. */
export interface ContainmentOptions {
  /** Names the crashes that this node sees: no other process has the same. */
  readonly nodeName: string;
  /** Header that names a request's caller, in lower case; undefined where none does. */
  readonly callerHeader: string | undefined;
  /** The node's clock, in milliseconds. */
  readonly nowMs: () => number;
  readonly counters: CounterSink;
  /** Writes one line on a change of state. */
  readonly logStateChange: (what: string, detail: string) => void;
}

/** Takes what other nodes are to know. */
export type SuspicionListener = (changed: readonly Suspicion[]) => void;

/** What the request path asks and tells. */
export interface CallContainment {
  standingOf(parts: FingerprintedParts): Standing;
  /** How much longer the request is contained, in milliseconds. */
  containedForMs(parts: FingerprintedParts): number;
  /** An endpoint's process ended; `calls` were at work there, the latest first. */
  endpointEnded(endpoint: string, calls: readonly FingerprintedParts[]): void;
  /** An endpoint answered the request with success, in whole. */
  answered(parts: FingerprintedParts): void;
  fingerprintOf(parts: FingerprintedParts): string;
}

/** Containment of one node. */
export class Containment implements CallContainment {
  private readonly table = new SuspicionTable();
  /** By the objects of the request path, so that a request is digested once at a node. */
  private readonly fingerprints = new WeakMap<FingerprintedParts, RequestFingerprint>();
  private readonly listeners = new Set<SuspicionListener>();
  private crashCount = 0;
  private expiredAtMs = -Infinity;

  constructor(private readonly options: ContainmentOptions) {}

  /** Adds one that is told of every change, but for those that it has brought. */
  subscribe(listener: SuspicionListener): void {
    this.listeners.add(listener);
  }

  /** The same at two nodes that know the same; 0 where nothing is known. */
  get digest(): number {
    return this.table.digest;
  }

  /** Requests that are kept in mind, those among them that are cleared. */
  get size(): number {
    return this.table.size;
  }

  get containedCount(): number {
    return this.table.containedCount(this.options.nowMs());
  }

  standingOf(parts: FingerprintedParts): Standing {
    return this.mayKnow(parts)
      ? this.table.standingOf(this.fingerprintOf(parts), this.options.nowMs())
      : 'clear';
  }

  containedForMs(parts: FingerprintedParts): number {
    return this.table.containedForMs(this.fingerprintOf(parts), this.options.nowMs());
  }

  endpointEnded(endpoint: string, calls: readonly FingerprintedParts[]): void {
    this.crashCount += 1;
    const { nodeName, counters, logStateChange, nowMs } = this.options;
    const crash = crashNameOf(`${nodeName} ${this.crashCount}`);
    const changed = this.table.blame(
      calls.map((call) => this.fingerprintOf(call)),
      crash,
      nowMs(),
    );
    counters.add('ferryspool_endpoints_ended_total');
    const suspects = changed.map(({ fingerprint }) => fingerprint);
    const shown = suspects.slice(0, MAX_SHOWN).join(' ');
    logStateChange(
      'endpoint-ended',
      `${endpoint}, crash ${crash}, ${suspects.length} at work: ${shown}`,
    );
    this.tell(changed, undefined);
  }

  answered(parts: FingerprintedParts): void {
    if (this.mayKnow(parts)) {
      this.tell(this.table.clear(this.fingerprintOf(parts), this.options.nowMs()), undefined);
    }
  }

  /** An operator lets a request go, whoever calls; false when nothing stood against it. */
  release(fingerprint: string): boolean {
    const changed = this.table.release(fingerprint, this.options.nowMs());
    this.tell(changed, undefined);
    return changed.length > 0;
  }

  /** Takes what another node knows; gives what of it is new, and tells it to all listeners but `from`. */
  learn(suspicions: readonly Suspicion[], from?: SuspicionListener): readonly Suspicion[] {
    const changed = this.table.merge(suspicions, this.options.nowMs());
    this.tell(changed, from);
    return changed;
  }

  /** All that is known, what is most suspected first. */
  list(): Suspicion[] {
    return this.table.list(this.options.nowMs());
  }

  /** All that is known, as operators see it. */
  report(): SuspicionReport[] {
    const nowMs = this.options.nowMs();
    return this.table.list(nowMs).map((suspicion) => ({
      ...suspicion,
      standing: this.table.standingOf(suspicion.fingerprint, nowMs),
      containedForMs: Math.round(this.table.containedForMs(suspicion.fingerprint, nowMs)),
    }));
  }

  /** To be called now and then. */
  tick(): void {
    const nowMs = this.options.nowMs();
    if (this.table.size > 0 && nowMs - this.expiredAtMs >= EXPIRY_INTERVAL_MS) {
      this.expiredAtMs = nowMs;
      this.table.expire(nowMs);
    }
  }

  fingerprintOf(parts: FingerprintedParts): string {
    return this.digestsOf(parts).whole;
  }

  private mayKnow(parts: FingerprintedParts): boolean {
    return this.table.size > 0 && this.table.hasHead(this.digestsOf(parts).head);
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

function crashNameOf(text: string): string {
  return cryptography().createHash('sha256').update(text).digest('hex').slice(0, CRASH_NAME_DIGITS);
}

/** Knows nothing and learns nothing. */
export const NO_CONTAINMENT: CallContainment = {
  standingOf: () => 'clear',
  containedForMs: () => 0,
  endpointEnded: () => undefined,
  answered: () => undefined,
  fingerprintOf: () => '',
};
