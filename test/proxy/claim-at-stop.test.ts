/**
 * Requests that wait for the claim on their idempotency key when the bound of a planned stop comes.
 *
 * They have not started: a stop that gives up only what has started would close their connections without
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

const BOUND_MS = 100;
const HEADERS = { 'idempotency-key': 'k1', host: 'a' };

describe('a planned stop and a request that waits for its claim', () => {
  const mesh = new TestMesh();
  let target: RawEndpoint;
  let told: string[];
  let decide: ((outcome: ClaimOutcome) => void) | undefined;

  const claims = {
    open: () =>
      new Promise<ClaimOutcome>((resolve) => {
        decide = resolve;
      }),
    finish: () => void told.push('finish'),
    release: () => void told.push('release'),
  };

  beforeEach(async () => {
    told = [];
    decide = undefined;
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    target.close();
  });

  /** Stops the node while the request waits; the claim's outcome comes right after the bound, if at all. */
  async function stopWhileWaiting(
    outcome?: ClaimOutcome,
  ): Promise<{ answer: CallerResult; givenUp: number | undefined }> {
    const limits = { stopTimeoutMs: BOUND_MS, stopAcceptMs: BOUND_MS / 2, stopAnswerMs: 250 };
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

  it('refuses it, which is proved not to have run', async () => {
    const { answer, givenUp } = await stopWhileWaiting();
    expectRefusal(answer);
    expect(givenUp).to.equal(1);
  });

  it('does not run it when its claim is won later, and frees the key', async () => {
    const { answer } = await stopWhileWaiting();
    expectRefusal(answer);
    decide?.({ outcome: 'won' });
    await until(() => told.length > 0);
    expect([told, target.heads]).to.deep.equal([['release'], []]);
  });

  const outcomes: { outcome: ClaimOutcome; toldThen: string[] }[] = [
    { outcome: { outcome: 'won' }, toldThen: ['release'] },
    { outcome: { outcome: 'taken', ran: true }, toldThen: [] },
    { outcome: { outcome: 'unavailable' }, toldThen: [] },
  ];
  for (const { outcome, toldThen } of outcomes) {
    it(`answers it once when its claim is ${outcome.outcome} while the refusal goes out`, async () => {
      const { answer, givenUp } = await stopWhileWaiting(outcome);
      expectRefusal(answer);
      expect([givenUp, told, target.heads]).to.deep.equal([1, toldThen, []]);
    });
  }
});
