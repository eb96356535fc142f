/** Tests retries, retry budgets and verdicts of a single request by its sequences of events and effects. */
import { expect } from 'chai';
import type { RequestFailure } from '../../src/proxy/request-error.js';
import {
  RequestLifecycle,
  type RequestEffect,
  type RequestEvent,
  type RequestPolicy,
} from '../../src/proxy/request-lifecycle.js';
import { RetryBudget } from '../../src/routing/retry-budget.js';

const notRun: RequestFailure = { code: 'REFUSED', verdict: 'not-run', retryable: true };
const lost: RequestFailure = { code: 'LOST', verdict: 'may-have-run', retryable: true };
const final: RequestFailure = { code: 'FINAL', verdict: 'not-run', retryable: false };
const late: RequestFailure = { code: 'LATE', verdict: 'may-have-run', retryable: false };

const START: RequestEvent = { type: 'start' };
const BACK_OFF_OVER: RequestEvent = { type: 'back-off-over' };
const failed = (attempt: number, failure: RequestFailure, canReplay = true): RequestEvent => ({
  type: 'failed',
  attempt,
  failure,
  canReplay,
});
const suspected = (attempt: number, failure = lost): RequestEvent => ({
  type: 'suspected',
  attempt,
  failure,
  canReplay: true,
});
const answerComplete = (attempt: number): RequestEvent => ({ type: 'answer-whole', attempt });
const answered = (attempt: number): RequestEvent => ({ type: 'answered', attempt });
const answerBroken = (attempt: number, wasPassedOn: boolean): RequestEvent => ({
  type: 'answer-broken',
  attempt,
  failure: lost,
  wasPassedOn,
  canReplay: true,
});
const DEADLINE: RequestEvent = { type: 'deadline', failure: late };

const UNSENT_EXPIRING: RequestEvent = { type: 'unsent-expiring', failure: final };

const giveUp = (isUnsent: boolean, wasPassedOn = false): RequestEvent => ({
  type: 'give-up',
  failure: isUnsent ? final : late,
  isUnsent,
  wasPassedOn,
});

interface Row {
  readonly name: string;
  readonly repeatable?: boolean;
  readonly retries?: number;
  readonly events: readonly RequestEvent[];
  /** Effects of the last event, as text. */
  readonly expected: string;
}

const rows: readonly Row[] = [
  { name: 'retries a refused request', events: [START, failed(1, notRun)], expected: 'back-off' },
  {
    name: 'does not retry a lost request that is not repeatable',
    events: [START, failed(1, lost)],
    expected: 'LOST may-have-run',
  },
  {
    name: 'retries a lost request that is repeatable',
    repeatable: true,
    events: [START, failed(1, lost)],
    expected: 'back-off',
  },
  {
    name: 'does not retry without a replayable body',
    repeatable: true,
    events: [START, failed(1, notRun, false)],
    expected: 'REFUSED not-run',
  },
  {
    name: 'refuses a request that reached no endpoint shortly before its deadline',
    events: [START, UNSENT_EXPIRING],
    expected: 'abort-attempt, FINAL not-run',
  },
  {
    name: 'keeps a request that may have run until its deadline',
    repeatable: true,
    events: [START, failed(1, lost), BACK_OFF_OVER, UNSENT_EXPIRING],
    expected: '',
  },
  {
    name: 'keeps the answer of a request that is answered shortly before its deadline',
    events: [START, answered(1), UNSENT_EXPIRING],
    expected: '',
  },
  {
    name: 'does not retry if no retries are left',
    retries: 0,
    events: [START, failed(1, notRun)],
    expected: 'REFUSED not-run',
  },
  {
    name: 'does not retry a failure that is not retryable',
    events: [START, failed(1, final)],
    expected: 'FINAL not-run',
  },
  {
    name: 'keeps the verdict may-have-run of a lost attempt after a later refusal',
    repeatable: true,
    events: [START, failed(1, lost), BACK_OFF_OVER, failed(2, final)],
    expected: 'FINAL may-have-run',
  },
  {
    name: 'reports the first failure if there is no other endpoint',
    events: [
      START,
      failed(1, notRun),
      BACK_OFF_OVER,
      { type: 'no-endpoint', attempt: 2, failure: final },
    ],
    expected: 'REFUSED not-run',
  },
  {
    name: 'aborts the attempt at the deadline',
    events: [START, DEADLINE],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'reports the previous failure at a deadline during the back-off',
    events: [START, failed(1, notRun), DEADLINE],
    expected: 'REFUSED not-run',
  },
  {
    name: 'does not abort an answer in transit at the deadline',
    events: [START, answered(1), DEADLINE],
    expected: '',
  },
  {
    name: 'does not forward the answer of an earlier attempt',
    events: [START, failed(1, notRun), answered(1)],
    expected: '',
  },
  {
    name: 'ignores the failure of an earlier attempt',
    events: [START, failed(1, notRun), BACK_OFF_OVER, failed(1, lost)],
    expected: '',
  },
  {
    name: 'ignores a failure after the deadline has been reported',
    events: [START, DEADLINE, failed(1, lost)],
    expected: '',
  },
  {
    name: 'closes the connection if an answer breaks after part of it was forwarded',
    repeatable: true,
    events: [START, answered(1), answerBroken(1, true)],
    expected: 'break-connection',
  },
  {
    name: 'retries if an answer breaks before any of it was forwarded',
    repeatable: true,
    events: [START, answered(1), answerBroken(1, false)],
    expected: 'back-off',
  },
  {
    name: 'does not retry a request that is not repeatable after a broken answer',
    events: [START, answered(1), answerBroken(1, false)],
    expected: 'LOST may-have-run',
  },
  {
    name: 'aborts the attempt if the caller disconnects',
    events: [START, { type: 'caller-gone' }],
    expected: 'abort-attempt',
  },
  {
    name: 'gives the verdict not-run if a request is given up before its first attempt',
    events: [giveUp(true)],
    expected: 'FINAL not-run',
  },
  {
    name: 'gives the verdict not-run if a request is given up before it was sent',
    events: [START, giveUp(true)],
    expected: 'abort-attempt, FINAL not-run',
  },
  {
    name: 'gives the verdict may-have-run if a request is given up after it was sent',
    events: [START, giveUp(false)],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'keeps the verdict may-have-run of a lost attempt if a later, unsent attempt is given up',
    repeatable: true,
    events: [START, failed(1, lost), BACK_OFF_OVER, giveUp(true)],
    expected: 'abort-attempt, FINAL may-have-run',
  },
  {
    name: 'reports the previous failure if a request is given up during the back-off',
    events: [START, failed(1, notRun), giveUp(true)],
    expected: 'REFUSED not-run',
  },
  {
    name: 'replaces an answer by an error if it is given up before any of it was forwarded',
    events: [START, answered(1), giveUp(false)],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'does not give up an answer after part of it was forwarded',
    events: [START, answered(1), giveUp(false, true)],
    expected: '',
  },
  {
    name: 'hedges a suspected attempt',
    repeatable: true,
    events: [START, suspected(1)],
    expected: 'back-off',
  },
  {
    name: 'does not hedge a request that is not repeatable',
    events: [START, suspected(1)],
    expected: '',
  },
  {
    name: 'does not hedge if no retries are left',
    repeatable: true,
    retries: 0,
    events: [START, suspected(1)],
    expected: '',
  },
  {
    name: 'replaces a suspected attempt that was provably not sent',
    events: [START, suspected(1, notRun)],
    expected: 'abort-attempt, back-off',
  },
  {
    name: 'continues a suspected, unsent attempt if no retries are left to replace it',
    retries: 0,
    events: [START, suspected(1, notRun)],
    expected: '',
  },
  {
    name: 'forwards the answer of a suspected attempt',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, answered(1)],
    expected: 'pass-answer',
  },
  {
    name: 'aborts the hedged attempt once the answer of the suspected attempt is complete',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, answered(1), answerComplete(1)],
    expected: 'abort-attempt',
  },
  {
    name: 'does not start the hedged attempt if the suspected attempt is answered during the back-off',
    repeatable: true,
    events: [START, suspected(1), answered(1), BACK_OFF_OVER],
    expected: '',
  },
  {
    name: 'aborts the suspected attempt instead of forwarding a second answer',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, answered(2), answered(1)],
    expected: 'abort-attempt',
  },
  {
    name: 'waits for the suspected attempt if the hedged attempt fails without a retry',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, failed(2, final)],
    expected: '',
  },
  {
    name: 'forwards the answer of the suspected attempt if there is no endpoint for the hedged attempt',
    repeatable: true,
    events: [
      START,
      suspected(1),
      BACK_OFF_OVER,
      { type: 'no-endpoint', attempt: 2, failure: final },
      answered(1),
    ],
    expected: 'pass-answer',
  },
  {
    name: 'reports the loss of the suspected attempt if the hedged attempt has failed',
    repeatable: true,
    retries: 1,
    events: [START, suspected(1), BACK_OFF_OVER, failed(2, final), failed(1, lost)],
    expected: 'LOST may-have-run',
  },
  {
    name: 'waits for the hedged attempt if the suspected attempt is lost',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, failed(1, lost)],
    expected: '',
  },
  {
    name: 'aborts the suspected and the hedged attempt at the deadline',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, DEADLINE],
    expected: 'abort-attempt, abort-attempt, LATE may-have-run',
  },
  {
    name: 'reports the deadline with may-have-run instead of a refusal while an attempt is suspected',
    repeatable: true,
    events: [START, suspected(1), DEADLINE],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'aborts both attempts at a stop, and reports may-have-run because of the suspected one',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, giveUp(true)],
    expected: 'abort-attempt, abort-attempt, FINAL may-have-run',
  },
  {
    name: 'aborts the suspected and the hedged attempt if the caller disconnects',
    repeatable: true,
    events: [START, suspected(1), BACK_OFF_OVER, { type: 'caller-gone' }],
    expected: 'abort-attempt, abort-attempt',
  },
  {
    name: 'does not start an attempt after the caller has disconnected',
    events: [{ type: 'caller-gone' }, START],
    expected: '',
  },
];

describe('request lifecycle', () => {
  for (const { name, repeatable = false, retries = 2, events, expected } of rows) {
    it(name, () => {
      const policy = policyOf({ repeatable, retries });
      const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
      const effects = events.map((event) => lifecycle.handle(event, 0)).at(-1) ?? [];
      expect(effects.map(describeEffect).join(', ')).to.equal(expected);
    });
  }

  it('reports at most once in every sequence of events, and always ends when it is given up', () => {
    const firstComplete = answerComplete(1);
    const noEndpoint: RequestEvent = { type: 'no-endpoint', attempt: 2, failure: final };
    const callerGone: RequestEvent = { type: 'caller-gone' };
    const firstTry = [START, answered(1), firstComplete, answerBroken(1, false), failed(1, lost)];
    const secondTry = [BACK_OFF_OVER, failed(2, notRun), answered(2), noEndpoint];
    const ends = [DEADLINE, callerGone, giveUp(true), giveUp(false)];
    const events = [...firstTry, ...secondTry, ...ends];
    const policy = policyOf({ retries: 1 });
    for (const order of sequencesOf(events, 4)) {
      const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
      let ended = 0;
      for (const event of order) {
        const wasOver = lifecycle.isOver;
        const effects = lifecycle.handle(event, 0);
        ended += effects.filter(({ type }) => type === 'report').length;
        expect(wasOver && effects.length > 0, describeOrder(order)).to.equal(false);
        expect(event.type !== 'give-up' || lifecycle.isOver, describeOrder(order)).to.equal(true);
      }
      expect(ended, describeOrder(order)).to.be.at.most(1);
      const isSettled = order.some((event) => event === firstComplete || event === callerGone);
      const isGivenUp = order.some(({ type }) => type === 'give-up');
      expect(isSettled || !isGivenUp || ended === 1, describeOrder(order)).to.equal(true);
    }
  });

  /** Guards against repeats at once while most requests of a class fail, which fail again. */
  it('backs off for longer the more requests of its class fail', () => {
    const delayMs = (faultShare: number): number => {
      const policy = policyOf({ deadlineAtMs: 4_000 });
      const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
      lifecycle.handle(START, 0);
      const fault = { ...lost, faultShare };
      const effects = lifecycle.handle({ type: 'answered', attempt: 1, fault }, 0);
      return effects.reduce(
        (ms, effect) => ms + (effect.type === 'back-off' ? effect.delayMs : 0),
        0,
      );
    };
    expect([delayMs(0), delayMs(0.1), delayMs(0.8)]).to.deep.equal([5, 80, 342.5]);
  });

  it('does not back off past the deadline', () => {
    const policy = policyOf({ deadlineAtMs: 10 });
    const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
    lifecycle.handle(START, 0);
    expect(lifecycle.handle(failed(1, notRun), 6)).to.have.nested.property('[0].type', 'report');
  });

  it('reports not-run without a redirect if a further refusal would be too late', () => {
    const policy = policyOf({ repeatable: false, refusableUntilMs: 900, redirects: 1 });
    const outcomeAt = (nowMs: number): string[] => {
      const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
      lifecycle.handle(START, 0);
      lifecycle.handle({ type: 'target-missed' }, nowMs);
      return lifecycle.handle(failed(1, notRun), nowMs).map(describeEffect);
    };
    expect(outcomeAt(900)).to.deep.equal(['begin-attempt']);
    expect(outcomeAt(901)).to.deep.equal(['REFUSED not-run']);
  });

  it('includes the back-off in the time limit for reporting a refusal', () => {
    const policy = policyOf({ refusableUntilMs: 900 });
    const outcomeAt = (nowMs: number): string[] => {
      const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
      lifecycle.handle(START, 0);
      return lifecycle.handle(failed(1, notRun), nowMs).map(describeEffect);
    };
    expect(outcomeAt(895)).to.deep.equal(['back-off']);
    expect(outcomeAt(896)).to.deep.equal(['REFUSED not-run']);
  });

  it('counts redirects from absent endpoints separately from those from overloaded ones, in either order', () => {
    const policy = policyOf({ retries: 0, redirects: 1, absentRedirects: 2 });
    const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
    lifecycle.handle(START, 0);
    const absent = { ...notRun, code: 'UNREACHABLE' };
    const outcomes = [absent, notRun, absent, absent].map(
      (failure, index) => lifecycle.handle(failed(index + 1, failure), 1).map(describeEffect)[0],
    );
    expect(outcomes).to.deep.equal([
      'begin-attempt',
      'begin-attempt',
      'begin-attempt',
      'UNREACHABLE not-run',
    ]);
  });

  it('does not forward a withheld request, and reports the verdict of its earlier attempts', () => {
    const contained = { ...notRun, code: 'CONTAINED' };
    const outcomeAfter = (failure: RequestFailure): string[] => {
      const lifecycle = new RequestLifecycle(policyOf(), new RetryBudget(), () => 0.5);
      lifecycle.handle(START, 0);
      lifecycle.handle(failed(1, failure), 0);
      lifecycle.handle(BACK_OFF_OVER, 1);
      return lifecycle
        .handle({ type: 'withheld', attempt: 2, failure: contained }, 1)
        .map(describeEffect);
    };
    expect(outcomeAfter(notRun)).to.deep.equal(['CONTAINED not-run']);
    expect(outcomeAfter(lost)).to.deep.equal([`${lost.code} may-have-run`]);
  });

  it('retries a request that may have run even after the time limit for refusals', () => {
    const policy = policyOf({ refusableUntilMs: 900, redirects: 1 });
    const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
    lifecycle.handle(START, 0);
    expect(lifecycle.handle(failed(1, lost), 950).map(describeEffect)).to.deep.equal(['back-off']);
  });

  it('limits retries to a percentage of the first attempts', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let request = 0; request < 1_000; request += 1) {
      const policy = policyOf({ retryBudgetPercent: 20 });
      const lifecycle = new RequestLifecycle(policy, budget, () => 0.5);
      lifecycle.handle(START, 0);
      for (
        let attempt = 1;
        lifecycle.handle(failed(attempt, lost), 0)[0]?.type === 'back-off';
        attempt += 1
      ) {
        retries += 1;
        lifecycle.handle(BACK_OFF_OVER, 0);
      }
    }
    expect(retries).to.be.within(190, 205);
  });

  it('limits the attempts of a chain of eight nested calls to those of its first request', () => {
    expect(attemptsOfChain(8, 2)).to.equal(3);
    expect(attemptsOfChain(8, 5)).to.equal(6);
  });
});

/** Returns a policy with two retries that the retry budget does not limit, with `changes` applied. */
function policyOf(changes: Partial<RequestPolicy> = {}): RequestPolicy {
  return {
    repeatable: true,
    deadlineAtMs: 1_000,
    retries: 2,
    retryBudgetPercent: 100,
    redirects: 0,
    ...changes,
  };
}

/** Counts the attempts at the last endpoint of a call chain in which every attempt fails. */
function attemptsOfChain(depth: number, retries: number): number {
  if (depth === 0) {
    return 1;
  }
  const policy = policyOf({ retries });
  const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
  let attempts = 0;
  let [effect] = lifecycle.handle(START, 0);
  while (effect?.type === 'begin-attempt') {
    attempts += attemptsOfChain(depth - 1, effect.retriesLeft);
    const [next] = lifecycle.handle(failed(effect.attempt, lost), 0);
    effect = next?.type === 'back-off' ? lifecycle.handle(BACK_OFF_OVER, 0)[0] : next;
  }
  return attempts;
}

/** Yields every sequence of `length` events, with repetition. */
function* sequencesOf(events: readonly RequestEvent[], length: number): Generator<RequestEvent[]> {
  if (length === 0) {
    yield [];
    return;
  }
  for (const tail of sequencesOf(events, length - 1)) {
    for (const event of events) {
      yield [event, ...tail];
    }
  }
}

function describeEffect(effect: RequestEffect): string {
  return effect.type === 'report' ? `${effect.failure.code} ${effect.verdict}` : effect.type;
}

function describeOrder(order: readonly RequestEvent[]): string {
  return order.map(({ type }) => type).join(', ');
}
