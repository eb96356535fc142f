/** Mutants of the reader's logic, which show that the fuzzer detects faults. */
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { Elector } from '../../src/source/elector.js';
import { Electorate } from '../../src/source/electorate.js';
import { LeaseCandidate } from '../../src/source/lease-candidate.js';
import { holderTermMs, ROUND_TIMEOUT_MS } from '../../src/source/lease-terms.js';
import { ReaderLease, type RoundState } from '../../src/source/reader-lease.js';
import { SourceReader } from '../../src/source/source-reader.js';
import type { LeaseReleaseMessage } from '../../src/wire/message.js';
import { LEASE } from './reader-world.js';

/** Removes one safeguard from the logic; returns a function that restores it. */
export type Mutant = () => () => void;

/* eslint-disable @typescript-eslint/unbound-method -- methods are replaced and called with `this` */
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

/** Calls `change` after a lease has recorded a grant; `now` is the time of the answer. */
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

/** Start time and slot of the current round. */
function roundOf(lease: ReaderLease): { startedAtMs: number; slot: string } {
  return (lease as unknown as { round: { startedAtMs: number; slot: string } }).round;
}

const ORIGINAL_GUARDED_UNTIL_MS = Electorate.prototype.guardedUntilMs;

/** One mutant for each safeguard of the lease protocol. */
export const READER_MUTANTS: Readonly<Record<string, Mutant>> = {
  'a restarted or new elector grants immediately': () =>
    replace(Electorate.prototype, 'guardedUntilMs', function (this: Electorate, slot) {
      return ORIGINAL_GUARDED_UNTIL_MS.call(this, slot) === Infinity ? Infinity : -Infinity;
    }),
  'a machine that becomes an elector grants immediately': () =>
    replace(Electorate.prototype, 'guardedUntilMs', function (this: Electorate, slot) {
      const { startedAtMs } = this as unknown as { startedAtMs: number };
      const guardedUntilMs = ORIGINAL_GUARDED_UNTIL_MS.call(this, slot);
      return guardedUntilMs === Infinity ? Infinity : startedAtMs + 2 * LEASE.durationMs;
    }),
  'a lease lasts as long at the holder as at the elector': changeOutcome((lease, state) => {
    const { slot, startedAtMs } = roundOf(lease);
    return state === 'won' && setHeldLease(lease, slot, startedAtMs + LEASE.durationMs);
  }),
  'a lease starts at the last grant instead of the start of the round': changeOutcome(
    (lease, state, now) => {
      const { slot } = roundOf(lease);
      return state === 'won' && setHeldLease(lease, slot, now + holderTermMs(LEASE.durationMs));
    },
  ),
  'an elector does not compensate for a wall clock that is set forward': () =>
    replace(Elector.prototype, 'postpone', () => undefined),
  'one grant is sufficient for a lease': changeOutcome((lease, _state, now) => {
    const { slot, startedAtMs } = roundOf(lease);
    return (
      now < startedAtMs + ROUND_TIMEOUT_MS &&
      setHeldLease(lease, slot, startedAtMs + holderTermMs(LEASE.durationMs))
    );
  }),
  'an elector grants every request': () => {
    const { request } = Elector.prototype;
    return replace(Elector.prototype, 'request', function (this: Elector, ...args) {
      (this as unknown as { grants: Map<string, unknown> }).grants.clear();
      return request.apply(this, args);
    });
  },
  'a delayed release frees a newer grant': () => {
    const { release } = Elector.prototype;
    return replace(
      Elector.prototype,
      'release',
      function (this: Elector, from: PeerIdentity, message: LeaseReleaseMessage, nowMs) {
        release.call(this, from, { ...message, round: Number.MAX_SAFE_INTEGER }, nowMs);
      },
    );
  },
  'a read does not check the expiry of the lease': () => {
    const original = SourceReader.prototype.readableUntilMs;
    return replace(SourceReader.prototype, 'readableUntilMs', function (this: SourceReader) {
      return original.call(this) === -Infinity ? -Infinity : Infinity;
    });
  },
};
