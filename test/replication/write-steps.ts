/** Scripts of operators' writes and failures, and their arbitraries. */
import fc from 'fast-check';

const KEYS = 3;
/** One step of a script. Node numbers select a machine at the time when the step runs. */
export type Step =
  | {
      readonly type: 'write';
      readonly node: number;
      readonly key: number;
      readonly precondition: 'none' | 'absent' | 'held' | 'stale';
      readonly isDeletion: boolean;
    }
  | { readonly type: 'kill' | 'replace'; readonly node: number }
  | { readonly type: 'restart' | 'heal' }
  /** Kills nodes even if the majority is lost; only in directed scripts. */
  | { readonly type: 'herd'; readonly nodes: readonly number[] }
  | { readonly type: 'leave'; readonly node: number }
  | { readonly type: 'pause'; readonly node: number; readonly durationMs: number }
  | { readonly type: 'cut'; readonly mask: number; readonly isOneWay: boolean }
  /** Partitions a node and the next `others` nodes from the remaining ones. */
  | { readonly type: 'isolate'; readonly node: number; readonly others: number }
  | { readonly type: 'faults'; readonly level: number }
  | { readonly type: 'wait'; readonly durationMs: number };

/** Selects the primary of the latest view, if there is one. */
export const PRIMARY = 64;

const node = fc.oneof(fc.constant(PRIMARY), fc.nat(PRIMARY - 1));
const write = fc.record({
  type: fc.constant('write' as const),
  node,
  key: fc.nat(KEYS - 1),
  precondition: fc.constantFrom('none', 'absent', 'held', 'stale'),
  isDeletion: fc.boolean(),
});

/** Any step except `herd`; writes and waits are the most frequent. */
export const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 10, arbitrary: write },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      durationMs: fc.oneof(fc.nat(10), fc.nat(100), fc.nat(8_000)),
    }),
  },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('kill' as const), node }) },
  {
    weight: 3,
    arbitrary: fc.record({ type: fc.constantFrom('restart' as const, 'heal' as const) }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constantFrom('replace' as const), node }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('leave' as const), node }) },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant('pause' as const), node, durationMs: fc.nat(20_000) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('cut' as const),
      mask: fc.nat(63),
      isOneWay: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ type: fc.constant('isolate' as const), node, others: fc.nat(2) }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('faults' as const), level: fc.nat(2) }) },
);

/** A fleet, and the steps that are run on it. */
export interface Script {
  readonly seed: number;
  readonly voters: 1 | 3 | 5;
  /** Whether the group is formed before the first step. */
  readonly isWarm: boolean;
  readonly steps: readonly Step[];
}

export const arbitraryScript: fc.Arbitrary<Script> = fc.record({
  seed: fc.integer(),
  voters: fc.constantFrom(1, 3, 3, 5, 5, 5),
  isWarm: fc.constantFrom(true, true, true, false),
  steps: fc.array(arbitraryStep, { minLength: 5, maxLength: 40, size: 'max' }),
});
