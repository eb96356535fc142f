/**
 * One caller's request against all that may happen to up to three attempts, in any order: which of them has
 * reached its endpoint is kept beside the decisions and compared with them. Attempts that were in doubt have
 * been ended before although nothing replaced them, and their callers were told an error while endpoints
 * were at work.
 */
import { inspect } from 'node:util';
import { expect } from 'chai';
import type { RequestFailure } from '../../src/proxy/request-error.js';
import {
  RequestLifecycle,
  type RequestEffect,
  type RequestEvent,
  type RequestPolicy,
} from '../../src/proxy/request-lifecycle.js';
import { RetryBudget } from '../../src/routing/retry-budget.js';

const refused: RequestFailure = { code: 'REFUSED', verdict: 'not-run', retryable: true };
const absent: RequestFailure = { code: 'UNREACHABLE', verdict: 'not-run', retryable: true };
const final: RequestFailure = { code: 'FINAL', verdict: 'not-run', retryable: false };
const lost: RequestFailure = { code: 'LOST', verdict: 'may-have-run', retryable: true };
const spoiled: RequestFailure = { code: 'SPOILED', verdict: 'may-have-run', retryable: true };
const fault: RequestFailure = { code: 'FAULT', verdict: 'may-have-run', retryable: true };
const none: RequestFailure = { code: 'NO_ENDPOINT', verdict: 'not-run', retryable: false };
const withheld: RequestFailure = { code: 'CONTAINED', verdict: 'not-run', retryable: false };
const late: RequestFailure = { code: 'LATE', verdict: 'may-have-run', retryable: false };
const unsentLate: RequestFailure = { code: 'LATE', verdict: 'not-run', retryable: false };

/** Signs of silence that one attempt may give. */
const MAX_SIGNS = 2;
/** Longer than any script: all situations are played out. */
const LONGEST_SCRIPT = 40;
/** Situations that each case has at least, so that none is empty. */
const LEAST_SITUATIONS = 40;

/**
 * - `unsent`: it has provably not reached its endpoint.
 * - `sent`: its endpoint may be at work.
 * - `passing`: its answer is passed on.
 * - `not-run`, `ran`: it is over, and the endpoint has not run it, or may have.
 */
type AttemptState = 'unsent' | 'sent' | 'passing' | 'not-run' | 'ran';

/** A step of the world: an event that the request gets, or an attempt that leaves its node. */
type Step = RequestEvent | { readonly type: 'sent'; readonly attempt: number };

/** How often the body can be sent: by each attempt, or by one alone. */
type Replay = 'always' | 'until-sent';

/** What the world knows of the request. */
interface World {
  readonly policy: RequestPolicy;
  readonly replay: Replay;
  readonly attempts: AttemptState[];
  readonly signs: number[];
  /** The attempt whose endpoint is still to be chosen. */
  choosing: number | undefined;
  isBackingOff: boolean;
  /** What the caller got in the end. */
  outcome: string | undefined;
  passedCount: number;
}

interface Case {
  readonly name: string;
  readonly policy: Partial<RequestPolicy>;
  readonly replay: Replay;
  /** Retries that the budget has. */
  readonly budget?: number;
}

const CASES: readonly Case[] = [
  { name: 'may be repeated', policy: {}, replay: 'always' },
  { name: 'may run only once', policy: { repeatable: false }, replay: 'always' },
  { name: 'has a body for one attempt', policy: { redirects: 1 }, replay: 'until-sent' },
  { name: 'has no retries', policy: { retries: 0 }, replay: 'always' },
  { name: 'has no budget', policy: { retryBudgetPercent: 0 }, replay: 'always', budget: 0 },
  {
    name: 'has budget for one retry',
    policy: { retryBudgetPercent: 0 },
    replay: 'always',
    budget: 1,
  },
  { name: 'is redirected', policy: { retries: 1, redirects: 1 }, replay: 'always' },
  {
    name: 'may run only once and is redirected',
    policy: { repeatable: false, retries: 1, redirects: 1, absentRedirects: 1 },
    replay: 'always',
  },
  { name: 'is not refused in time any more', policy: { refusableUntilMs: -1 }, replay: 'always' },
];

function policyOf(changes: Partial<RequestPolicy>): RequestPolicy {
  return {
    repeatable: true,
    deadlineAtMs: 1_000,
    retries: 2,
    retryBudgetPercent: 100,
    redirects: 0,
    ...changes,
  };
}

function newWorld({ policy, replay }: Case): World {
  return {
    policy: policyOf(policy),
    replay,
    attempts: [],
    signs: [],
    choosing: undefined,
    isBackingOff: false,
    outcome: undefined,
    passedCount: 0,
  };
}

const isUnderWay = (state: AttemptState | undefined): boolean =>
  state === 'unsent' || state === 'sent';
const isOpen = (state: AttemptState | undefined): boolean =>
  isUnderWay(state) || state === 'passing';

/** Whether another attempt can send the body; attempts that are over have not sent it where they are unsent. */
function canReplayIn({ replay, attempts }: World): boolean {
  return (
    replay === 'always' || attempts.every((state) => state === 'unsent' || state === 'not-run')
  );
}

/** All that may happen next. */
function stepsOf(world: World): Step[] {
  if (world.outcome !== undefined) {
    return [];
  }
  const { choosing: attempt } = world;
  const ofRequest: Step[] = [{ type: 'caller-gone' }, ...endsOf(world)];
  if (attempt !== undefined) {
    return [
      { type: 'sent', attempt },
      { type: 'no-endpoint', attempt, failure: none },
      { type: 'withheld', attempt, failure: withheld },
      { type: 'failed', attempt, failure: refused, canReplay: canReplayIn(world) },
    ];
  }
  const again: Step[] = world.isBackingOff ? [{ type: 'back-off-over' }] : [];
  return [
    ...again,
    ...world.attempts.flatMap((state, index) => stepsOfAttempt(world, state, index + 1)),
    ...ofRequest,
  ];
}

function endsOf(world: World): Step[] {
  const open = world.attempts.filter(isOpen);
  const isUnsent = open.every((state) => state === 'unsent');
  const failure = open.length > 0 && isUnsent ? unsentLate : late;
  const stopped = isUnsent ? unsentLate : late;
  return [
    { type: 'deadline', failure },
    { type: 'give-up', failure: stopped, isUnsent, wasPassedOn: false },
  ];
}

function stepsOfAttempt(world: World, state: AttemptState, attempt: number): Step[] {
  const { signs } = world;
  const canReplay = canReplayIn(world);
  const failed = (failure: RequestFailure): Step => ({
    type: 'failed',
    attempt,
    failure,
    canReplay,
  });
  const sign: Step[] =
    (signs[attempt - 1] ?? 0) < MAX_SIGNS
      ? [
          {
            type: 'suspected',
            attempt,
            failure: state === 'unsent' ? absent : lost,
            canReplay,
          },
        ]
      : [];
  switch (state) {
    case 'unsent':
      return [{ type: 'sent', attempt }, failed(refused), failed(final), failed(absent), ...sign];
    case 'sent': {
      const faults: Step[] = canReplay ? [{ type: 'answered', attempt, fault }] : [];
      return [{ type: 'answered', attempt }, ...faults, failed(refused), failed(lost), ...sign];
    }
    case 'passing': {
      const broken = { type: 'answer-broken', attempt, failure: spoiled, canReplay } as const;
      return [
        { type: 'answer-whole', attempt },
        { ...broken, wasPassedOn: true },
        { ...broken, wasPassedOn: false },
      ];
    }
    default:
      return [];
  }
}

/** One request in its world. */
class Play {
  readonly world: World;
  private readonly lifecycle: RequestLifecycle;

  constructor(played: Case) {
    this.world = newWorld(played);
    this.lifecycle = new RequestLifecycle(
      this.world.policy,
      new RetryBudget(played.budget),
      () => 0,
    );
    this.take({ type: 'start' });
  }

  /** All that decides what may follow. */
  get key(): string {
    return inspect([this.world, this.lifecycle], { depth: 5, breakLength: Infinity });
  }

  take(step: Step): void {
    const { world } = this;
    const before = [...world.attempts];
    const wasPassing = before.includes('passing');
    this.happens(step);
    if (step.type === 'sent') {
      return;
    }
    const effects = this.lifecycle.handle(step, 0);
    effects.forEach((effect) => this.execute(effect, step));
    if (step.type === 'caller-gone') {
      this.end('gone');
    }
    if (step.type === 'answer-whole') {
      this.end('answered');
    }
    this.check(step, effects, wasPassing);
  }

  private happens(step: Step): void {
    const { world } = this;
    if ('attempt' in step && world.choosing === step.attempt) {
      world.choosing = undefined;
      world.attempts[step.attempt - 1] = step.type === 'sent' ? 'unsent' : 'not-run';
      return;
    }
    switch (step.type) {
      case 'back-off-over':
        world.isBackingOff = false;
        return;
      case 'sent':
        return this.set(step.attempt, 'sent');
      case 'suspected':
        world.signs[step.attempt - 1] = (world.signs[step.attempt - 1] ?? 0) + 1;
        return;
      case 'failed':
        return this.set(step.attempt, step.failure.verdict === 'not-run' ? 'not-run' : 'ran');
      case 'answer-whole':
      case 'answer-broken':
        return this.set(step.attempt, 'ran');
      default:
        return;
    }
  }

  private set(attempt: number, state: AttemptState): void {
    this.world.attempts[attempt - 1] = state;
  }

  private end(outcome: string): void {
    expect(this.world.outcome, 'ended before').to.equal(undefined);
    this.world.outcome = outcome;
  }

  private execute(effect: RequestEffect, step: Step): void {
    const { world } = this;
    switch (effect.type) {
      case 'begin-attempt':
        expect(effect.attempt, 'number of the attempt').to.equal(world.attempts.length + 1);
        expect(world.choosing).to.equal(undefined);
        world.choosing = effect.attempt;
        world.attempts.push('unsent');
        return this.checkBegin();
      case 'back-off':
        expect(world.isBackingOff, 'two pauses at once').to.equal(false);
        world.isBackingOff = true;
        return;
      case 'abort-attempt': {
        const state = world.attempts[effect.attempt - 1];
        expect(isOpen(state), `aborts ${effect.attempt}, which is over`).to.equal(true);
        const isReplacement = step.type === 'suspected' && state === 'unsent';
        const isEnd = [
          'answered',
          'answer-whole',
          'answer-broken',
          'deadline',
          'give-up',
          'caller-gone',
        ];
        expect(isReplacement || isEnd.includes(step.type), `aborts on ${step.type}`).to.equal(true);
        return this.set(effect.attempt, state === 'unsent' ? 'not-run' : 'ran');
      }
      case 'pass-answer':
        expect(world.attempts.includes('passing'), 'passes two answers').to.equal(false);
        expect(step).to.include({ type: 'answered', attempt: effect.attempt });
        world.passedCount += 1;
        return this.set(effect.attempt, 'passing');
      case 'discard-answer':
        expect(step).to.include({ type: 'answered', attempt: effect.attempt });
        return this.set(effect.attempt, 'ran');
      case 'report':
        this.checkVerdict(effect);
        return this.end(effect.failure.code);
      case 'break-connection':
        return this.end('broken');
    }
  }

  private checkBegin(): void {
    const { policy, attempts } = this.world;
    const others = attempts.slice(0, -1);
    const mayHaveRun = others.filter((state) => state !== 'not-run' && state !== 'unsent');
    if (!policy.repeatable) {
      expect(
        others.filter((state) => state !== 'not-run'),
        'runs twice',
      ).to.deep.equal([]);
    }
    expect(mayHaveRun.length, 'runs too often').to.be.at.most(policy.retries);
  }

  private checkVerdict({ verdict }: Extract<RequestEffect, { type: 'report' }>): void {
    const mayHaveRun = this.world.attempts.some(
      (state) => state !== 'not-run' && state !== 'unsent',
    );
    expect(verdict === 'not-run' && mayHaveRun, 'promises that nothing ran').to.equal(false);
  }

  private check(step: RequestEvent, effects: readonly RequestEffect[], wasPassing: boolean): void {
    const { attempts, outcome, isBackingOff, choosing } = this.world;
    const open = attempts.filter(isOpen);
    expect(this.lifecycle.isOver).to.equal(outcome !== undefined);
    if (outcome !== undefined) {
      expect(open, 'left under way').to.deep.equal([]);
      return;
    }
    const goesOn = open.length > 0 || isBackingOff || choosing !== undefined;
    expect(goesOn, 'nothing is left to wait for').to.equal(true);
    const isGood = step.type === 'answered' && step.fault === undefined;
    if (isGood && !wasPassing) {
      expect(
        effects.map(({ type }) => type),
        'a good answer',
      ).to.include('pass-answer');
    }
  }
}

function playOf(played: Case, steps: readonly Step[]): Play {
  const play = new Play(played);
  steps.forEach((step) => play.take(step));
  return play;
}

function describeStep(step: Step): string {
  const failure = 'failure' in step ? ` ${step.failure.code}` : '';
  const extra = 'fault' in step ? ' fault' : '';
  return 'attempt' in step ? `${step.type} ${step.attempt}${failure}${extra}` : step.type;
}

/** Plays every order of steps up to a depth, each situation once; gives the number of situations. */
function playAll(played: Case): number {
  const seen = new Set<string>();
  let scripts: Step[][] = [[]];
  for (let depth = 0; depth < LONGEST_SCRIPT && scripts.length > 0; depth += 1) {
    const next: Step[][] = [];
    for (const script of scripts) {
      for (const step of stepsOf(playOf(played, script).world)) {
        const longer = [...script, step];
        let key: string;
        try {
          key = playOf(played, longer).key;
        } catch (err) {
          const reason = err instanceof Error ? err.message : String(err);
          throw new Error(`${reason} in: ${longer.map(describeStep).join(', ')}`, { cause: err });
        }
        if (!seen.has(key)) {
          seen.add(key);
          next.push(longer);
        }
      }
    }
    scripts = next;
  }
  return seen.size;
}

describe('life of a request in a model', () => {
  for (const played of CASES) {
    it(`keeps its promises to one that ${played.name}`, function () {
      this.timeout(120_000);
      expect(playAll(played)).to.be.at.least(LEAST_SITUATIONS);
    });
  }

  /** What the caller is told once nobody else is left, after a suspect's connection was lost. */
  function toldAfterLossOfSuspect(last: RequestEvent): string[] {
    const lifecycle = new RequestLifecycle(policyOf({}), new RetryBudget(), () => 0);
    const suspected = { type: 'suspected', attempt: 1, failure: lost, canReplay: true } as const;
    const failed = { type: 'failed', attempt: 1, failure: lost, canReplay: true } as const;
    const events: RequestEvent[] = [{ type: 'start' }, suspected, failed];
    [...events, { type: 'back-off-over' } as const].forEach((event) => lifecycle.handle(event, 0));
    return lifecycle
      .handle(last, 0)
      .map((effect) => (effect.type === 'report' ? effect.failure.code : effect.type));
  }

  it('tells what is known of a suspect that was lost, where no endpoint is left', () => {
    const last = { type: 'no-endpoint', attempt: 2, failure: none } as const;
    expect(toldAfterLossOfSuspect(last)).to.deep.equal([lost.code]);
  });

  it('tells what is known of a suspect that was lost, where the request is withheld', () => {
    const last = { type: 'withheld', attempt: 2, failure: withheld } as const;
    expect(toldAfterLossOfSuspect(last)).to.deep.equal([lost.code]);
  });

  it('tells that nothing ran at the deadline, after an attempt that was unsent was replaced', () => {
    const lifecycle = new RequestLifecycle(policyOf({}), new RetryBudget(), () => 0);
    const suspected = { type: 'suspected', attempt: 1, failure: absent, canReplay: true } as const;
    lifecycle.handle({ type: 'start' }, 0);
    expect(lifecycle.handle(suspected, 0)).to.have.length(2);
    const effects = lifecycle.handle({ type: 'deadline', failure: late }, 0);
    expect(effects).to.have.nested.property('[0].verdict', 'not-run');
  });

  it('ends a second answer that nobody waits for instead of reading it', () => {
    const lifecycle = new RequestLifecycle(policyOf({}), new RetryBudget(), () => 0);
    const suspected = { type: 'suspected', attempt: 1, failure: lost, canReplay: true } as const;
    const events: RequestEvent[] = [
      { type: 'start' },
      suspected,
      { type: 'back-off-over' },
      { type: 'answered', attempt: 2 },
    ];
    const before = events.flatMap((event) => lifecycle.handle(event, 0));
    const all = [...before, ...lifecycle.handle({ type: 'answered', attempt: 1 }, 0)];
    expect(all.filter(({ type }) => type === 'abort-attempt')).to.deep.equal([
      { type: 'abort-attempt', attempt: 1 },
    ]);
  });
});
