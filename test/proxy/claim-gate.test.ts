/** Calls to the claims and replies to the caller of a request with an idempotency key, by the outcome of its claim. */
import { expect } from 'chai';
import type { ClaimOutcome } from '../../src/claims/claim-command.js';
import type { Answer } from '../../src/proxy/call.js';
import { ClaimGate } from '../../src/proxy/claim-gate.js';
import type { ClaimedAttempt } from '../../src/proxy/idempotency-claims.js';
import {
  NoEndpointError,
  TimedOutError,
  type RequestError,
} from '../../src/proxy/request-error.js';
import type { CallerReply } from '../../src/proxy/request-context.js';
import { NO_REQUEST_LOG } from '../../src/proxy/request-log.js';

const ATTEMPT: ClaimedAttempt = { service: 'payments', key: 'k1', attempt: 'n1-1' };

/** Runs the gate and returns the calls to the claims and the replies to the caller, in order. */
async function run(
  outcome: ClaimOutcome,
  after: (reply: CallerReply) => void,
  isCallerGone = false,
): Promise<string[]> {
  const events: string[] = [];
  const claims = {
    open: () => Promise.resolve(outcome),
    finish: () => void events.push('finish'),
    release: () => void events.push('release'),
  };
  const reply: CallerReply = {
    answer: () => void events.push('answer'),
    fail: ({ code }: RequestError, verdict) => void events.push(`${code} ${verdict}`),
    hasBegun: () => false,
    breakConnection: () => void events.push('break'),
    onClose: (action) => (isCallerGone ? action(false) : undefined),
  };
  await new ClaimGate(claims, ATTEMPT, reply).startWhenClaimed((claimed) => {
    events.push('start');
    after(claimed);
  });
  return events;
}

const observer = { completed: () => undefined, truncated: () => undefined };
const noEndpoint = new NoEndpointError('no endpoint');
const timedOut = new TimedOutError('late');

describe('proxy/claim-gate', () => {
  const WON: ClaimOutcome = { outcome: 'won' };
  const cases: {
    name: string;
    outcome: ClaimOutcome;
    after?: (reply: CallerReply) => void;
    isCallerGone?: boolean;
    events: string[];
  }[] = [
    {
      name: 'records the key as run when the request is answered',
      outcome: WON,
      after: (reply) => reply.answer({} as Answer, 'n1-1', 0, observer),
      events: ['start', 'finish', 'answer'],
    },
    {
      name: 'releases the key when the request is proved not to have run',
      outcome: WON,
      after: (reply) => reply.fail(noEndpoint, 'not-run', 'n1-1'),
      events: ['start', 'release', 'NO_ENDPOINT not-run'],
    },
    {
      name: 'keeps the key when the request may have run',
      outcome: WON,
      after: (reply) => reply.fail(timedOut, 'may-have-run', 'n1-1'),
      events: ['start', 'TIMED_OUT may-have-run'],
    },
    {
      name: 'keeps the key when the answer is truncated',
      outcome: WON,
      after: (reply) => reply.breakConnection(),
      events: ['start', 'break'],
    },
    {
      name: 'releases the key when the caller disconnected while the claim was pending',
      outcome: WON,
      isCallerGone: true,
      events: ['release'],
    },
    {
      name: 'does not start a request whose key has run',
      outcome: { outcome: 'taken', ran: true },
      events: ['DUPLICATE_REQUEST ran'],
    },
    {
      name: 'does not start a request whose key may have run',
      outcome: { outcome: 'taken', ran: false },
      events: ['DUPLICATE_REQUEST may-have-run'],
    },
    {
      name: 'does not start a request without a majority',
      outcome: { outcome: 'unavailable' },
      events: ['CLAIM_UNAVAILABLE not-run'],
    },
  ];
  for (const { name, outcome, after, isCallerGone, events } of cases) {
    it(name, async () => {
      expect(await run(outcome, after ?? (() => undefined), isCallerGone)).to.deep.equal(events);
    });
  }

  it('is given up once, and only while its claim is pending and its caller is connected', async () => {
    const events: string[] = [];
    const claims = {
      open: () => Promise.resolve(WON),
      finish: () => void events.push('finish'),
      release: () => void events.push('release'),
    };
    let disconnect = (): void => undefined;
    const reply: CallerReply = {
      answer: () => undefined,
      hasBegun: () => false,
      breakConnection: () => undefined,
      fail: ({ code }: RequestError, verdict) => void events.push(`${code} ${verdict}`),
      onClose: (action) => {
        disconnect = () => action(false);
      },
    };
    const gate = (): ClaimGate => new ClaimGate(claims, ATTEMPT, reply);

    const waiting = gate();
    expect([waiting.giveUp(NO_REQUEST_LOG), waiting.giveUp(NO_REQUEST_LOG)]).to.deep.equal([
      true,
      false,
    ]);
    const abandoned = gate();
    disconnect();
    expect(abandoned.giveUp(NO_REQUEST_LOG)).to.equal(false);
    const started = gate();
    await started.startWhenClaimed(() => void events.push('start'));
    expect(started.giveUp(NO_REQUEST_LOG)).to.equal(false);
    expect(events).to.deep.equal(['NODE_STOPPING not-run', 'start']);
  });
});
