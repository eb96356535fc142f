/** Retries, budgets and verdicts of one request, as tables of events and effects. */
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
const AGAIN: RequestEvent = { type: 'back-off-over' };
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
const whole = (attempt: number): RequestEvent => ({ type: 'answer-whole', attempt });
const answered = (attempt: number): RequestEvent => ({ type: 'answered', attempt });
const broken = (attempt: number, wasPassedOn: boolean): RequestEvent => ({
  type: 'answer-broken',
  attempt,
  failure: lost,
  wasPassedOn,
  canReplay: true,
});
const DEADLINE: RequestEvent = { type: 'deadline', failure: late };

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
  /** Last effects, as text. */
  readonly expected: string;
}

const rows: readonly Row[] = [
  { name: 'a refusal is sent elsewhere', events: [START, failed(1, notRun)], expected: 'back-off' },
  {
    name: 'a loss is not, when it may run once',
    events: [START, failed(1, lost)],
    expected: 'LOST may-have-run',
  },
  {
    name: 'a loss is, when it may be repeated',
    repeatable: true,
    events: [START, failed(1, lost)],
    expected: 'back-off',
  },
  {
    name: 'not without its body',
    repeatable: true,
    events: [START, failed(1, notRun, false)],
    expected: 'REFUSED not-run',
  },
  {
    name: 'not without retries',
    retries: 0,
    events: [START, failed(1, notRun)],
    expected: 'REFUSED not-run',
  },
  {
    name: 'not when it would not help',
    events: [START, failed(1, final)],
    expected: 'FINAL not-run',
  },
  {
    name: 'a later refusal does not unsay an earlier loss',
    repeatable: true,
    events: [START, failed(1, lost), AGAIN, failed(2, final)],
    expected: 'FINAL may-have-run',
  },
  {
    name: 'without another endpoint, the first failure is told',
    events: [START, failed(1, notRun), AGAIN, { type: 'no-endpoint', attempt: 2, failure: final }],
    expected: 'REFUSED not-run',
  },
  {
    name: 'the deadline ends an attempt',
    events: [START, DEADLINE],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'the deadline during a back-off tells the failure',
    events: [START, failed(1, notRun), DEADLINE],
    expected: 'REFUSED not-run',
  },
  {
    name: 'an answer under way outlives the deadline',
    events: [START, answered(1), DEADLINE],
    expected: '',
  },
  {
    name: 'an answer of a past attempt is not passed on',
    events: [START, failed(1, notRun), answered(1)],
    expected: '',
  },
  {
    name: 'a failure of a past attempt does not count',
    events: [START, failed(1, notRun), AGAIN, failed(1, lost)],
    expected: '',
  },
  {
    name: 'a failure after the answer began does not count twice',
    events: [START, DEADLINE, failed(1, lost)],
    expected: '',
  },
  {
    name: 'a broken answer that went out breaks the connection',
    repeatable: true,
    events: [START, answered(1), broken(1, true)],
    expected: 'break-connection',
  },
  {
    name: 'one that did not is tried again',
    repeatable: true,
    events: [START, answered(1), broken(1, false)],
    expected: 'back-off',
  },
  {
    name: 'but not when it may run once',
    events: [START, answered(1), broken(1, false)],
    expected: 'LOST may-have-run',
  },
  {
    name: 'a caller that leaves ends the attempt',
    events: [START, { type: 'caller-gone' }],
    expected: 'abort-attempt',
  },
  {
    name: 'a request without its body is given up without a doubt',
    events: [giveUp(true)],
    expected: 'FINAL not-run',
  },
  {
    name: 'so is one that has not been sent',
    events: [START, giveUp(true)],
    expected: 'abort-attempt, FINAL not-run',
  },
  {
    name: 'one that has been sent may have run',
    events: [START, giveUp(false)],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'an attempt that was not sent does not unsay an earlier loss',
    repeatable: true,
    events: [START, failed(1, lost), AGAIN, giveUp(true)],
    expected: 'abort-attempt, FINAL may-have-run',
  },
  {
    name: 'one that is given up during a back-off tells the failure',
    events: [START, failed(1, notRun), giveUp(true)],
    expected: 'REFUSED not-run',
  },
  {
    name: 'an answer of which nothing went out is replaced',
    events: [START, answered(1), giveUp(false)],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'an answer under way is not given up',
    events: [START, answered(1), giveUp(false, true)],
    expected: '',
  },
  {
    name: 'an attempt in doubt gets another one beside it',
    repeatable: true,
    events: [START, suspected(1)],
    expected: 'back-off',
  },
  {
    name: 'but not when it may run once',
    events: [START, suspected(1)],
    expected: '',
  },
  {
    name: 'nor without retries',
    repeatable: true,
    retries: 0,
    events: [START, suspected(1)],
    expected: '',
  },
  {
    name: 'one that has provably not been sent is replaced',
    events: [START, suspected(1, notRun)],
    expected: 'abort-attempt, back-off',
  },
  {
    name: 'and goes on where nothing can replace it',
    retries: 0,
    events: [START, suspected(1, notRun)],
    expected: '',
  },
  {
    name: 'the answer of an attempt in doubt is passed on',
    repeatable: true,
    events: [START, suspected(1), AGAIN, answered(1)],
    expected: 'pass-answer',
  },
  {
    name: 'and the one beside it given up once that is whole',
    repeatable: true,
    events: [START, suspected(1), AGAIN, answered(1), whole(1)],
    expected: 'abort-attempt',
  },
  {
    name: 'also during the pause before another one, which does not begin then',
    repeatable: true,
    events: [START, suspected(1), answered(1), AGAIN],
    expected: '',
  },
  {
    name: 'a second answer is not passed on',
    repeatable: true,
    events: [START, suspected(1), AGAIN, answered(2), answered(1)],
    expected: 'abort-attempt',
  },
  {
    name: 'an attempt in doubt is waited for when the one beside it fails for good',
    repeatable: true,
    events: [START, suspected(1), AGAIN, failed(2, final)],
    expected: '',
  },
  {
    name: 'or finds no endpoint',
    repeatable: true,
    events: [
      START,
      suspected(1),
      AGAIN,
      { type: 'no-endpoint', attempt: 2, failure: final },
      answered(1),
    ],
    expected: 'pass-answer',
  },
  {
    name: 'its loss is told once nothing else is left',
    repeatable: true,
    retries: 1,
    events: [START, suspected(1), AGAIN, failed(2, final), failed(1, lost)],
    expected: 'LOST may-have-run',
  },
  {
    name: 'its loss ends nothing while another attempt is under way',
    repeatable: true,
    events: [START, suspected(1), AGAIN, failed(1, lost)],
    expected: '',
  },
  {
    name: 'the deadline ends both',
    repeatable: true,
    events: [START, suspected(1), AGAIN, DEADLINE],
    expected: 'abort-attempt, abort-attempt, LATE may-have-run',
  },
  {
    name: 'and tells of no refusal while one is in doubt',
    repeatable: true,
    events: [START, suspected(1), DEADLINE],
    expected: 'abort-attempt, LATE may-have-run',
  },
  {
    name: 'a stop ends both, and the one in doubt may have run',
    repeatable: true,
    events: [START, suspected(1), AGAIN, giveUp(true)],
    expected: 'abort-attempt, abort-attempt, FINAL may-have-run',
  },
  {
    name: 'a caller that leaves ends both',
    repeatable: true,
    events: [START, suspected(1), AGAIN, { type: 'caller-gone' }],
    expected: 'abort-attempt, abort-attempt',
  },
  {
    name: 'nothing begins after the caller left',
    events: [{ type: 'caller-gone' }, START],
    expected: '',
  },
];

describe('life of a request', () => {
  for (const { name, repeatable = false, retries = 2, events, expected } of rows) {
    it(name, () => {
      const policy = policyOf({ repeatable, retries });
      const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
      const effects = events.map((event) => lifecycle.handle(event, 0)).at(-1) ?? [];
      expect(effects.map(describeEffect).join(', ')).to.equal(expected);
    });
  }

  it('ends with one answer in every order of events, and always when it is given up', () => {
    const firstWhole = whole(1);
    const noEndpoint: RequestEvent = { type: 'no-endpoint', attempt: 2, failure: final };
    const gone: RequestEvent = { type: 'caller-gone' };
    const firstTry = [START, answered(1), firstWhole, broken(1, false), failed(1, lost)];
    const secondTry = [AGAIN, failed(2, notRun), answered(2), noEndpoint];
    const ends = [DEADLINE, gone, giveUp(true), giveUp(false)];
    const events = [...firstTry, ...secondTry, ...ends];
    const policy = policyOf({ retries: 1 });
    for (const order of ordersOf(events, 4)) {
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
      const isSettled = order.some((event) => event === firstWhole || event === gone);
      const isGivenUp = order.some(({ type }) => type === 'give-up');
      expect(isSettled || !isGivenUp || ended === 1, describeOrder(order)).to.equal(true);
    }
  });

  it('does not back off past the deadline', () => {
    const policy = policyOf({ deadlineAtMs: 10 });
    const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
    lifecycle.handle(START, 0);
    expect(lifecycle.handle(failed(1, notRun), 6)).to.have.nested.property('[0].type', 'report');
  });

  it('lets a proof that the request has not run stand where another refusal would come too late', () => {
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

  it('counts the back-off in the time that a refusal needs to be told', () => {
    const policy = policyOf({ refusableUntilMs: 900 });
    const outcomeAt = (nowMs: number): string[] => {
      const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
      lifecycle.handle(START, 0);
      return lifecycle.handle(failed(1, notRun), nowMs).map(describeEffect);
    };
    expect(outcomeAt(895)).to.deep.equal(['back-off']);
    expect(outcomeAt(896)).to.deep.equal(['REFUSED not-run']);
  });

  it('goes on from absent endpoints without the allowance for full ones, and back to that after', () => {
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

  it('sends nothing on that is withheld, and tells what is known of its earlier attempts', () => {
    const contained = { ...notRun, code: 'CONTAINED' };
    const outcomeAfter = (failure: RequestFailure): string[] => {
      const lifecycle = new RequestLifecycle(policyOf(), new RetryBudget(), () => 0.5);
      lifecycle.handle(START, 0);
      lifecycle.handle(failed(1, failure), 0);
      lifecycle.handle(AGAIN, 1);
      return lifecycle
        .handle({ type: 'withheld', attempt: 2, failure: contained }, 1)
        .map(describeEffect);
    };
    expect(outcomeAfter(notRun)).to.deep.equal(['CONTAINED not-run']);
    expect(outcomeAfter(lost)).to.deep.equal([`${lost.code} may-have-run`]);
  });

  it('tries again until the deadline what may have run anyway', () => {
    const policy = policyOf({ refusableUntilMs: 900, redirects: 1 });
    const lifecycle = new RequestLifecycle(policy, new RetryBudget(), () => 0.5);
    lifecycle.handle(START, 0);
    expect(lifecycle.handle(failed(1, lost), 950).map(describeEffect)).to.deep.equal(['back-off']);
  });

  it('makes at most a share of the first attempts again', () => {
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
        lifecycle.handle(AGAIN, 0);
      }
    }
    expect(retries).to.be.within(190, 205);
  });

  it('makes no more attempts through calls eight deep than its first request allows', () => {
    expect(attemptsOfChain(8, 2)).to.equal(3);
    expect(attemptsOfChain(8, 5)).to.equal(6);
  });
});

/** A policy of two retries without a bound by their budget, but for `changes`. */
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

/** Attempts at the deepest endpoint of a chain in which every attempt fails. */
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
    effect = next?.type === 'back-off' ? lifecycle.handle(AGAIN, 0)[0] : next;
  }
  return attempts;
}

/** Every sequence of `length` of the events, with repetitions. */
function* ordersOf(events: readonly RequestEvent[], length: number): Generator<RequestEvent[]> {
  if (length === 0) {
    yield [];
    return;
  }
  for (const rest of ordersOf(events, length - 1)) {
    for (const event of events) {
      yield [event, ...rest];
    }
  }
}

function describeEffect(effect: RequestEffect): string {
  return effect.type === 'report' ? `${effect.failure.code} ${effect.verdict}` : effect.type;
}

function describeOrder(order: readonly RequestEvent[]): string {
  return order.map(({ type }) => type).join(', ');
}
