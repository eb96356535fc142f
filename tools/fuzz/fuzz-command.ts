/** The commands of a fuzzing script: everything that may happen to a fleet, as plain data. */
import fc from 'fast-check';

/** Machines in a fuzzed fleet. */
export const FUZZ_MACHINES = 12;
/** Zones and regions of a fuzzed fleet. */
export const FUZZ_ZONES = 4;
export const FUZZ_REGIONS = 2;
/** Longest time before one command, in milliseconds. */
const LONGEST_PAUSE_MS = 40_000;

/** How often a command is an operator's write, against all others. */
const OPERATOR_WRITE_WEIGHT = 1;
const OTHER_ACTIONS_WEIGHT = 8;

/** What a publication of the source is. */
export const PUBLICATIONS = [
  'next',
  'skip-numbers',
  'same-number',
  /** One number, one document for readers of even zones and another for those of odd ones. */
  'split',
  'lower-number',
  'dangling-route',
  'missing-secret',
  'malformed',
] as const;
export type Publication = (typeof PUBLICATIONS)[number];

/** A part of the fleet, by position, so that a script holds numbers only. */
export interface GroupChoice {
  readonly by: 'zone' | 'region' | 'id';
  readonly index: number;
}

/** What a command does. */
export type FuzzAction =
  | { readonly type: 'publish'; readonly publication: Publication; readonly content: number }
  | { readonly type: 'platform-mode'; readonly mode: 'up' | 'refusing' | 'hanging' }
  | { readonly type: 'stale'; readonly by: number }
  | { readonly type: 'source-from-zero'; readonly content: number }
  | { readonly type: 'kill'; readonly group: GroupChoice; readonly machineGone: boolean }
  | { readonly type: 'start'; readonly group: GroupChoice }
  | { readonly type: 'start-all' }
  | {
      readonly type: 'cut';
      readonly group: GroupChoice;
      readonly direction: 'both' | 'outbound' | 'inbound';
      readonly withPlatform: boolean;
    }
  | { readonly type: 'heal' }
  | { readonly type: 'freeze'; readonly group: GroupChoice }
  | { readonly type: 'thaw-all' }
  | { readonly type: 'list-lag'; readonly lagMs: number }
  | { readonly type: 'leave'; readonly machine: number }
  | { readonly type: 'stress'; readonly duplicate: boolean; readonly reorder: boolean }
  | {
      readonly type: 'operator-write';
      readonly machine: number;
      /** Which of a few resources is written. */
      readonly resource: number;
      readonly isDeletion: boolean;
      readonly precondition: 'none' | 'absent' | 'exists';
    }
  | { readonly type: 'nothing' };

/** One step of a script: time passes, then something happens. */
export interface FuzzCommand {
  readonly afterMs: number;
  readonly action: FuzzAction;
}

const group: fc.Arbitrary<GroupChoice> = fc.oneof(
  { weight: 4, arbitrary: groupOf('id', FUZZ_MACHINES) },
  { weight: 2, arbitrary: groupOf('zone', FUZZ_ZONES) },
  { weight: 1, arbitrary: groupOf('region', FUZZ_REGIONS) },
);

const content = fc.nat({ max: 15 });

const action: fc.Arbitrary<FuzzAction> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('publish' as const),
      publication: fc.oneof(
        { weight: 6, arbitrary: fc.constant('next' as const) },
        { weight: 4, arbitrary: fc.constantFrom(...PUBLICATIONS) },
      ),
      content,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('platform-mode' as const),
      mode: fc.constantFrom('up' as const, 'refusing' as const, 'hanging' as const),
    }),
  },
  only('stale', { by: fc.nat({ max: 3 }) }),
  only('source-from-zero', { content }),
  only('kill', { group, machineGone: fc.boolean() }, 3),
  only('start', { group }, 2),
  only('start-all', {}, 2),
  only(
    'cut',
    {
      group,
      direction: fc.constantFrom('both' as const, 'outbound' as const, 'inbound' as const),
      withPlatform: fc.boolean(),
    },
    3,
  ),
  only('heal', {}, 2),
  only('freeze', { group }, 3),
  only('thaw-all', {}, 3),
  only('list-lag', { lagMs: fc.integer({ min: 0, max: 120_000 }) }),
  only('leave', { machine: fc.nat({ max: FUZZ_MACHINES - 1 }) }),
  only('stress', { duplicate: fc.boolean(), reorder: fc.boolean() }),
  only('nothing', {}, 2),
);

const operatorWrite: fc.WeightedArbitrary<FuzzAction> = only(
  'operator-write',
  {
    machine: fc.nat({ max: FUZZ_MACHINES - 1 }),
    resource: fc.nat({ max: 2 }),
    isDeletion: fc.boolean(),
    precondition: fc.constantFrom('none' as const, 'absent' as const, 'exists' as const),
  },
  OPERATOR_WRITE_WEIGHT,
);

const pause = fc.oneof(
  fc.integer({ min: 0, max: 100 }),
  fc.integer({ min: 0, max: 3_000 }),
  fc.integer({ min: 0, max: LONGEST_PAUSE_MS }),
);

/** Scripts of up to `maxCommands` commands, with operators' writes or without. */
export function fuzzScripts(maxCommands: number, withWrites = false): fc.Arbitrary<FuzzCommand[]> {
  const actions = withWrites
    ? fc.oneof({ weight: OTHER_ACTIONS_WEIGHT, arbitrary: action }, operatorWrite)
    : action;
  return fc.array(fc.record({ afterMs: pause, action: actions }), {
    maxLength: maxCommands,
    size: 'max',
  });
}

function groupOf(by: GroupChoice['by'], count: number): fc.Arbitrary<GroupChoice> {
  return fc.record({ by: fc.constant(by), index: fc.nat({ max: count - 1 }) });
}

function only<Type extends string, Fields extends object>(
  type: Type,
  fields: { [Key in keyof Fields]: fc.Arbitrary<Fields[Key]> },
  weight = 1,
): fc.WeightedArbitrary<{ type: Type } & Fields> {
  const arbitrary = fc.record({ type: fc.constant(type), ...fields }) as unknown;
  return { weight, arbitrary: arbitrary as fc.Arbitrary<{ type: Type } & Fields> };
}
