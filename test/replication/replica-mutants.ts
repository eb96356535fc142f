/**
 * Injected protocol faults, made by altering or forging messages, and the scripts that detect them.
 */
import type { ReplicationMessage } from '../../src/replication/replication-message.js';
import type { FaultInjection } from './fault-injection.js';
import { PRIMARY, type Script, type Step } from './write-steps.js';

const SEED = 4_001;

type Alter = NonNullable<FaultInjection['alter']>;

/** Alters messages of one type only. */
function alterMessages<Type extends ReplicationMessage['type']>(
  type: Type,
  change: (
    message: Extract<ReplicationMessage, { type: Type }>,
    ...rest: Parameters<Alter> extends [unknown, ...infer Rest] ? Rest : never
  ) => ReplicationMessage,
): FaultInjection {
  return {
    alter: (message, to) =>
      message.type === type
        ? change(message as Extract<ReplicationMessage, { type: Type }>, to)
        : message,
  };
}

/** Every vote counts twice: for its sender, and for another voter that did not vote. */
const doubleVotes: FaultInjection = {
  forge: (message, { from, to, network }) => {
    const isOther = (id: string): boolean => id !== from.id && id !== to.identity.id;
    const other = network.processes().find(({ identity }) => isOther(identity.id));
    const isVote = message.type === 'prepare-ok' && other !== undefined;
    return isVote ? [{ from: other.identity, message }] : [];
  },
};

/** A proposal of an earlier view is accepted as one of the receiver's view. */
const staleProposals: FaultInjection = {
  forge: (message, { to, network }) => {
    const { ballot, primaryId } = to.replica.summary();
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

/** An injected fault, and the script that detects it. */
export interface Mutant {
  readonly name: string;
  readonly injection: FaultInjection;
  /** A script that detects the fault, or the seed of arbitrary scripts of which one detects it. */
  readonly caughtBy: readonly Step[] | number;
  /** Voters, network seed and initial state of the script. */
  readonly setting?: Omit<Script, 'steps'>;
}

const FORMED_THREE: Omit<Script, 'steps'> = { seed: 0, voters: 3, isWarm: true };

function put(node: number): Step {
  return { type: 'write', node, key: 0, precondition: 'none', isDeletion: false };
}

function wait(durationMs: number): Step {
  return { type: 'wait', durationMs };
}

/** The old primary's proposal is in flight while the next primary proposes another operation. */
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

/** The primary and one other voter are partitioned, too few to commit; the others continue. */
const CUT_MINORITY: readonly Step[] = [
  { type: 'isolate', node: 0, others: 1 },
  put(0),
  wait(12_000),
  put(2),
  wait(9_000),
];

/** One of the two voters that have a write restarts, and connects to the one that does not. */
const RESTARTED_VOTER: readonly Step[] = [
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

/** A paused primary with its own proposal connects to the only survivor of a later view. */
const DIVERGENT_LOGS: readonly Step[] = [
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

/**
 * A group of three forms on one side of a partition; one voter restarts on the other side, which
 * has no state.
 */
const SPLIT_GROUPS: readonly Step[] = [
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
 * Scripts of protocol faults. First script: a voter that learned of the next epoch from the
 * document discarded its log, and then voted in the old epoch again.
 */
export const REGRESSIONS: readonly Script[] = [
  {
    ...FORMED_THREE,
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

const FORMED_FIVE: Omit<Script, 'steps'> = { seed: 0, voters: 5, isWarm: true };

/** A write, after which several voters are killed at the same time and restarted. */
function killTogether(...nodes: readonly number[]): readonly Step[] {
  return [put(5), wait(3_000), { type: 'herd', nodes }, wait(2_000), { type: 'restart' }];
}

/** A majority of the voters is lost; the other nodes still have the document. */
export const LOST_MAJORITIES: readonly (Script & { readonly name: string })[] = [
  { ...FORMED_FIVE, name: 'all voters', steps: killTogether(0, 1, 2, 3, 4) },
  { ...FORMED_FIVE, name: 'most voters', steps: killTogether(0, 1, 2) },
  { ...FORMED_FIVE, name: 'most voters, but not the primary', steps: killTogether(1, 2, 3) },
  {
    ...FORMED_FIVE,
    name: 'most voters, and later one of the others',
    steps: [...killTogether(2, 3, 4), wait(30_000), { type: 'kill', node: 1 }, wait(9_000)],
  },
  { ...FORMED_THREE, name: 'all of three voters', steps: killTogether(0, 1, 2) },
  { ...FORMED_THREE, voters: 1, name: 'the only voter', steps: killTogether(0) },
];

/** Faults that must all be detected. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: 'a restarted process keeps its vote',
    injection: { keepsIncarnation: true },
    caughtBy: RESTARTED_VOTER,
    setting: FORMED_THREE,
  },
  { name: 'a minority commits', injection: doubleVotes, caughtBy: CUT_MINORITY },
  {
    name: 'a proposal of an earlier view is accepted',
    injection: staleProposals,
    caughtBy: LATE_PROPOSAL,
    setting: { ...FORMED_THREE, seed: 44 },
  },
  {
    name: 'a view starts without the pending operation',
    injection: alterMessages('do-view-change', (message) => ({ ...message, pending: undefined })),
    caughtBy: SEED,
  },
  {
    name: 'a view starts from an arbitrary log instead of the latest',
    injection: alterMessages('do-view-change', (message) => ({ ...message, lastNormalView: 0 })),
    caughtBy: DIVERGENT_LOGS,
    setting: FORMED_THREE,
  },
  {
    caughtBy: SEED,
    name: 'a primary does not check preconditions',
    injection: alterMessages('write', (message) => ({
      ...message,
      write: {
        changes: message.write.changes.map(({ key, json }) => ({ key, json })),
      },
    })),
  },
  {
    caughtBy: SEED,
    name: 'a repeated request is executed again',
    injection: {
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
    name: 'a write with an unknown outcome is reported as not accepted',
    injection: {
      alterOutcome: (outcome) =>
        outcome.outcome === 'unknown'
          ? { outcome: 'not-accepted', reason: 'no-majority' }
          : outcome,
    },
  },
  {
    name: 'a group is formed without unreachable participants',
    injection: { treatsUnlinkedAsGone: true },
    caughtBy: SPLIT_GROUPS,
    setting: { seed: 0, voters: 5, isWarm: false },
  },
];
