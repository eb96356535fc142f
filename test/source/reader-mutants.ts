/** Faults put into the reader's logic on purpose, to show that the fuzzer finds them. */
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { Elector } from '../../src/source/elector.js';
import { Electorate } from '../../src/source/electorate.js';
import { LeaseCandidate } from '../../src/source/lease-candidate.js';
import { holderTermMs, ROUND_TIMEOUT_MS } from '../../src/source/lease-terms.js';
import { ReaderLease, type RoundState } from '../../src/source/reader-lease.js';
import { SourceReader } from '../../src/source/source-reader.js';
import type { LeaseReleaseMessage } from '../../src/wire/message.js';
import { LEASE } from './reader-world.js';

/** The logic with one guard taken out; gives a function that puts it back. */
export type Mutant = () => () => void;

/* eslint-disable @typescript-eslint/unbound-method -- methods are swapped, and called with `this` */
function replace<T extends object, K extends keyof T>(
  target: T,
  name: K,
  method: T[K],
): () => void {
  const original = target[name];
  target[name] = method;
  return () => {
    target[name] = original;
  };
}

interface HeldLease {
  readonly slot: string;
  readonly expiresAtMs: number;
}

/** Changes what a lease concludes from an answer; `now` is the time of that answer. */
function changeOutcome(
  change: (lease: ReaderLease, state: RoundState, now: number) => unknown,
): Mutant {
  return () => {
    const { record } = ReaderLease.prototype;
    const { handleAnswer } = LeaseCandidate.prototype;
    let now = 0;
    const undoAnswer = replace(
      LeaseCandidate.prototype,
      'handleAnswer',
      function (this: LeaseCandidate, ...args) {
        now = args[2];
        return handleAnswer.apply(this, args);
      },
    );
    const undoRecord = replace(
      ReaderLease.prototype,
      'record',
      function (this: ReaderLease, ...args) {
        const state = record.apply(this, args);
        if (state !== undefined && args[1].granted) {
          change(this, state, now);
          return this.heldSlot(now) === undefined ? state : 'won';
        }
        return state;
      },
    );
    return () => {
      undoAnswer();
      undoRecord();
    };
  };
}

function setHeldLease(lease: ReaderLease, slot: string, expiresAtMs: number): void {
  const held: HeldLease = { slot, expiresAtMs };
  Object.assign(lease, { held });
}

/** Begin and slot of the round under way. */
function roundOf(lease: ReaderLease): { startedAtMs: number; slot: string } {
  return (lease as unknown as { round: { startedAtMs: number; slot: string } }).round;
}

const ORIGINAL_GUARDED_UNTIL_MS = Electorate.prototype.guardedUntilMs;

/** Each guard of the lease protocol, taken out. */
export const READER_MUTANTS: Readonly<Record<string, Mutant>> = {
  'a restarted or new elector grants at once': () =>
    replace(Electorate.prototype, 'guardedUntilMs', function (this: Electorate, slot) {
      return ORIGINAL_GUARDED_UNTIL_MS.call(this, slot) === Infinity ? Infinity : -Infinity;
    }),
  'a machine that becomes an elector grants at once': () =>
    replace(Electorate.prototype, 'guardedUntilMs', function (this: Electorate, slot) {
      const { startedAtMs } = this as unknown as { startedAtMs: number };
      const guardedUntilMs = ORIGINAL_GUARDED_UNTIL_MS.call(this, slot);
      return guardedUntilMs === Infinity ? Infinity : startedAtMs + 2 * LEASE.durationMs;
    }),
  'a lease runs as long at the holder as at the elector': changeOutcome((lease, state) => {
    const { slot, startedAtMs } = roundOf(lease);
    return state === 'won' && setHeldLease(lease, slot, startedAtMs + LEASE.durationMs);
  }),
  'a lease counts from the last grant': changeOutcome((lease, state, now) => {
    const { slot } = roundOf(lease);
    return state === 'won' && setHeldLease(lease, slot, now + holderTermMs(LEASE.durationMs));
  }),
  'an elector believes a wall clock that is set forward': () =>
    replace(Elector.prototype, 'postpone', () => undefined),
  'one grant is enough': changeOutcome((lease, _state, now) => {
    const { slot, startedAtMs } = roundOf(lease);
    return (
      now < startedAtMs + ROUND_TIMEOUT_MS &&
      setHeldLease(lease, slot, startedAtMs + holderTermMs(LEASE.durationMs))
    );
  }),
  'an elector grants to whoever asks': () => {
    const { request } = Elector.prototype;
    return replace(Elector.prototype, 'request', function (this: Elector, ...args) {
      (this as unknown as { grants: Map<string, unknown> }).grants.clear();
      return request.apply(this, args);
    });
  },
  'a late release frees a newer grant': () => {
    const { release } = Elector.prototype;
    return replace(
      Elector.prototype,
      'release',
      function (this: Elector, from: PeerIdentity, message: LeaseReleaseMessage, nowMs) {
        release.call(this, from, { ...message, round: Number.MAX_SAFE_INTEGER }, nowMs);
      },
    );
  },
  'a read does not look at the clock': () => {
    const original = SourceReader.prototype.readableUntilMs;
    return replace(SourceReader.prototype, 'readableUntilMs', function (this: SourceReader) {
      return original.call(this) === -Infinity ? -Infinity : Infinity;
    });
  },
};
