import { expect } from 'chai';
import type { AnswerFault } from '../../standins/backend/answer-fault.js';
import { BackendStandIn } from '../../standins/backend/backend-stand-in.js';
import { CallClient, contentFaultOf, type CallRequest } from '../../tools/shared/call-client.js';
import type { CallEnd } from '../../tools/shared/call-record.js';
import { postJson } from '../../tools/shared/json-client.js';
import { startOpenLoop } from '../../tools/shared/open-loop.js';

const HOST = '127.0.0.1';
const CALL: CallRequest = {
  callId: 'c-1',
  method: 'POST',
  path: '/tiles/1',
  bodyBytes: 1_000,
  workMs: 0,
  answerBytes: 2_000,
  deadlineMs: 5_000,
  giveUpMs: 10_000,
};

describe('call client', () => {
  let backend: BackendStandIn;
  let client: CallClient;

  beforeEach(async () => {
    backend = await BackendStandIn.start();
    client = new CallClient(4);
  });

  afterEach(async () => {
    client.close();
    await backend.stop();
  });

  const send = (call: Partial<CallRequest> = {}): ReturnType<CallClient['send']> =>
    client.send({ host: HOST, port: backend.ports.port }, { ...CALL, ...call });

  it('takes a whole answer to its own call', async () => {
    expect(await send()).to.deep.equal({
      end: { type: 'answered', status: 200, verdict: undefined },
    });
    expect(backend.executions()[0]).to.include({ callId: 'c-1' });
  });

  const faults: { fault: AnswerFault; end: CallEnd['type']; giveUpMs?: number }[] = [
    { fault: 'reset-before-answer', end: 'broken' },
    { fault: 'reset-mid-body', end: 'broken' },
    { fault: 'short-body', end: 'broken' },
    { fault: 'informational-first', end: 'answered' },
    { fault: 'slow-body', end: 'answered' },
    { fault: 'never-answer', end: 'timed-out', giveUpMs: 50 },
  ];
  for (const { fault, end, giveUpMs = CALL.giveUpMs } of faults) {
    it(`takes ${fault} as ${end}`, async () => {
      await postJson({ host: HOST, port: backend.ports.controlPort }, '/faults', { fault });
      const result = await send({ giveUpMs });
      expect(result.end.type).to.equal(end);
      expect(result.contentFault).to.equal(undefined);
    });
  }

  it('knows that nothing was sent when it gets no connection', async () => {
    const { port } = backend.ports;
    await backend.stop();
    const result = await client.send({ host: HOST, port }, CALL);
    expect(result.end).to.deep.equal({ type: 'not-sent' });
  });

  const whole = { callId: 'c-1', requestBytes: 1_000, padding: 'x'.repeat(2_000) };
  const contents: { name: string; text: string; fault: string | undefined }[] = [
    { name: 'a whole answer', text: JSON.stringify(whole), fault: undefined },
    { name: 'half of one', text: JSON.stringify(whole).slice(0, 500), fault: 'truncated' },
    { name: 'a short one', text: JSON.stringify({ ...whole, padding: '' }), fault: 'truncated' },
    { name: 'an empty one', text: '', fault: 'truncated' },
    {
      name: 'that of another',
      text: JSON.stringify({ ...whole, callId: 'c-2' }),
      fault: 'crossed',
    },
    {
      name: 'one to another body',
      text: JSON.stringify({ ...whole, requestBytes: 999 }),
      fault: 'wrong-request-body',
    },
  ];
  for (const { name, text, fault } of contents) {
    it(`judges the content of ${name}`, () => {
      expect(contentFaultOf(Buffer.from(text), CALL)).to.equal(fault);
    });
  }
});

describe('open loop', () => {
  it('starts calls without waiting for earlier ones, and drops those over its bound', async () => {
    const ends: (() => void)[] = [];
    const loop = startOpenLoop({
      ratePerSecond: 10_000,
      durationMs: 20,
      maxOutstanding: 2,
      random: () => 0.5,
      start: () => new Promise((resolve) => ends.push(resolve)),
    });
    while (ends.length < 2) {
      await new Promise(setImmediate);
    }
    await new Promise((resolve) => setTimeout(resolve, 30));
    ends.forEach((end) => end());
    const result = await loop.finished;
    expect(result.started).to.equal(2);
    expect(result.dropped).to.be.greaterThan(0);
  });

  it('ends when it is stopped and the last call has ended', async () => {
    let running = 0;
    const loop = startOpenLoop({
      ratePerSecond: 1_000,
      durationMs: 60_000,
      maxOutstanding: 100,
      random: () => 0.5,
      start: async () => {
        running += 1;
        await new Promise(setImmediate);
        running -= 1;
      },
    });
    loop.stop();
    await loop.finished;
    expect(running).to.equal(0);
  });
});
