/** Deliberate faults in the logic, each made by altering what replicas see, and what catches it. */
import type { ReplicationMessage } from '../../src/replication/replication-message.js';
import type { Sabotage } from './sabotage.js';
import { PRIMARY, type Script, type Step } from './write-steps.js';

const SEED = 4_001;

type Alter = NonNullable<Sabotage['alter']>;

/** Alters messages of one type only. */
function altering<Type extends ReplicationMessage['type']>(
  type: Type,
  change: (
    message: Extract<ReplicationMessage, { type: Type }>,
    ...rest: Parameters<Alter> extends [unknown, ...infer Rest] ? Rest : never
  ) => ReplicationMessage,
): Sabotage {
  return {
    alter: (message, to) =>
      message.type === type
        ? change(message as Extract<ReplicationMessage, { type: Type }>, to)
        : message,
  };
}

/** Every vote counts twice: once for its sender, once for another voter that did not vote. */
const doubleVotes: Sabotage = {
  forge: (message, { from, to, network }) => {
    const isOther = (id: string): boolean => id !== from.id && id !== to.identity.id;
    const other = network.processes().find(({ identity }) => isOther(identity.id));
    const isVote = message.type === 'prepare-ok' && other !== undefined;
    return isVote ? [{ from: other.identity, message }] : [];
  },
};

/** A proposal of an earlier view is taken as one of the receiver's own view. */
const lateProposals: Sabotage = {
  forge: (message, { to, network }) => {
    const { ballot, primaryId } = to.replica.standing();
    const primary = network.processOf(primaryId ?? '')?.identity;
    const isLate =
      message.type === 'prepare' &&
      message.ballot.epoch === ballot.epoch &&
      message.ballot.view < ballot.view;
    return isLate && primary !== undefined
      ? [{ from: primary, message: { ...message, ballot } }]
      : [];
  },
};

/** A deliberate fault, and where it is caught. */
export interface Mutant {
  readonly name: string;
  readonly sabotage: Sabotage;
  /** A script that shows the fault, or the seed of arbitrary scripts of which one does. */
  readonly caughtBy: readonly Step[] | number;
  /** Voters, network seed and start of the script. */
  readonly setting?: Omit<Script, 'steps'>;
}

const WARM_THREE: Omit<Script, 'steps'> = { seed: 0, voters: 3, isWarm: true };

function put(node: number): Step {
  return { type: 'write', node, key: 0, precondition: 'none', isDeletion: false };
}

function wait(durationMs: number): Step {
  return { type: 'wait', durationMs };
}

/** The old primary's proposal is on its way while the next primary proposes another operation. */
const LATE_PROPOSAL: readonly Step[] = [
  { type: 'faults', level: 2 },
  put(PRIMARY),
  wait(4),
  { type: 'pause', node: PRIMARY, durationMs: 9_000 },
  wait(3_000),
  put(PRIMARY),
  put(1),
  wait(2_000),
  put(2),
  wait(9_000),
];

/** The primary and one more are cut off, too few to commit; the others go on. */
const CUT_MINORITY: readonly Step[] = [
  { type: 'isolate', node: 0, others: 1 },
  put(0),
  wait(12_000),
  put(2),
  wait(9_000),
];

/** One of the two that hold a write restarts, and meets the one that does not. */
const FORGETFUL_VOTER: readonly Step[] = [
  { type: 'isolate', node: 0, others: 1 },
  put(0),
  wait(500),
  { type: 'kill', node: 1 },
  { type: 'isolate', node: 0, others: 0 },
  { type: 'restart' },
  wait(9_000),
  put(2),
  wait(9_000),
];

/** A paused primary with a proposal of its own meets the only survivor of a later view. */
const TWO_LOGS: readonly Step[] = [
  { type: 'isolate', node: 0, others: 0 },
  put(0),
  { type: 'pause', node: 0, durationMs: 14_000 },
  wait(5_000),
  put(1),
  wait(8),
  { type: 'isolate', node: 1, others: 0 },
  { type: 'kill', node: 1 },
  wait(9_000),
];

/** A group of three forms on one side; one of them restarts on the side that knows nothing. */
const TWO_GROUPS: readonly Step[] = [
  { type: 'isolate', node: 0, others: 2 },
  wait(9_000),
  put(0),
  wait(200),
  { type: 'kill', node: 1 },
  { type: 'cut', mask: 0b000101, isOneWay: false },
  { type: 'restart' },
  wait(9_000),
  { type: 'heal' },
];

/**
 * Scripts that once broke the logic. The first: a voter that learned of the next epoch from the
 * document forgot its log, and then voted in the old epoch again.
 */
export const REGRESSIONS: readonly Script[] = [
  {
    ...WARM_THREE,
    steps: [
      { type: 'cut', mask: 5, isOneWay: false },
      { type: 'leave', node: 2 },
      wait(400),
      { type: 'replace', node: PRIMARY },
      put(PRIMARY),
      put(0),
    ],
  },
];

const WARM_FIVE: Omit<Script, 'steps'> = { seed: 0, voters: 5, isWarm: true };

/** A write, and then a herd of voters that dies at once. */
function herd(...nodes: readonly number[]): readonly Step[] {
  return [put(5), wait(3_000), { type: 'herd', nodes }, wait(2_000), { type: 'restart' }];
}

/** A majority of the voters is lost; the document lives on with the other nodes. */
export const LOST_MAJORITIES: readonly (Script & { readonly name: string })[] = [
  { ...WARM_FIVE, name: 'all voters', steps: herd(0, 1, 2, 3, 4) },
  { ...WARM_FIVE, name: 'most voters', steps: herd(0, 1, 2) },
  { ...WARM_FIVE, name: 'most voters, the primary lives', steps: herd(1, 2, 3) },
  {
    ...WARM_FIVE,
    name: 'most voters, and one more for a while',
    steps: [...herd(2, 3, 4), wait(30_000), { type: 'kill', node: 1 }, wait(9_000)],
  },
  { ...WARM_THREE, name: 'all of three voters', steps: herd(0, 1, 2) },
  { ...WARM_THREE, voters: 1, name: 'the only voter', steps: herd(0) },
];

/** Every mutant must be caught. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: 'a restarted process votes in its old place',
    sabotage: { keepsIncarnation: true },
    caughtBy: FORGETFUL_VOTER,
    setting: WARM_THREE,
  },
  { name: 'a minority commits', sabotage: doubleVotes, caughtBy: CUT_MINORITY },
  {
    name: 'a proposal of an earlier view is accepted',
    sabotage: lateProposals,
    caughtBy: LATE_PROPOSAL,
    setting: { ...WARM_THREE, seed: 44 },
  },
  {
    name: 'a view starts without the pending operation',
    sabotage: altering('do-view-change', (message) => ({ ...message, pending: undefined })),
    caughtBy: SEED,
  },
  {
    name: 'a view starts from any log instead of the latest',
    sabotage: altering('do-view-change', (message) => ({ ...message, lastNormalView: 0 })),
    caughtBy: TWO_LOGS,
    setting: WARM_THREE,
  },
  {
    caughtBy: SEED,
    name: 'a primary does not check preconditions',
    sabotage: altering('write', (message) => ({
      ...message,
      write: {
        changes: message.write.changes.map(({ key, json }) => ({ key, json })),
      },
    })),
  },
  {
    caughtBy: SEED,
    name: 'a request that is sent again is executed again',
    sabotage: {
      alter: (message: ReplicationMessage): ReplicationMessage => {
        const { requestId } = message as { requestId?: string };
        if (message.type === 'write') {
          return { ...message, requestId: `${requestId}/${message.attempt}` };
        }
        return message.type === 'write-answer'
          ? { ...message, requestId: message.requestId.split('/').slice(0, 3).join('/') }
          : message;
      },
    },
  },
  {
    caughtBy: SEED,
    name: 'a write whose fate is not known is called not accepted',
    sabotage: {
      tell: (outcome) =>
        outcome.outcome === 'unknown'
          ? { outcome: 'not-accepted', reason: 'no-majority' }
          : outcome,
    },
  },
  {
    name: 'a group is formed without those that can not be reached',
    sabotage: { treatsUnlinkedAsGone: true },
    caughtBy: TWO_GROUPS,
    setting: { seed: 0, voters: 5, isWarm: false },
  },
];
