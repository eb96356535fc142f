/** What the claims and the caller of a request with a key are told, by the outcome of its claim. */
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

/** Runs the gate; gives what the claims and the caller were told, in order. */
async function run(
  outcome: ClaimOutcome,
  after: (reply: CallerReply) => void,
  isCallerGone = false,
): Promise<string[]> {
  const told: string[] = [];
  const claims = {
    open: () => Promise.resolve(outcome),
    finish: () => void told.push('finish'),
    release: () => void told.push('release'),
  };
  const reply: CallerReply = {
    answer: () => void told.push('answer'),
    fail: ({ code }: RequestError, verdict) => void told.push(`${code} ${verdict}`),
    hasBegun: () => false,
    breakConnection: () => void told.push('break'),
    onClose: (action) => (isCallerGone ? action(false) : undefined),
  };
  await new ClaimGate(claims, ATTEMPT, reply).startWhenClaimed((claimed) => {
    told.push('start');
    after(claimed);
  });
  return told;
}

const observer = { completed: () => undefined, truncated: () => undefined };
const notRun = new NoEndpointError('no endpoint');
const timedOut = new TimedOutError('late');

describe('proxy/claim-gate', () => {
  const WON: ClaimOutcome = { outcome: 'won' };
  const cases: {
    name: string;
    outcome: ClaimOutcome;
    after?: (reply: CallerReply) => void;
    isCallerGone?: boolean;
    told: string[];
  }[] = [
    {
      name: 'an answer means that the key ran',
      outcome: WON,
      after: (reply) => reply.answer({} as Answer, 'n1-1', 0, observer),
      told: ['start', 'finish', 'answer'],
    },
    {
      name: 'proof of not run frees the key',
      outcome: WON,
      after: (reply) => reply.fail(notRun, 'not-run', 'n1-1'),
      told: ['start', 'release', 'NO_ENDPOINT not-run'],
    },
    {
      name: 'an unknown fate keeps the key',
      outcome: WON,
      after: (reply) => reply.fail(timedOut, 'may-have-run', 'n1-1'),
      told: ['start', 'TIMED_OUT may-have-run'],
    },
    {
      name: 'a broken answer keeps the key',
      outcome: WON,
      after: (reply) => reply.breakConnection(),
      told: ['start', 'break'],
    },
    {
      name: 'a caller that went away meanwhile frees the key',
      outcome: WON,
      isCallerGone: true,
      told: ['release'],
    },
    {
      name: 'a key that ran does not start',
      outcome: { outcome: 'taken', ran: true },
      told: ['DUPLICATE_REQUEST ran'],
    },
    {
      name: 'a key that may have run does not start',
      outcome: { outcome: 'taken', ran: false },
      told: ['DUPLICATE_REQUEST may-have-run'],
    },
    {
      name: 'without a majority nothing starts',
      outcome: { outcome: 'unavailable' },
      told: ['CLAIM_UNAVAILABLE not-run'],
    },
  ];
  for (const { name, outcome, after, isCallerGone, told } of cases) {
    it(name, async () => {
      expect(await run(outcome, after ?? (() => undefined), isCallerGone)).to.deep.equal(told);
    });
  }

  it('is given up once, and only while it waits for its claim and its caller is there', async () => {
    const told: string[] = [];
    const claims = {
      open: () => Promise.resolve(WON),
      finish: () => void told.push('finish'),
      release: () => void told.push('release'),
    };
    let leave = (): void => undefined;
    const reply: CallerReply = {
      answer: () => undefined,
      hasBegun: () => false,
      breakConnection: () => undefined,
      fail: ({ code }: RequestError, verdict) => void told.push(`${code} ${verdict}`),
      onClose: (action) => {
        leave = () => action(false);
      },
    };
    const gate = (): ClaimGate => new ClaimGate(claims, ATTEMPT, reply);

    const waiting = gate();
    expect([waiting.giveUp(NO_REQUEST_LOG), waiting.giveUp(NO_REQUEST_LOG)]).to.deep.equal([
      true,
      false,
    ]);
    const left = gate();
    leave();
    expect(left.giveUp(NO_REQUEST_LOG)).to.equal(false);
    const started = gate();
    await started.startWhenClaimed(() => void told.push('start'));
    expect(started.giveUp(NO_REQUEST_LOG)).to.equal(false);
    expect(told).to.deep.equal(['NODE_STOPPING not-run', 'start']);
  });
});
