/**
 * Model-based test of one request with up to three attempts and every order of events. The model tracks which
 * attempts have reached their endpoints and compares this with the decisions of the lifecycle. Guards against
 * suspected attempts that are aborted although nothing replaces them, so that the caller receives an error while
 * an endpoint is still processing the request.
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
const brokenAnswer: RequestFailure = { code: 'SPOILED', verdict: 'may-have-run', retryable: true };
const fault: RequestFailure = { code: 'FAULT', verdict: 'may-have-run', retryable: true };
const noEndpoint: RequestFailure = { code: 'NO_ENDPOINT', verdict: 'not-run', retryable: false };
const withheld: RequestFailure = { code: 'CONTAINED', verdict: 'not-run', retryable: false };
const late: RequestFailure = { code: 'LATE', verdict: 'may-have-run', retryable: false };
const unsentLate: RequestFailure = { code: 'LATE', verdict: 'not-run', retryable: false };

/** Time for which a request may wait for a slot, in milliseconds. */
const WAIT_MS = 100;
/** Maximum number of suspicions per attempt. */
const MAX_SUSPICIONS = 2;
/** Exceeds the length of every script, so that all states are explored. */
const MAX_SCRIPT_STEPS = 40;
/** Minimum number of states per case, which shows that no case is empty. */
const MIN_STATES = 40;

/**
 * - `unsent`: the attempt has provably not reached its endpoint.
 * - `sent`: the endpoint may be processing the attempt.
 * - `passing`: the answer to the attempt is being forwarded to the caller.
 * - `not-run`: the attempt has ended, and the endpoint has not run it.
 * - `ran`: the attempt has ended, and the endpoint may have run it.
 */
type AttemptState = 'unsent' | 'sent' | 'passing' | 'not-run' | 'ran';

/** A step of the model: an event for the lifecycle, or an attempt that is sent by its node. */
type Step = RequestEvent | { readonly type: 'sent'; readonly attempt: number };

/** Whether every attempt can send the body, or only one. */
type Replay = 'always' | 'until-sent';

/** State of the request in the model. */
interface ModelState {
  readonly policy: RequestPolicy;
  readonly replay: Replay;
  readonly maxWaits: number;
  readonly attempts: AttemptState[];
  readonly suspicionCounts: number[];
  /** The attempt for which no endpoint has been selected yet. */
  pendingAttempt: number | undefined;
  isBackingOff: boolean;
  /** Whether the request waits for a slot. */
  isWaiting: boolean;
  waitCount: number;
  /** Final outcome for the caller. */
  outcome: string | undefined;
  forwardedCount: number;
}

interface Case {
  readonly name: string;
  readonly policy: Partial<RequestPolicy>;
  readonly replay: Replay;
  /** Number of retries in the budget. */
  readonly budget?: number;
  /** Maximum number of times that the request may wait for a slot; 0 if absent. */
  readonly maxWaits?: number;
}

const CASES: readonly Case[] = [
  { name: 'is repeatable', policy: {}, replay: 'always' },
  { name: 'is not repeatable', policy: { repeatable: false }, replay: 'always' },
  {
    name: 'has a body that only one attempt can send',
    policy: { redirects: 1 },
    replay: 'until-sent',
  },
  { name: 'has no retries', policy: { retries: 0 }, replay: 'always' },
  { name: 'has no retry budget', policy: { retryBudgetPercent: 0 }, replay: 'always', budget: 0 },
  {
    name: 'has a budget for one retry',
    policy: { retryBudgetPercent: 0 },
    replay: 'always',
    budget: 1,
  },
  { name: 'is redirected', policy: { retries: 1, redirects: 1 }, replay: 'always' },
  {
    name: 'is not repeatable and is redirected',
    policy: { repeatable: false, retries: 1, redirects: 1, absentRedirects: 1 },
    replay: 'always',
  },
  { name: 'may wait for a slot', policy: { retries: 1 }, replay: 'always', maxWaits: 2 },
  {
    name: 'is not repeatable and may wait for a slot',
    policy: { repeatable: false, retries: 1, redirects: 1 },
    replay: 'until-sent',
    maxWaits: 1,
  },
  {
    name: 'is past the time limit for refusals',
    policy: { refusableUntilMs: -1 },
    replay: 'always',
  },
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

function initialState({ policy, replay, maxWaits = 0 }: Case): ModelState {
  return {
    policy: policyOf(policy),
    replay,
    maxWaits,
    attempts: [],
    suspicionCounts: [],
    pendingAttempt: undefined,
    isBackingOff: false,
    isWaiting: false,
    waitCount: 0,
    outcome: undefined,
    forwardedCount: 0,
  };
}

const isAwaitingAnswer = (state: AttemptState | undefined): boolean =>
  state === 'unsent' || state === 'sent';
const isOpen = (state: AttemptState | undefined): boolean =>
  isAwaitingAnswer(state) || state === 'passing';

/** Whether another attempt can send the body: attempts that ended while unsent have not sent it. */
function canReplayBody({ replay, attempts }: ModelState): boolean {
  return (
    replay === 'always' || attempts.every((state) => state === 'unsent' || state === 'not-run')
  );
}

/** Returns every step that is possible in the current state. */
function possibleSteps(model: ModelState): Step[] {
  if (model.outcome !== undefined) {
    return [];
  }
  const { pendingAttempt: attempt } = model;
  const requestSteps: Step[] = [{ type: 'caller-gone' }, ...terminationSteps(model)];
  if (attempt !== undefined) {
    return [
      { type: 'sent', attempt },
      { type: 'no-endpoint', attempt, failure: noEndpoint, waitMs: waitMsOf(model) },
      { type: 'withheld', attempt, failure: withheld },
      refusal(model, attempt),
    ];
  }
  const backOffSteps: Step[] = model.isBackingOff ? [{ type: 'back-off-over' }] : [];
  const waitSteps: Step[] = model.isWaiting
    ? [
        { type: 'wait-over', mayAttempt: true },
        { type: 'wait-over', mayAttempt: false },
      ]
    : [];
  return [
    ...backOffSteps,
    ...waitSteps,
    ...model.attempts.flatMap((state, index) => attemptSteps(model, state, index + 1)),
    ...requestSteps,
  ];
}

function waitMsOf({ waitCount, maxWaits }: ModelState): number | undefined {
  return waitCount < maxWaits ? WAIT_MS : undefined;
}

/** The attempt is refused for lack of capacity. */
function refusal(model: ModelState, attempt: number): Step {
  const canReplay = canReplayBody(model);
  return { type: 'failed', attempt, failure: refused, canReplay, waitMs: waitMsOf(model) };
}

function terminationSteps(model: ModelState): Step[] {
  const open = model.attempts.filter(isOpen);
  const isUnsent = open.every((state) => state === 'unsent');
  const failure = open.length > 0 && isUnsent ? unsentLate : late;
  const stopped = isUnsent ? unsentLate : late;
  return [
    { type: 'deadline', failure },
    { type: 'answer-overdue', failure: late, wasPassedOn: false },
    { type: 'answer-overdue', failure: late, wasPassedOn: true },
    { type: 'give-up', failure: stopped, isUnsent, wasPassedOn: false },
  ];
}

function attemptSteps(model: ModelState, state: AttemptState, attempt: number): Step[] {
  const { suspicionCounts } = model;
  const canReplay = canReplayBody(model);
  const failed = (failure: RequestFailure): Step => ({
    type: 'failed',
    attempt,
    failure,
    canReplay,
  });
  const suspicionSteps: Step[] =
    (suspicionCounts[attempt - 1] ?? 0) < MAX_SUSPICIONS
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
      return [
        { type: 'sent', attempt },
        refusal(model, attempt),
        failed(final),
        failed(absent),
        ...suspicionSteps,
      ];
    case 'sent': {
      const faults: Step[] = canReplay ? [{ type: 'answered', attempt, fault }] : [];
      return [
        { type: 'answered', attempt },
        ...faults,
        refusal(model, attempt),
        failed(lost),
        ...suspicionSteps,
      ];
    }
    case 'passing': {
      const broken = { type: 'answer-broken', attempt, failure: brokenAnswer, canReplay } as const;
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

/** A run of one request against the model. */
class ModelRun {
  readonly model: ModelState;
  private readonly lifecycle: RequestLifecycle;

  constructor(testCase: Case) {
    this.model = initialState(testCase);
    this.lifecycle = new RequestLifecycle(
      this.model.policy,
      new RetryBudget(testCase.budget),
      () => 0,
    );
    this.apply({ type: 'start' });
  }

  /** Identifies the complete state, on which all further behaviour depends. */
  get key(): string {
    return inspect([this.model, this.lifecycle], { depth: 5, breakLength: Infinity });
  }

  apply(step: Step): void {
    const { model } = this;
    const before = [...model.attempts];
    const wasPassing = before.includes('passing');
    this.updateState(step);
    if (step.type === 'sent') {
      return;
    }
    const effects = this.lifecycle.handle(step, 0);
    effects.forEach((effect) => this.execute(effect, step));
    if (step.type === 'caller-gone') {
      this.finish('gone');
    }
    if (step.type === 'answer-whole') {
      this.finish('answered');
    }
    this.check(step, effects, wasPassing);
  }

  private updateState(step: Step): void {
    const { model } = this;
    if ('attempt' in step && model.pendingAttempt === step.attempt) {
      model.pendingAttempt = undefined;
      model.attempts[step.attempt - 1] = step.type === 'sent' ? 'unsent' : 'not-run';
      return;
    }
    switch (step.type) {
      case 'back-off-over':
        model.isBackingOff = false;
        return;
      case 'wait-over':
        model.isWaiting = false;
        return;
      case 'sent':
        return this.setAttempt(step.attempt, 'sent');
      case 'suspected':
        model.suspicionCounts[step.attempt - 1] =
          (model.suspicionCounts[step.attempt - 1] ?? 0) + 1;
        return;
      case 'failed':
        return this.setAttempt(
          step.attempt,
          step.failure.verdict === 'not-run' ? 'not-run' : 'ran',
        );
      case 'answer-whole':
      case 'answer-broken':
        return this.setAttempt(step.attempt, 'ran');
      default:
        return;
    }
  }

  private setAttempt(attempt: number, state: AttemptState): void {
    this.model.attempts[attempt - 1] = state;
  }

  private finish(outcome: string): void {
    expect(this.model.outcome, 'reports a second outcome').to.equal(undefined);
    this.model.outcome = outcome;
  }

  private execute(effect: RequestEffect, step: Step): void {
    const { model } = this;
    switch (effect.type) {
      case 'begin-attempt':
        expect(effect.attempt, 'attempt number').to.equal(model.attempts.length + 1);
        expect(model.pendingAttempt).to.equal(undefined);
        model.pendingAttempt = effect.attempt;
        model.attempts.push('unsent');
        return this.checkAttemptStart();
      case 'wait':
        expect(this.canWait, 'waits although an attempt may have run').to.equal(true);
        model.isWaiting = true;
        model.waitCount += 1;
        return;
      case 'back-off':
        expect(model.isBackingOff, 'backs off twice at the same time').to.equal(false);
        model.isBackingOff = true;
        return;
      case 'abort-attempt': {
        const state = model.attempts[effect.attempt - 1];
        expect(isOpen(state), `aborts ${effect.attempt}, which has ended`).to.equal(true);
        const isReplacement = step.type === 'suspected' && state === 'unsent';
        const abortingSteps = [
          'answered',
          'answer-whole',
          'answer-broken',
          'deadline',
          'answer-overdue',
          'give-up',
          'caller-gone',
        ];
        expect(
          isReplacement || abortingSteps.includes(step.type),
          `aborts on ${step.type}`,
        ).to.equal(true);
        return this.setAttempt(effect.attempt, state === 'unsent' ? 'not-run' : 'ran');
      }
      case 'pass-answer':
        expect(model.attempts.includes('passing'), 'forwards two answers').to.equal(false);
        expect(step).to.include({ type: 'answered', attempt: effect.attempt });
        model.forwardedCount += 1;
        return this.setAttempt(effect.attempt, 'passing');
      case 'discard-answer':
        expect(step).to.include({ type: 'answered', attempt: effect.attempt });
        return this.setAttempt(effect.attempt, 'ran');
      case 'report':
        this.checkVerdict(effect);
        return this.finish(effect.failure.code);
      case 'break-connection':
        return this.finish('broken');
    }
  }

  private get canWait(): boolean {
    const { attempts, isWaiting, isBackingOff } = this.model;
    return !isWaiting && !isBackingOff && attempts.every((state) => state === 'not-run');
  }

  private checkAttemptStart(): void {
    const { policy, attempts } = this.model;
    const others = attempts.slice(0, -1);
    const mayHaveRun = others.filter((state) => state !== 'not-run' && state !== 'unsent');
    if (!policy.repeatable) {
      expect(
        others.filter((state) => state !== 'not-run'),
        'may run more than once',
      ).to.deep.equal([]);
    }
    expect(mayHaveRun.length, 'may run more often than the retries allow').to.be.at.most(
      policy.retries,
    );
  }

  private checkVerdict({ verdict }: Extract<RequestEffect, { type: 'report' }>): void {
    const mayHaveRun = this.model.attempts.some(
      (state) => state !== 'not-run' && state !== 'unsent',
    );
    expect(
      verdict === 'not-run' && mayHaveRun,
      'reports not-run although an attempt may have run',
    ).to.equal(false);
  }

  private check(step: RequestEvent, effects: readonly RequestEffect[], wasPassing: boolean): void {
    const { attempts, outcome, isBackingOff, isWaiting, pendingAttempt } = this.model;
    const open = attempts.filter(isOpen);
    expect(this.lifecycle.isOver).to.equal(outcome !== undefined);
    if (outcome !== undefined) {
      expect(open, 'attempts still open after the end').to.deep.equal([]);
      return;
    }
    const isInProgress =
      open.length > 0 || isBackingOff || isWaiting || pendingAttempt !== undefined;
    expect(isInProgress, 'the request is open, but nothing is in progress').to.equal(true);
    const isSuccess = step.type === 'answered' && step.fault === undefined;
    if (isSuccess && !wasPassing) {
      expect(
        effects.map(({ type }) => type),
        'forwards a successful answer',
      ).to.include('pass-answer');
    }
  }
}

function runScript(testCase: Case, steps: readonly Step[]): ModelRun {
  const run = new ModelRun(testCase);
  steps.forEach((step) => run.apply(step));
  return run;
}

function describeStep(step: Step): string {
  const failure = 'failure' in step ? ` ${step.failure.code}` : '';
  const extra = 'fault' in step ? ' fault' : '';
  return 'attempt' in step ? `${step.type} ${step.attempt}${failure}${extra}` : step.type;
}

/** Explores every order of steps up to the maximum depth, each state once, and returns the number of states. */
function exploreStates(testCase: Case): number {
  const seen = new Set<string>();
  let scripts: Step[][] = [[]];
  for (let depth = 0; depth < MAX_SCRIPT_STEPS && scripts.length > 0; depth += 1) {
    const next: Step[][] = [];
    for (const script of scripts) {
      for (const step of possibleSteps(runScript(testCase, script).model)) {
        const extended = [...script, step];
        let key: string;
        try {
          key = runScript(testCase, extended).key;
        } catch (err) {
          const reason = err instanceof Error ? err.message : String(err);
          throw new Error(`${reason} in: ${extended.map(describeStep).join(', ')}`, { cause: err });
        }
        if (!seen.has(key)) {
          seen.add(key);
          next.push(extended);
        }
      }
    }
    scripts = next;
  }
  return seen.size;
}

describe('model of the request lifecycle', () => {
  for (const testCase of CASES) {
    it(`preserves the invariants if the request ${testCase.name}`, function () {
      this.timeout(120_000);
      expect(exploreStates(testCase)).to.be.at.least(MIN_STATES);
    });
  }

  /** Returns the effects of the last event after the loss of a suspected attempt, with failure codes for reports. */
  function reportedAfterLossOfSuspect(lastEvent: RequestEvent): string[] {
    const lifecycle = new RequestLifecycle(policyOf({}), new RetryBudget(), () => 0);
    const suspected = { type: 'suspected', attempt: 1, failure: lost, canReplay: true } as const;
    const failed = { type: 'failed', attempt: 1, failure: lost, canReplay: true } as const;
    const events: RequestEvent[] = [{ type: 'start' }, suspected, failed];
    [...events, { type: 'back-off-over' } as const].forEach((event) => lifecycle.handle(event, 0));
    return lifecycle
      .handle(lastEvent, 0)
      .map((effect) => (effect.type === 'report' ? effect.failure.code : effect.type));
  }

  it('reports the loss of a suspected attempt if no endpoint is left', () => {
    const lastEvent = { type: 'no-endpoint', attempt: 2, failure: noEndpoint } as const;
    expect(reportedAfterLossOfSuspect(lastEvent)).to.deep.equal([lost.code]);
  });

  it('reports the loss of a suspected attempt if the request is withheld', () => {
    const lastEvent = { type: 'withheld', attempt: 2, failure: withheld } as const;
    expect(reportedAfterLossOfSuspect(lastEvent)).to.deep.equal([lost.code]);
  });

  it('reports not-run at the deadline after an unsent attempt was replaced', () => {
    const lifecycle = new RequestLifecycle(policyOf({}), new RetryBudget(), () => 0);
    const suspected = { type: 'suspected', attempt: 1, failure: absent, canReplay: true } as const;
    lifecycle.handle({ type: 'start' }, 0);
    expect(lifecycle.handle(suspected, 0)).to.have.length(2);
    const effects = lifecycle.handle({ type: 'deadline', failure: late }, 0);
    expect(effects).to.have.nested.property('[0].verdict', 'not-run');
  });

  it('aborts the attempt of an unneeded second answer instead of reading it', () => {
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
