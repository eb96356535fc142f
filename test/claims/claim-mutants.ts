/** Faults injected into the claims, to show that the tests detect them. */
import { ClaimComponent } from '../../src/claims/claim-component.js';
import { ClaimHolder } from '../../src/claims/claim-holder.js';
import { ClaimRound } from '../../src/claims/claim-round.js';
import { ClaimTable } from '../../src/claims/claim-table.js';

/** Disables one safety check; returns a function that restores it. */
type Mutant = () => () => void;

interface HolderInternals {
  isMember: boolean;
  memory: string;
  syncAtMs: number;
}

/* eslint-disable @typescript-eslint/unbound-method -- methods are replaced, and called with `this` */
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

const internalsOf = (holder: ClaimHolder): HolderInternals => holder as unknown as HolderInternals;

/** Disabled safety checks that the fuzzer must detect. */
export const CLAIM_MUTANTS: Readonly<Record<string, Mutant>> = {
  'a new holder grants at once': () =>
    replace(ClaimHolder.prototype, 'canGrant', function (this: ClaimHolder) {
      return internalsOf(this).isMember;
    }),
  'a new holder synchronizes with only one holder': () => {
    const { takeSync } = ClaimHolder.prototype;
    return replace(ClaimHolder.prototype, 'takeSync', function (this: ClaimHolder, ...args) {
      takeSync.call(this, args[0], args[1], 1, args[3]);
    });
  },
  'one grant is enough': () => {
    const { record } = ClaimRound.prototype;
    return replace(ClaimRound.prototype, 'record', function (this: ClaimRound, holder, step) {
      const outcome = record.call(this, holder, step);
      return step === 'granted' ? { outcome: 'won' } : outcome;
    });
  },
  'a holder grants a key twice': () => {
    const { request } = ClaimTable.prototype;
    return replace(ClaimTable.prototype, 'request', function (this: ClaimTable, ...args) {
      const step = request.apply(this, args);
      return step === 'claimed' ? 'granted' : step;
    });
  },
  'a finished key may be claimed again': () => {
    const { finish } = ClaimTable.prototype;
    return replace(ClaimTable.prototype, 'finish', function (this: ClaimTable, ...args) {
      finish.apply(this, args);
      this.release(...args);
    });
  },
};

/**
 * Disabled timing checks. Random schedules rarely produce the interleavings that need these checks,
 * so directed tests cover them instead.
 */
export const CLAIM_TIMING_MUTANTS = {
  'a new holder requests claims without the delay': () => {
    const { setMember } = ClaimHolder.prototype;
    return replace(
      ClaimHolder.prototype,
      'setMember',
      function (this: ClaimHolder, isMember, nowMs) {
        const wasMember = internalsOf(this).isMember;
        setMember.call(this, isMember, nowMs);
        if (isMember && !wasMember) {
          internalsOf(this).syncAtMs = nowMs;
        }
      },
    );
  },
  'a late majority is counted': () => {
    const component = ClaimComponent.prototype as unknown as Record<string, () => unknown>;
    return replace(component, 'endRounds', () => undefined);
  },
} satisfies Record<string, Mutant>;
