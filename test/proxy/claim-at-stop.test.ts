/**
 * Requests that wait for the claim on their idempotency key when a planned stop reaches its timeout.
 *
 * They have not started: a stop that gives up only started requests would close their connections without
 * an answer.
 */
import { expect } from 'chai';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import type { ClaimOutcome } from '../../src/claims/claim-command.js';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type CallerResult,
  type RawEndpoint,
} from './rig.js';

const STOP_TIMEOUT_MS = 100;
const HEADERS = { 'idempotency-key': 'k1', host: 'a' };

describe('a planned stop while a request waits for its claim', () => {
  const mesh = new TestMesh();
  let target: RawEndpoint;
  let claimCalls: string[];
  let decide: ((outcome: ClaimOutcome) => void) | undefined;

  const claims = {
    open: () =>
      new Promise<ClaimOutcome>((resolve) => {
        decide = resolve;
      }),
    finish: () => void claimCalls.push('finish'),
    release: () => void claimCalls.push('release'),
  };

  beforeEach(async () => {
    claimCalls = [];
    decide = undefined;
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    target.close();
  });

  /** Stops the node while the request waits; a given outcome of the claim arrives right after the stop's timeout. */
  async function stopWhileWaiting(
    outcome?: ClaimOutcome,
  ): Promise<{ answer: CallerResult; givenUp: number | undefined }> {
    const limits = {
      stopTimeoutMs: STOP_TIMEOUT_MS,
      stopAcceptMs: STOP_TIMEOUT_MS / 2,
      stopAnswerMs: 250,
    };
    const node = await mesh.addNode('n1', limits, claims);
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    const answering = call(node.callerPort, { method: 'POST', headers: HEADERS, body: 'hi' });
    await until(() => decide !== undefined);
    const stopped = node.proxy.stop();
    const givenUp = (): number | undefined =>
      node.counters.get('ferryspool_requests_given_up_total');
    if (outcome !== undefined) {
      await until(() => givenUp() !== undefined);
      decide?.(outcome);
    }
    const answer = await answering;
    await stopped;
    return { answer, givenUp: givenUp() };
  }

  function expectRefusal({ status, headers, body, isWhole }: CallerResult): void {
    const { code } = JSON.parse(body === '' ? '{}' : body) as { code?: string };
    expect([status, headers[VERDICT_HEADER], code, isWhole]).to.deep.equal([
      503,
      'not-run',
      'NODE_STOPPING',
      true,
    ]);
    expect(headers['retry-after']).to.match(/^[1-9]\d*$/);
  }

  it('refuses the request as not-run', async () => {
    const { answer, givenUp } = await stopWhileWaiting();
    expectRefusal(answer);
    expect(givenUp).to.equal(1);
  });

  it('does not run the request when its claim is won later, and releases the key', async () => {
    const { answer } = await stopWhileWaiting();
    expectRefusal(answer);
    decide?.({ outcome: 'won' });
    await until(() => claimCalls.length > 0);
    expect([claimCalls, target.heads]).to.deep.equal([['release'], []]);
  });

  const outcomes: { outcome: ClaimOutcome; expectedCalls: string[] }[] = [
    { outcome: { outcome: 'won' }, expectedCalls: ['release'] },
    { outcome: { outcome: 'taken', ran: true }, expectedCalls: [] },
    { outcome: { outcome: 'unavailable' }, expectedCalls: [] },
  ];
  for (const { outcome, expectedCalls } of outcomes) {
    it(`answers the request once when its claim is ${outcome.outcome} while the refusal is sent`, async () => {
      const { answer, givenUp } = await stopWhileWaiting(outcome);
      expectRefusal(answer);
      expect([givenUp, claimCalls, target.heads]).to.deep.equal([1, expectedCalls, []]);
    });
  }
});
